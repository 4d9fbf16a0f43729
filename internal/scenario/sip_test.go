package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/standin"
)

// open is how most scenarios begin: one case server, one caller.
const open = `
s0 open number=0
start
a open
`

// two is open with a second case server.
const two = `
s0 open number=0
s1 open number=1
start
a open
`

// stands is two with a call that stands at the first server.
const stands = two + `
a send INVITE c1
s0 expect INVITE c1
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x
`

var large = strings.Repeat("x", 15<<10)

var scenarios = map[string]string{
	// Id, class, number called and description pass unchanged both ways, and the call ends once.
	"a call stands and ends": open + `
a send INVITE c1 Body=offer
s0 expect INVITE c1 Call-Kind=voice Answer-Within=2970 Body=offer
s0 send 180 INVITE c1
s0 send 200 INVITE c1 Body=answer
s0 expect ACK c1
a expect 200 INVITE c1 Body=answer
a send ACK c1
wait 2s
s0 send BYE c1 Reason=Q.850;cause=16
s0 expect 200 BYE c1
a expect BYE c1 Reason=cause=16
s0 send BYE c1 Reason=Q.850;cause=16
a expect silence`,

	// The caller's clock runs from its send: the answer comes a little inside it, as a failure.
	"a silent server costs the caller no more than its time": open + `
a send INVITE c1 Answer-Within=1000
s0 expect INVITE c1 Answer-Within=970
wait 965ms
a expect silence
wait 10ms
s0 expect CANCEL c1
a expect 500 INVITE c1
wait 1s
a expect silence`,

	// A refusal goes out at once and says when to come back.
	"a full processor refuses": open + `
a send INVITE c1
s0 expect INVITE c1
s0 send 503 INVITE c1 Fail-Word=swamped Link-State=idle:1;circuits:9
a expect 503 INVITE c1 Come-Back-Ms=100
s0 expect ACK c1`,

	// 486 for the number itself ends the request; 500 is the server's fault and another one may try.
	"a fault moves the call on, a busy number does not": two + `
a send INVITE c1
s0 expect INVITE c1
s0 send 500 INVITE c1
s1 expect INVITE c1
s1 send 486 INVITE c1 Fail-Word=occupied
a expect 500 INVITE c1
a expect silence`,

	// 480 is the simulator's moot: nothing ran, the request ends as refused rather than failed.
	"moot": open + `
a send INVITE c1
s0 expect INVITE c1
s0 send 480 INVITE c1
a expect 503 INVITE c1`,

	// After a reset the next attempt waits 200 ms, for the first may still hold something.
	"release wait": two + `
a send INVITE c1
s0 expect INVITE c1
s0 send 504 INVITE c1
s0 expect ACK c1
wait 190ms
s1 expect silence
wait 20ms
s1 expect INVITE c1
s1 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x`,

	// A second attempt's answer says CSeq 1 as the first one's did; it was once taken for a stray and released.
	"second attempt": two + `
a send INVITE c1
s0 expect INVITE c1
s0 send 500 INVITE c1
s1 expect INVITE c1
s1 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x
s1 expect silence`,

	// A 200 that crosses our CANCEL stands on the other side: it is acknowledged and released.
	"cancel and a crossing answer": open + `
a send INVITE c1
s0 expect INVITE c1
a send CANCEL c1
a expect 200 CANCEL c1
a expect 487 INVITE c1
s0 expect CANCEL c1
s0 send 200 INVITE c1 Body=late
s0 expect ACK c1
s0 expect BYE c1
a expect silence`,

	// A 487 answers our CANCEL; it must not end an attempt of the same call that is out again.
	"late end of a cancelled attempt": open + `
a send INVITE c1
s0 expect INVITE c1
a close
s0 expect CANCEL c1
a open
a send INVITE c1
s0 expect INVITE c1
s0 send 487 INVITE c1
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x`,

	// Repeats of anything change nothing: not of a set-up, of an answer, of a refusal, of a release.
	"duplicates": open + `
a send INVITE c1
a send INVITE c1
s0 expect INVITE c1
s0 expect silence
s0 send 200 INVITE c1 Body=x
s0 send 200 INVITE c1 Body=y
a expect 200 INVITE c1 Body=x
a send INVITE c1
a expect 400 INVITE c1
s0 send 503 INVITE c1
a expect silence
a send BYE c1
a send BYE c1
a expect 200 BYE c1
s0 expect BYE c1 Reason=cause=16
s0 expect silence
a send INVITE c1
a expect 400 INVITE c1
s0 expect silence`,

	// A caller's set-up goes with its connection; a standing call does not, on either side.
	"calls outlive connections": open + `
b open
a send INVITE c1
s0 expect INVITE c1
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1
b send ACK called
a close
wait 300ms
s0 send BYE c1 Reason=Q.850;cause=16
b expect BYE c1 Reason=cause=16
b send INVITE c2
s0 expect INVITE c2
b close
s0 expect CANCEL c2`,

	// With no caller connected the release waits for the next one.
	"a release waits for a connection": stands + `
a close
s0 send BYE c1 Reason=Q.850;cause=41
s0 expect 200 BYE c1
wait 1s
b open
b send OPTIONS ask
b expect 200 OPTIONS ask
m open
m raw "INVITE sip"
wait 1s
a open
a send ACK called
a expect BYE c1 Reason=cause=41
b expect silence
m none`,

	// Whoever only asks whether the router is there, on one new connection after the other, does not pass releases on: a drained router lost
	// those of calls that ended while no caller was connected.
	"a release does not go to somebody who only asks": stands + `
b open
b send OPTIONS ask
b expect 200 OPTIONS ask
a close
wait 1s
s0 send BYE c1 Reason=Q.850;cause=16
s0 expect 200 BYE c1
b send OPTIONS again
b expect 200 OPTIONS again
c open
c send INVITE c2
c expect BYE c1 Reason=cause=16
b expect silence`,

	// After a restart a case server tells of calls that this process never knew: the release is passed on, once.
	"release of an earlier life": open + `
a send ACK called
a expect silence
s0 send BYE old Reason=Q.850;cause=16
s0 send BYE old Reason=Q.850;cause=16
a expect BYE old Reason=cause=16
a expect silence`,

	// A refused connection proves that nothing ran: the call moves on at once; a process that died has cut its
	// calls.
	"a dead server": stands + `
s0 close
log "s0 is out of reach"
a send INVITE c2
s1 expect INVITE c2
wait 3s
a expect BYE c1 Reason=cause=41`,

	// A machine that vanishes leaves its connections open: it is noticed by its silence, its calls are released
	// within 8 s, and what is sent to it finds no connection in time instead of waiting for the deadline.
	"a silent machine": stands + `
s0 hang
log "s0 is silent"
a send INVITE c2
wait 510ms
s1 expect INVITE c2
s1 send 200 INVITE c2 Body=y
a expect 200 INVITE c2
log "out of reach for 2s, 1 attempts cut"
a expect BYE c1 Reason=cause=41
a send INVITE c3
wait 400ms
quiet "attempts cut"`,

	// A caller's release of a call whose server has no connection just now goes out on the next one.
	"a release waits for the server": stands + `
s0 close
log "s0 is out of reach"
a send BYE c1
a expect 200 BYE c1
s0 open number=0
list s0 s1
log "s0 has moved"
s0 expect BYE c1
wait 3s
a expect silence`,

	// What waits at a silent machine is given up on the wire, by CANCEL and by the end of the connection, in the moment
	// in which the 200 ms begin: the connection was once closed 100 ms later, and the next attempt came too soon.
	"an attempt at a silent machine": stands + `
a send INVITE c2 Answer-Within=5000
s0 expect INVITE c2
s0 hang
log "out of reach for 2s, 2 attempts cut"
s0 expect CANCEL c2
s0 expect closed
a expect BYE c1 Reason=cause=41
wait 190ms
s1 expect silence
wait 20ms
s1 expect INVITE c2`,

	// A draining server gets nothing new; what stands there goes on until the server is gone.
	"a server drains and goes": stands + `
list s0=draining s1
log "list: server s0 number 0 state 1"
a send INVITE c2
s1 expect INVITE c2
list s1
log "s0 is gone, 1 attempts cut"
a expect BYE c1 Reason=cause=41`,

	// A new start time means that the process is another one: what stood at the old one is over.
	"a server starts anew": stands + `
wait 1s
list s0@1700000000900 s1
log "server s0 started anew"
a expect BYE c1 Reason=cause=41
s0 expect closed`,

	// Servers are their ids: one that takes the address of another has none of its calls.
	"an address is used again": stands + `
s0 close
s2 open number=0 at=s0
list s2 s1
log "server s0 is gone, 1 attempts cut"
a expect BYE c1 Reason=cause=41
a send INVITE c2
s2 expect INVITE c2
s2 send BYE c1 Reason=Q.850;cause=16
s2 expect 200 BYE c1
a expect silence`,

	// Answers of the name service may come out of order: an older list changes nothing.
	"an old list does not come back": two + `
list s0 s1=draining
log "list: server s1 number 1 state 1"
list serial=3 s0 s1
log "list 3 came after 8, not taken"
a send INVITE c1 Routing-Data=dest:1;width:1;via:-1
s0 expect INVITE c1`,

	// A caller may release a call that stood before a restart: whichever server has it hears of it, once.
	"a caller's release of an earlier life": two + `
s0 expect silence
s1 expect silence
a send BYE old
a send BYE old
a expect 200 BYE old
s0 expect BYE old
s1 expect BYE old
s0 expect silence`,

	// A description may take most of a message, and a message of more than 16 KiB ends the connection.
	"large messages": open + "a send INVITE c1 Body=" + large + "\ns0 expect INVITE c1 Body=" + large +
		"\na send INVITE c2 Body=" + large + large + "\na expect 400 INVITE c2\na expect closed" +
		"\nb open\nb raw \"INVITE " + large + large + "\"\nb expect closed",

	// Messages come in pieces and several at once.
	"fragments and pipelines": open + `
a raw "INVITE sip:4711@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INV"
a raw "ITE\r\nCall-Kind: voice\r\nAnswer-Within: 3000\r\nContent-Length: 3\r\n\r\nab"
a raw "cOPTIONS sip:ping@net SIP/2.0\r\nCall-ID: p\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n\r\n\r\nOPTIONS sip:ping@net SIP/2.0\r\nl: 0\r\ni: q\r\nCSeq: 2 OPTIONS\r\n\r\n"
a expect 200 OPTIONS
a expect 200 OPTIONS
s0 expect INVITE Body=abc`,

	// Malformed input gets a 400 where a call can be named and else ends the connection; the router goes on.
	"malformed input": open + `
a send INVITE c1 Answer-Within=soon
a expect 400 INVITE c1
a send INVITE c2 Call-Kind=
a expect 400 INVITE c2
a send INVITE c3 Routing-Data=dest:x
a expect 400 INVITE c3
a raw "INVITE sip:1@net SIP/2.0\r\nCall-ID: zz\r\nCSeq: 1 INVITE\r\nCall-Kind: voice\r\nAnswer-Within: 9\r\nContent-Length: 0\r\n\r\n"
a expect 400 INVITE
a send SUBSCRIBE c4
a expect 501 SUBSCRIBE c4
a raw "INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 99999\r\n\r\n"
a expect 400 INVITE
a expect closed
b open
b raw "\x00\x01\x02 garbage\r\n\r\n"
b expect closed
a open
a send OPTIONS ping
a expect 200 OPTIONS ping
s0 raw "NOTIFY nonsense\r\nContent-Length: 0\r\n\r\nSIP/2.0 999 No\r\nContent-Length: 0\r\n\r\n"
a send INVITE c5
s0 expect INVITE c5`,

	// What a case server would stumble over never reaches one, and nothing is told 'served': classes, figures, numbers
	// and descriptions are checked here. Who goes on sending such is closed.
	"figures that cannot be": open + `
a send INVITE c1 Call-Kind=fax
a expect 400 INVITE c1
a send INVITE c2 Routing-Data=dest:nan;width:1
a expect 400 INVITE c2
a send INVITE c3 Routing-Data=dest:99;width:1
a expect 400 INVITE c3
a send INVITE c4 Routing-Data=dest:0;width:0
a expect 400 INVITE c4
a send INVITE c5 Answer-Within=5001
a expect 400 INVITE c5
a send INVITE c6 Repeat-Mark=maybe
a expect 400 INVITE c6
b open
b raw "INVITE sip:<x>@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nCall-Kind: voice\r\nAnswer-Within: 9\r\nContent-Length: 0\r\n\r\n"
b expect 400 INVITE
b raw "INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nCall-Kind: voice\r\nAnswer-Within: 9\r\nContent-Length: 5\r\n\r\na\r\nc="
b expect 400 INVITE
b raw "INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nCall-Kind: voice\r\nAnswer-Within: 9\r\nContent-Length: 3\r\n\r\na\r\nc=IN\r\n"
b expect 400 INVITE
b expect closed
s0 expect silence
a send INVITE c7 Call-Kind=fax
a send INVITE c8 Call-Kind=fax
a send INVITE c9 Call-Kind=fax
a expect 400 INVITE c7
a expect 400 INVITE c8
a expect 400 INVITE c9
a expect closed`,

	// An id that is in use is its first request's: another one under it gets an error, by whichever connection, and
	// the open call goes on. Nobody else can withdraw it.
	"an id in use": open + `
b open
a send INVITE c1 Body=x
s0 expect INVITE c1
a send INVITE c1 Body=y
a expect 400 INVITE c1
b send INVITE c1 Body=y
b expect 400 INVITE c1
b send CANCEL c1
b expect 200 CANCEL c1
s0 expect silence
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x
b expect silence`,

	// Who says nothing, or not all, is closed 2 s after connecting; one byte now and then does not help. A connection
	// that has spoken may idle.
	"mute and slow callers": open + `
a send OPTIONS x
a expect 200 OPTIONS x
b open
c open
c raw "INV"
wait 1s
c raw "I"
wait 900ms
c raw "T"
b expect silence
wait 900ms
c expect closed
d open
wait 2100ms
d expect closed
a raw "INV"
wait 1900ms
a raw "I"
wait 900ms
a expect closed`,

	// An error can be read although the body that it refuses is still coming: the end of the connection is told, and
	// what comes is thrown away instead of reset.
	"the error is read": open + `
a raw "INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 60000000\r\n\r\n"
a raw "` + large + `"
a raw "` + large + `"
a expect 400 INVITE
a expect closed
a raw "` + large + `"`,

	// An answer that cannot be read has run: the set-up is failed or repeated after the wait, never served, and the
	// connection goes, with what else was out on it.
	"spoilt answers": two + `
a send INVITE c1
a send INVITE c2
s0 expect INVITE c1
s0 expect INVITE c2
s0 raw "SIP/2.0 OK 200\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
s0 expect closed
log "s0: malformed message, connection closed"
wait 190ms
s1 expect silence
wait 20ms
s1 expect INVITE
s1 expect INVITE`,

	// What stands does not go with a spoilt connection, and a release that came behind the spoilt message, or swallowed
	// by it, is still heard: the server does not send it again.
	"releases behind a spoilt answer": strings.ReplaceAll(stands, " c1", " #00000000000000aa") + `
a send INVITE c2
s0 expect INVITE c2
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 40\r\n\r\nx\r\nBYE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
a expect BYE #00000000000000aa Reason=cause=16
wait 220ms
s1 expect INVITE c2`,

	// An answer to a set-up that nobody sent is not looked at, however it reads: the connection serves on.
	"noise under an unknown id": open + `
a send INVITE c1
s0 expect INVITE c1
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 00000000000000ab\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\n\x01\xff"
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x`,

	"an answer of the wrong length": two + `
a send INVITE #00000000000000aa
s0 expect INVITE
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\na\r\nc=IN\r\n"
s0 expect closed
a expect silence`,

	"an answer that stops short": two + `
a send INVITE #00000000000000aa
s0 expect INVITE
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 30\r\n\r\na\r\nc=IN\r\n"
log "s0: spoilt message, connection closed"
s0 expect closed
a expect silence`,

	"an answer without end": two + `
a send INVITE c1
s0 expect INVITE c1
s0 raw "SIP/2.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nAAAA"
s0 expect closed
a expect silence`,

	// A server whose answer was lost releases the call when it is over, by whatever connection: the caller hears that it
	// failed. A repeat elsewhere was once answered after that, and nobody told the caller that the call was over.
	"a call whose answer was lost ends": two + `
a send INVITE c1
s0 expect INVITE c1
s0 close
wait 220ms
s1 expect INVITE c1
a expect silence
s1 send BYE c1 Reason=Q.850;cause=16
a expect 500 INVITE c1
s1 expect CANCEL c1
s1 send 200 INVITE c1 Body=x
s1 expect BYE c1
a expect silence`,

	// A set-up that a later one has overtaken was lost: it is given up on the wire and sent again after the wait.
	"a lost set-up": open + `
a send INVITE c1
s0 expect INVITE c1
wait 10ms
a send INVITE c2
s0 expect INVITE c2
s0 send 200 INVITE c2 Body=x
a expect 200 INVITE c2
wait 200ms
s0 expect CANCEL c1
wait 180ms
s0 expect silence
wait 30ms
s0 expect INVITE c1
s0 send 200 INVITE c1 Body=y
a expect 200 INVITE c1 Body=y`,

	// Second copies and answers that nobody asked for change nothing: they are not even acknowledged.
	"answers that belong to nobody": open + `
a send INVITE c1
s0 expect INVITE c1
s0 send 200 INVITE c9 Body=y
s0 send 200 INVITE c1 Body=x
s0 send 200 INVITE c1 Body=y
a expect 200 INVITE c1 Body=x
s0 expect ACK c1
s0 send BYE c1 Reason=Q.850;cause=16
s0 send 200 INVITE c1 Body=y
s0 expect silence
a expect BYE c1
a expect silence`,

	// A processor that is told to have no free lines gets nothing; NOTIFY is how it tells.
	"states reach the module": two + `
s0 send NOTIFY st Link-State=idle:0;circuits:4;latency_ms:-1
s0 expect silence
wait 100ms
a send INVITE c1
s0 expect INVITE c1
s0 send 504 INVITE c1
a send INVITE c2
s1 expect INVITE c2`,

	// The oldest idle connection makes room; one with an open set-up never does.
	"connections are bounded": `
s0 open number=0
start sockets=6
a open
a send INVITE c1
s0 expect INVITE c1
wait 10ms
b open
b send OPTIONS x
b expect 200 OPTIONS x
c open
c send OPTIONS x
c expect 200 OPTIONS x
b expect closed
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1`,
}

