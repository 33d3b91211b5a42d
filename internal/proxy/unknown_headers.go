package proxy

import (
	"net/http"
	"sync"

	"tamarackquay/internal/logfield"
)

// unknownHeaders remembers the headers that were logged as not understood.
type unknownHeaders struct {
	mu   sync.Mutex
	seen map[string]bool
}

// maxUnknownHeaders limits how many different headers are logged.
const maxUnknownHeaders = 32

// log logs each header name that the node doesn't understand, once. Targets may ask for something
// by a header that is newer than the node. Values may be secrets of callers and are not logged.
func (u *unknownHeaders) log(p *Proxy, header http.Header) {
	for name := range header {
		if standardHeaders[name] || p.config.Headers.includes(name) || !u.add(name) {
			continue
		}
		p.ports.Log.Info().Str(logfield.Header, name).Msg("target sends an unknown header")
	}
}

// add returns false if the name was added before or the limit is reached.
func (u *unknownHeaders) add(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[name] || len(u.seen) >= maxUnknownHeaders {
		return false
	}
	if u.seen == nil {
		u.seen = map[string]bool{}
	}
	u.seen[name] = true
	return true
}

// standardHeaders are the response headers that concern callers or the connection alone.
var standardHeaders = map[string]bool{
	"Accept-Ranges": true, "Age": true, "Allow": true, "Cache-Control": true, "Connection": true,
	"Content-Disposition": true, "Content-Encoding": true, "Content-Language": true, "Content-Length": true,
	"Content-Location": true, "Content-Range": true, "Content-Type": true, "Date": true, "Etag": true,
	"Expires": true, "Keep-Alive": true, "Last-Modified": true, "Link": true, "Location": true, "Pragma": true,
	"Retry-After": true, "Server": true, "Set-Cookie": true, "Trailer": true, "Transfer-Encoding": true,
	"Vary": true, "Via": true, "Www-Authenticate": true, "X-Content-Type-Options": true,
}
