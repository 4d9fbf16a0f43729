package mgmt

import "testing"

// FuzzParse: a call that is whole stays the same call however much follows it, and no input panics or is asked to grow without end.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", "PUT /-/drain HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "PUT /-/x HTTP/1.0\r\n\r\n",
		"GET http://a/-/ready?x HTTP/1.1\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/3\r\n\r\n", "x", "", "\x00", "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, need := parse(b)
		if need == more && len(b) > headMost+bodyMost+64 {
			t.Fatalf("%d bytes and still more is wanted", len(b))
		}
		if need == 0 {
			again, still := parse(append(append([]byte(nil), b...), "DELETE / HTTP/1.1\r\n\r\n"...))
			if still != 0 || string(again.method) != string(r.method) || string(again.path) != string(r.path) {
				t.Fatalf("%q became another call by what followed", b)
			}
		}
		if need != 0 && need != more && texts[need] == "" {
			t.Fatalf("status %d has no text", need)
		}
	})
}
