package mgmt

import "testing"

// FuzzParse checks that bytes after a complete request don't change its parsing, that no input causes a panic, and
// that the parser doesn't ask for more bytes without bound.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
		"PUT /-/drain HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
		"PUT /-/x HTTP/1.0\r\n\r\n",
		"GET http://a/-/ready?x HTTP/1.1\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/3\r\n\r\n",
		"x",
		"",
		"\x00",
		"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, status := parseRequest(b)
		if status == incomplete && len(b) > maxHeadSize+maxBodySize+64 {
			t.Fatalf("%d bytes and the request is still incomplete", len(b))
		}
		if status == 0 {
			again, againStatus := parseRequest(append(append([]byte(nil), b...), "DELETE / HTTP/1.1\r\n\r\n"...))
			if againStatus != 0 || string(again.method) != string(r.method) || string(again.path) != string(r.path) {
				t.Fatalf("%q was parsed as another request because of the bytes after it", b)
			}
		}
		if status != 0 && status != incomplete && statusTexts[status] == "" {
			t.Fatalf("status %d has no text", status)
		}
	})
}