func TestSIP(t *testing.T) { playAll(t, scenarios) }

// At SIGTERM the router goes on accepting and answering, ends no sooner than 0.7 s later and not before all is
// answered.
func TestShutdown(t *testing.T) {
	w := play(t, two+"a send INVITE c1 Answer-Within=3000\ns0 expect INVITE c1")
	w.node.Loop.Post(w.node.Shutdown)
	run := func(line string) { require.NoError(t, w.do(line), line) }
	run("wait 600ms")
	run("b open")
	run("b send INVITE c2")
	run("s1 expect INVITE c2")
	run("s1 send 200 INVITE c2 Body=x")
	run("b expect 200 INVITE c2")
	run("wait 1s")
	require.Empty(t, w.ended, "ended with a request open\n%s", w.log())
	run("s0 send 200 INVITE c1 Body=x")
	run("a expect 200 INVITE c1")
	run("wait 50ms")
	run("b expect closed") // told its end before the process ends
	run("wait 100ms")
	require.NoError(t, <-w.ended)
	w.ended <- nil
	require.Contains(t, w.log(), "requests=2 repeated=0 left=0 stood=2")
}

// SIGHUP has the configuration read anew: the router goes on with its calls and its servers, asks the new name
// service at once and counts the lists on from the last; a bad file changes nothing.
func TestReload(t *testing.T) {
	w := play(t, stands+"a send INVITE c2\ns0 expect INVITE c2")
	run := func(line string) { t.Helper(); require.NoError(t, w.do(line), "%s\n%s", line, w.log()) }
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("NODE_CONFIG", path)
	w.node.HandleSignals()
	hup := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	old := w.names
	old.Close() // the old one answers no more
	w.names = nameService(t)
	hup(strings.Replace(w.config, old.Addr(), w.names.Addr(), 1))
	run(`log "configuration read anew"`)
	run("list serial=3 s1")
	run(`log "list 3 came after 7, not taken"`)
	run("list serial=8 s0 s1=draining")
	run(`log "list: server s1 number 1 state 1"`)
	hup("{")
	run(`log "configuration not taken, the old one stays"`)
	run("s0 send 200 INVITE c2 Body=x")
	run("a expect 200 INVITE c2 Body=x")
	run("s0 send BYE c1 Reason=Q.850;cause=16")
	run("a expect BYE c1 Reason=cause=16")
	run("list serial=9 s0 s1")
	run(`log "list: server s1 number 1 state 0"`)
}

