package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/internal/standin"
)

// This file owns the crossings of docs/design/crossings.md that a caller or a case server can force from outside: the router's loop stands still until both
// events have come, and goes on.

// many is more messages than one turn takes, so that what follows them is not read in it.
var many = strings.Repeat("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n", 100)

// rests is a call whose first attempt was reset: it waits 200 ms for the next.
const rests = two + `
a send INVITE c1
s0 expect INVITE c1
s0 send 504 INVITE c1
s0 expect ACK c1
`

// another is a second caller with a call that stands: releases may go by its connection.
const another = `
b open
b send INVITE c2
s0 expect INVITE c2
s0 send 200 INVITE c2 Body=y
b expect 200 INVITE c2 Body=y
`

// up is a call that stood and ended: the case server's connection is there.
const up = `
a send INVITE c0
s0 expect INVITE c0
s0 send 200 INVITE c0 Body=x
a expect 200 INVITE c0 Body=x
s0 send BYE c0 Reason=Q.850;cause=16
a expect BYE c0
`

// replaced is a server whose reports have failed to come while c2 waits: a connection has taken the place of the one that c1 stands on.
var replaced = stands + tells(10) + `
a send INVITE c2 Answer-Within=4000
s0 expect INVITE c2
wait 900ms
`

var crossings = map[string]string{
	// Nothing begins for who has gone, whichever the loop comes to first: the end of the rest, or the end of the caller.
	"a rest ends as its caller closes":                       rests + "halt\na close\nwait 250ms\ngo\nwait 500ms\ns1 none",
	"a rest ends as its caller resets":                       rests + "halt\na reset\nwait 250ms\ngo\nwait 500ms\ns1 none",
	"a rest ends as its caller closes behind other messages": rests + "halt\na raw " + fmt.Sprintf("%q", many) + "\na close\nwait 250ms\ngo\nwait 500ms\ns1 none",
	"a rest ends as its caller cancels":                      rests + "halt\na send CANCEL c1\nwait 250ms\ngo\nwait 500ms\ns1 none\na expect 487 INVITE c1",
	// All of a call lies in the socket as the process goes on: nothing was begun for it, and nothing is.
	"a set-up and its cancel, read after a stop":                  open + "halt\na send INVITE c1\na send CANCEL c1\nwait 250ms\ngo\na expect 487 INVITE c1\nwait 100ms\ns0 none",
	"a set-up and its cancel behind other messages, after a stop": open + "halt\na send INVITE c1\na raw " + fmt.Sprintf("%q", many) + "\na send CANCEL c1\nwait 250ms\ngo\nwait 100ms\ns0 none",
	// And the other order: who leaves after it has begun has it given up.
	"a rest ends, then its caller closes": rests + "wait 250ms\ns1 expect INVITE c1\na close\ns1 expect CANCEL c1",
	// A set-up that was read together with the end of its caller begins nothing; a release that was is heard.
	"a set-up behind the end of its caller": open + `
halt
a send INVITE c1
a close
go
wait 100ms
s0 none
`,
	"a release behind the end of its caller": stands + `
halt
a raw ` + fmt.Sprintf("%q", many) + `
a send BYE c1
a close
go
s0 expect BYE c1
s1 none
`,
	// A server ends an idle connection as a set-up or a release comes for it: the set-up goes by the next, and so does the release.
	"a set-up crosses the end of an idle connection": open + `
wait 100ms
halt
s0 drop
a send INVITE c1
go
s0 expect INVITE c1
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x
`,
	"a release crosses the end of an idle connection": stands + `
halt
a send BYE c1
s0 drop
go
s0 expect BYE c1
`,
	// The end of a call, written to a caller who has just closed, goes by another connection.
	"a release crosses the end of its caller's connection": stands + another + `
halt
s0 send BYE c1 Reason=Q.850;cause=16
a close
go
s0 expect 200 BYE c1
b expect BYE c1 Reason=cause=16
`,
	// The same, written before it closed, but never answered; one that was answered was heard.
	"a caller resets over a release that it has not answered": stands + another + `
s0 send BYE c1 Reason=Q.850;cause=16
a expect BYE c1
a reset
b expect BYE c1 Reason=cause=16
`,
	"a caller closes after a release that it has answered": stands + another + `
s0 send BYE c1 Reason=Q.850;cause=16
a expect BYE c1
a send 200 BYE c1
a close
wait 100ms
b expect silence
`,
	// A connection that was replaced as silent is done with: the end of it is told, and releases that cross it are heard, in the moment of it and after.
	"releases cross the end of a replaced connection": replaced + `
s0 older 200 INVITE c2 Body=y
a expect 200 INVITE c2 Body=y
halt
s0 older BYE c1 Reason=Q.850;cause=16
wait 200ms
go
a expect BYE c1 Reason=cause=16
wait 200ms
s0 older BYE c2 Reason=Q.850;cause=16
a expect BYE c2 Reason=cause=16
`,
	"a release crosses the end of a connection found silent": replaced + `
halt
s0 send NOTIFY s Link-State=idle:9;circuits:9
s0 older BYE c1 Reason=Q.850;cause=16
go
a expect BYE c1 Reason=cause=16
`,
	// A set-up that waits for a connection that does not come up is taken back when its caller goes, and goes elsewhere when its server does.
	"a caller goes while its set-up waits for a connection": open + up + `
s0 hang
s0 drop
a send INVITE c1
a expect silence
a close
s0 close
s9 open number=0 at=s0
wait 1s
b open
b send INVITE c2
s9 expect INVITE c2
`,
	"a server goes while a set-up waits for a connection to it": two + up + `
s0 hang
s0 drop
a send INVITE c1
a expect silence
list s1
log "server s0 is gone, 1 attempts cut"
wait 150ms
s1 none
wait 100ms
s1 expect INVITE c1
`,
	// A release of the caller's, written to a server that resets over it, goes by the next connection.
	"a server resets over a release that it has not answered": stands + `
a send BYE c1
s0 expect BYE c1
s0 drop
s0 expect BYE c1
`,
}

