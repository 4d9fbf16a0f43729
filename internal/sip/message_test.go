package sip

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse guards the parser against arbitrary input: it must not panic or consume more bytes than there are, and
// must parse a message that arrives byte by byte like one that arrives at once.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"INVITE sip:1@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\nhi",
		"SIP/2.0 200 OK\r\ni: a\r\nCSeq: 1 INVITE\r\nl: 0\r\n\r\n", "\r\n\r\n", "X\r\n\r\n", "A B C\r\n:\r\n\r\n",
		"INVITE  SIP/2.0\r\nContent-Length: 99999999999\r\n\r\n", "BYE a SIP/2.0\r\n folded\r\nContent-Length: 0\r\n\r\n",
		"BYE a SIP/2.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var whole, parts message
		n, err := parse(bytes.Clone(b), &whole)
		require.LessOrEqual(t, n, len(b))
		userPart(whole.uri)
		parseField(whole.headerValue("link-state"), "x0")
		if n == 0 || err != nil || len(whole.headers) == 0 {
			return
		}
		for cut := range n {
			early, err := parse(b[:cut], &parts)
			require.NoError(t, err)
			require.True(t, early == 0 || len(parts.headers) == 0, "took %d of %d", early, n)
		}
		again, err := parse(b[:n], &parts)
		require.NoError(t, err)
		require.Equal(t, n, again)
		require.Equal(t, whole.body, parts.body)
	})
}
