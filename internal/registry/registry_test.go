package registry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse guards the DNS parser: lengths and pointers are the sender's and may say anything, also in circles.
func FuzzParse(f *testing.F) {
	f.Add(append(query(1), 0xc0, 12))
	f.Add([]byte("\x00\x01\x80\x00\x00\x00\x00\x01\x00\x00\x00\x00\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x00\x00\x09\x00\x00\x00\x00\x13\xc4\xc0\x0c\x00"))
	f.Add([]byte("\x00\x01\x80\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x06\x00\x01\x00\x00\x00\x00\x00\x16\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, servers, err := parse(b); err != nil {
			require.Empty(t, servers)
		}
	})
}

// A pointer that does not point backwards has no end.
func TestPointerInACircle(t *testing.T) {
	b := append(make([]byte, 12), 0xc0, 12)
	_, _, err := nameAt(b, 12)
	require.ErrorContains(t, err, "forward")
}