// What is in the socket as a process that was told to end is about to close is taken and answered: on a connection that is open, behind other messages, and on one
// that nobody has accepted yet.
func TestShutdownCrossings(t *testing.T) {
	for name, late := range map[string]string{
		"a set-up on an open connection":         "a send INVITE c1",
		"a set-up behind other messages":         "a raw " + fmt.Sprintf("%q", many) + "\na send INVITE c1",
		"a set-up on a connection not yet taken": "b open\nb send INVITE c1",
		"a set-up, and told to end once more":    "a send INVITE c1\nterm",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, open+"a expect silence\nterm\nwait 740ms\nhalt\n"+late+"\nwait 30ms\ngo\ns0 expect INVITE c1\ns0 send 200 INVITE c1 Body=x\n"+late[:1]+" answered INVITE c1")
		})
	}
}

func TestCrossings(t *testing.T) { playAll(t, crossings) }

// deaf is a router whose one case server does not read, with calls on their own connections until one was written in part and one more waits. It returns the number of the
// former.
func deaf(t *testing.T) (w *world, part int) {
	w = play(t, open+up+"s0 deaf\ns0 hang\n")
	for i := range 250 {
		require.NoError(t, w.do(fmt.Sprintf("a%d open", i)))
		require.NoError(t, w.do(fmt.Sprintf("a%d send INVITE a%d Answer-Within=4000 Body=%s", i, i, large)))
		blocked := w.blocked(func(c sip.TrunkCounters) bool { return c.Invites+c.Blocked > uint64(i)+1 })
		if blocked > 0 {
			return w, i - 1
		}
	}
	require.Fail(t, "the connection takes everything")
	return w, 0
}

// blocked waits until the trunk's counters are as wanted, and tells how many set-ups wait for a full connection.
func (w *world) blocked(met func(sip.TrunkCounters) bool) uint64 {
	for stop := time.Now().Add(patience); ; time.Sleep(100 * time.Microsecond) {
		now := make(chan sip.TrunkCounters)
		w.node.Loop.Post(func() { c, _ := w.node.UpstreamCounters(); now <- c })
		if c := <-now; met(c) {
			return c.Blocked
		} else if time.Now().After(stop) {
			require.Fail(w.t, "the trunk does not come to it", "%+v", c)
		}
	}
}

// heard are the set-ups that the case server reads until it has read one of them, or the end.
func (p *peer) invited(last string) (ids []string) {
	for {
		got, err := p.next()
		if err != nil {
			return ids
		}
		m, is := got.(standin.Message)
		if !is {
			return ids
		}
		if m.Method() == "INVITE" {
			ids = append(ids, m.Call())
		}
		if m.Call() == last {
			return ids
		}
	}
}

// What waits for a server that does not read is taken back when its caller goes; the rest is written as the server reads on.
func TestDeafServer(t *testing.T) {
	w, part := deaf(t)
	require.NoError(t, w.do(fmt.Sprintf("a%d close", part+1)))
	w.blocked(func(c sip.TrunkCounters) bool { return c.Legs == part+1 })
	require.NoError(t, w.do("z open"))
	require.NoError(t, w.do("z send INVITE z"))
	w.blocked(func(c sip.TrunkCounters) bool { return c.Blocked == 2 })
	require.NoError(t, w.do("s0 hear"))
	ids := w.peers["s0"].invited(callID("z"))
	require.Contains(t, ids, callID(fmt.Sprintf("a%d", part)), "what was written in part is written whole")
	require.NotContains(t, ids, callID(fmt.Sprintf("a%d", part+1)))
	require.Equal(t, callID("z"), ids[len(ids)-1])
}

// A set-up that was written in part as its server stopped reading never becomes whole when its caller has gone: its connection ends.
func TestDeafServerPart(t *testing.T) {
	w, part := deaf(t)
	require.NoError(t, w.do(fmt.Sprintf("a%d close", part)))
	w.blocked(func(c sip.TrunkCounters) bool { return c.Cancels == 1 })
	require.NoError(t, w.do("wait 100ms"))
	w.blocked(func(c sip.TrunkCounters) bool { return c.Stuck == 1 })
	require.NoError(t, w.do("s0 hear"))
	require.NotContains(t, w.peers["s0"].invited("none"), callID(fmt.Sprintf("a%d", part)))
}
