package responsehead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against an invalid response that is read after valid ones on the same connection, against a
// body or the bytes of another protocol that are taken for a head, and against refusing valid responses.
func TestCheckedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	responses := map[string]string{
		"/sound":    "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n : \r\n\r\nx",
		"/spoilt":   "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n",
		"/upgraded": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, responses[request.URL.Path])
					if request.URL.Path == "/upgraded" {
						_, _ = io.Copy(conn, reader)
					}
				}
			}()
		}
	}()
	client := &http.Client{Transport: &http.Transport{DialContext: Check((&net.Dialer{}).DialContext)}}
	defer client.CloseIdleConnections()
	get := func(path string) (*http.Response, error) {
		return client.Get("http://" + listener.Addr().String() + path)
	}
	for range 2 {
		for range 3 {
			response, err := get("/sound")
			assert.NilError(t, err)
			content, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(content), " : \r\n\r\nx")
		}
		_, err := get("/spoilt")
		assert.Assert(t, errors.Is(err, ErrField), "%v", err)
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/upgraded", nil)
	assert.NilError(t, err)
	request.Header = http.Header{"Connection": {"Upgrade"}, "Upgrade": {"x"}}
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	const frame = "\x00 no head \r\n"
	for range 3 {
		_, err = io.WriteString(response.Body.(io.Writer), frame)
		assert.NilError(t, err)
		echo := make([]byte, len(frame))
		_, err = io.ReadFull(response.Body, echo)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(echo), "no head"))
	}
}
