package proxy

import "tamarackquay/internal/quarantine"

func fingerprintOf(f *flight) (quarantine.Fingerprint, error) {
	content := &quarantine.Content{Method: f.method, Host: f.host, URI: f.uri, Length: f.length}
	if f.body.IsKept() {
		content.Body = f.body.Reader()
	}
	return quarantine.FingerprintOf(content)
}