// counters are those of the node, asked on its loop.
func (w *world) counters() string {
	counters := make(chan string, 1)
	w.node.Loop.Post(func() { counters <- w.node.Counters() })
	return <-counters
}

// A flood on one connection gets its refusals at once; the other connections are served as ever.
func TestFlood(t *testing.T) {
	w := play(t, open+"b open")
	var flood strings.Builder
	for n := range 400 {
		fmt.Fprintf(&flood, "INVITE sip:%d@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nCall-Kind: voice\r\n"+
			"Answer-Within: 3000\r\nContent-Length: 0\r\n\r\n", n, n)
	}
	require.NoError(t, w.peers["a"].write([]byte(flood.String())))
	refused := 0
	for refused < 400-64 {
		m, err := w.peers["a"].next()
		require.NoError(t, err)
		require.Contains(t, m.(standin.Message).Start, "503")
		require.Equal(t, "1000", m.(standin.Message).Header["Come-Back-Ms"])
		refused++
	}
	require.Contains(t, w.counters(), fmt.Sprintf("Flooded:%d", 400-64))
	require.NoError(t, w.do("b send OPTIONS x"))
	require.NoError(t, w.do("b expect 200 OPTIONS x"))
}

// Every table by call, connection or server id is empty again once what it held is over, whatever way it ended.
func TestTablesEmpty(t *testing.T) {
	w := play(t, two+`
a send INVITE c1
s0 expect INVITE c1
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1
a send INVITE c2
s0 expect INVITE c2
a send CANCEL c2
s0 expect CANCEL c2
a send INVITE c3
s0 expect INVITE c3
s0 send 503 INVITE c3 Fail-Word=swamped
a expect 200 CANCEL c2
a expect 487 INVITE c2
a expect 503 INVITE c3
a send INVITE c4 Answer-Within=1000
s1 expect INVITE c4
wait 1s
a expect 500 INVITE c4
a send BYE strange
a expect 200 BYE strange
list s1
log "s0 is gone, 1 attempts cut"
a expect BYE c1
a close
wait 31s
list s1
log "list: server s1"`)
	text := w.counters()
	for _, size := range []string{" calls=0 ", " known=0 ", " servers=1 ", "Open:0 ", "Owed:0}", "Peers:1 ", "Legs:0 ", "Given:0}"} {
		require.Contains(t, text, size)
	}
}

// No call has two attempts at once or more than six, however often every server fails it.
func TestAttemptsAreBounded(t *testing.T) {
	w := play(t, two+"a send INVITE c1 Answer-Within=5000")
	sent, at := 0, "s0"
	for sent < 7 {
		if w.do(at+" expect INVITE c1") != nil {
			break
		}
		sent++
		require.NoError(t, w.do(at+" send 504 INVITE c1"))
		require.NoError(t, w.do("wait 300ms"))
		at = map[string]string{"s0": "s1", "s1": "s0"}[at]
		if sent == 6 {
			require.NoError(t, w.do("a expect 500 INVITE c1"))
			break
		}
	}
	require.Equal(t, 6, sent, w.log())
	require.NoError(t, w.do(at+" expect silence"))
}
