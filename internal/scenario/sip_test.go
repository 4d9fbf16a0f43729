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

// oneServer starts the router with one case server and one caller.
const oneServer = `
s0 open number=0
start
a open
`

// twoServers is oneServer with a second case server.
const twoServers = `
s0 open number=0
s1 open number=1
start
a open
`

// callEstablished is twoServers with a call that is established at the first server.
const callEstablished = twoServers + `
a send INVITE c1
s0 expect INVITE c1
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x
`

// manyReleases are releases of 300 calls; expectAnswers and expectReleases expect the answers to them and the releases
// at the case server.
var manyReleases, expectAnswers, expectReleases = func() (releases, answers, atServer string) {
	for i := range 300 {
		releases += string(encodeMessage(fmt.Sprintf("BYE old%d", i)))
		answers += fmt.Sprintf("a answered BYE old%d\n", i)
		atServer += fmt.Sprintf("s0 expect BYE old%d\n", i)
	}
	return releases, answers, atServer
}()

// largeBody takes most of a message of the maximum size, 16 KiB.
var largeBody = strings.Repeat("x", 15<<10)

// sipScenarios are the scenarios of callers and case servers, by name.
var sipScenarios = map[string]string{
	// Call id, class, called number and description are passed on unchanged in both directions, and the caller gets
	// one release.
	"a call is established and ends": oneServer + `
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

	// The caller counts its deadline from when it sent the set-up. The router answers with a failure a little earlier,
	// so that the answer arrives in time.
	"a silent server does not delay the answer beyond the caller's deadline": oneServer + `
a send INVITE c1 Answer-Within=1000
s0 expect INVITE c1 Answer-Within=970
wait 965ms
a expect silence
wait 10ms
s0 expect CANCEL c1
a expect 500 INVITE c1
wait 1s
a expect silence`,

	// A refusal is sent at once and says when to retry.
	"a full server refuses": oneServer + `
a send INVITE c1
s0 expect INVITE c1
s0 send 503 INVITE c1 Fail-Word=swamped Link-State=idle:1;circuits:9
a expect 503 INVITE c1 Come-Back-Ms=100
s0 expect ACK c1`,

	// A 500 is a fault of the server, and another server may try. A 486 concerns the called number and ends the
	// request.
	"a server fault is retried elsewhere, a busy number is not": twoServers + `
a send INVITE c1
s0 expect INVITE c1
s0 send 500 INVITE c1
s1 expect INVITE c1
s1 send 486 INVITE c1 Fail-Word=occupied
a expect 500 INVITE c1
a expect silence`,

	// A 480 ("moot" in the simulator) means that nothing ran: the request ends as refused rather than failed.
	"480 counts as refused": oneServer + `
a send INVITE c1
s0 expect INVITE c1
s0 send 480 INVITE c1
a expect 503 INVITE c1`,

	// After a 504 the next attempt waits 200 ms, because the first one may still hold resources.
	"release wait": twoServers + `
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

	// The answer to a second attempt has CSeq 1, as the answer to the first. It must not be taken for an unexpected
	// answer and released.
	"answer to a second attempt": twoServers + `
a send INVITE c1
s0 expect INVITE c1
s0 send 500 INVITE c1
s1 expect INVITE c1
s1 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x
s1 expect silence`,

	// A 200 that crosses the CANCEL has established the call at the server: it is acknowledged and released.
	"cancel and a crossing answer": oneServer + `
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

	// A late 487 answers the CANCEL. It must not end a new attempt of the same call.
	"late end of a cancelled attempt": oneServer + `
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

	// Duplicates of a set-up, an answer, a refusal or a release change nothing.
	"duplicates": oneServer + `
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

	// A pending set-up ends with its caller's connection. An established call does not, on either side.
	"calls outlive connections": oneServer + `
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

	// While no caller is connected, a release waits for the next one.
	"a release waits for a connection": callEstablished + `
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

	// A client that only sends OPTIONS, like a health check, does not receive releases. Otherwise a drained router
	// would lose the releases of calls that ended while no caller was connected.
	"a release is not sent to a client that only sends OPTIONS": callEstablished + `
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

	// After a restart, a case server releases calls that this process never knew. Each release is passed on once.
	"release of a call from before a restart": oneServer + `
a send ACK called
a expect silence
s0 send BYE old Reason=Q.850;cause=16
s0 send BYE old Reason=Q.850;cause=16
a expect BYE old Reason=cause=16
a expect silence`,

	// A refused connection proves that the set-up has not run, so the call moves on at once. The established calls of
	// a server process that died are cut.
	"a dead server": callEstablished + `
s0 close
log "s0 is unreachable"
a send INVITE c2
s1 expect INVITE c2
wait 3s
a expect BYE c1 Reason=cause=41`,

	// A machine that vanishes leaves its connections open and is detected by its silence. Its calls are released
	// within 8 s, and new set-ups to it fail on the connect timeout instead of waiting for their deadline.
	"a silent machine": callEstablished + `
s0 hang
log "s0 is silent"
a send INVITE c2
wait 510ms
s1 expect INVITE c2
s1 send 200 INVITE c2 Body=y
a expect 200 INVITE c2
log "unreachable for 2s, 1 attempts cut"
a expect BYE c1 Reason=cause=41
a send INVITE c3
wait 400ms
quiet "attempts cut"`,

	// Guards against cutting the calls of a server that can be reached: its path was cut off so briefly that a further
	// connection did not come up, while the current one delivers again.
	"a further connection to a reachable server does not come up": callEstablished + `
s0 hang
wait 1600ms
s0 send NOTIFY s Link-State=idle:9;circuits:9
wait 1s
s0 send NOTIFY s Link-State=idle:9;circuits:9
wait 1s
s0 send NOTIFY s Link-State=idle:9;circuits:9
wait 1s
a expect silence
a send INVITE c2
s0 expect INVITE c2
s0 send 200 INVITE c2 Body=y
a expect 200 INVITE c2
wait 300ms
a expect silence
quiet "attempts cut"`,

	// The same for a connection that was found silent and replaced before any other one came up: a server that sends on
	// it is reachable, and its calls go on.
	"a server sends on a replaced connection while no other comes up": callEstablished + `
a send INVITE c2 Answer-Within=5000
s0 expect INVITE c2
s0 hang
log "s0 is silent"
wait 1s
s0 send NOTIFY s Link-State=idle:9;circuits:9
log "s0 is reachable again"
wait 800ms
s0 send NOTIFY s Link-State=idle:9;circuits:9
wait 500ms
a expect silence
quiet "attempts cut"`,

	// Guards against dropping releases that were answered with 200: the process before knew these calls, and callers
	// release more of them in one second than a router usually carries.
	"releases of many calls of an earlier process": oneServer + fmt.Sprintf("a raw %q\n", manyReleases) +
		expectAnswers + "wait 1s\n" + expectReleases,

	// Guards against calls left standing at a server that was cut off, and not dead: their callers were told that they
	// are over, so they are released there once it can be reached again.
	"calls cut at an unreachable server are released once it is reached": callEstablished + `
s0 hang
log "unreachable for 2s, 1 attempts cut"
a expect BYE c1 Reason=cause=41
s0 close
s0 open number=0 at=s0
wait 1s
s0 expect BYE c1
a expect silence`,

	// A caller's release of a call whose server is not connected is sent on the server's next connection.
	"a release waits for the server": callEstablished + `
s0 close
log "s0 is unreachable"
a send BYE c1
a expect 200 BYE c1
s0 open number=0
list s0 s1
log "s0 has moved"
s0 expect BYE c1
wait 3s
a expect silence`,

	// An attempt pending at a silent machine is withdrawn on the wire, by a CANCEL and by closing the connection,
	// at the moment the release wait of 200 ms begins. Closing it 100 ms later would let the next attempt start
	// too soon.
	"an attempt at a silent machine": callEstablished + `
a send INVITE c2 Answer-Within=5000
s0 expect INVITE c2
s0 hang
log "unreachable for 2s, 2 attempts cut"
s0 expect CANCEL c2
s0 expect closed
a expect BYE c1 Reason=cause=41
wait 190ms
s1 expect silence
wait 20ms
s1 expect INVITE c2`,

	// A draining server gets no new calls; established ones continue until the server is gone.
	"a server drains and is removed": callEstablished + `
list s0=draining s1
log "list: server s0 number 0 state 1"
a send INVITE c2
s1 expect INVITE c2
list s1
log "s0 was removed, 1 attempts cut"
a expect BYE c1 Reason=cause=41`,

	// A new start time means a new process: the calls established at the old one are over.
	"a server restarts": callEstablished + `
wait 1s
list s0@1700000000900 s1
log "server s0 restarted"
a expect BYE c1 Reason=cause=41
s0 expect closed`,

	// Servers are identified by their ids: one that reuses the address of another has none of its calls.
	"an address is reused": callEstablished + `
s0 close
s2 open number=0 at=s0
list s2 s1
log "server s0 was removed, 1 attempts cut"
a expect BYE c1 Reason=cause=41
a send INVITE c2
s2 expect INVITE c2
s2 send BYE c1 Reason=Q.850;cause=16
s2 expect 200 BYE c1
a expect silence`,

	// Answers of the name service may arrive out of order: an older list changes nothing.
	"an old list is ignored": twoServers + `
list s0 s1=draining
log "list: server s1 number 1 state 1"
list serial=3 s0 s1
log "list 3 ignored, older than list 8"
a send INVITE c1 Routing-Data=dest:1;width:1;via:-1
s0 expect INVITE c1`,

	// A caller may release a call established before a restart: the release goes to each server once, as any may
	// have it.
	"a caller's release of a call from before a restart": twoServers + `
s0 expect silence
s1 expect silence
a send BYE old
a send BYE old
a expect 200 BYE old
s0 expect BYE old
s1 expect BYE old
s0 expect silence`,

	// A description may take most of a message. A message of more than 16 KiB ends the connection.
	"large messages": oneServer + "a send INVITE c1 Body=" + largeBody + "\ns0 expect INVITE c1 Body=" + largeBody +
		"\na send INVITE c2 Body=" + largeBody + largeBody + "\na expect 400 INVITE c2\na expect closed" +
		"\nb open\nb raw \"INVITE " + largeBody + largeBody + "\"\nb expect closed",

	// Messages may arrive in fragments, and several at once.
	"fragments and pipelining": oneServer + `
a raw "INVITE sip:4711@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INV"
a raw "ITE\r\nCall-Kind: voice\r\nAnswer-Within: 3000\r\nContent-Length: 3\r\n\r\nab"
a raw "cOPTIONS sip:ping@net SIP/2.0\r\nCall-ID: p\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n\r\n\r\nOPTIONS sip:ping@net SIP/2.0\r\nl: 0\r\ni: q\r\nCSeq: 2 OPTIONS\r\n\r\n"
a expect 200 OPTIONS
a expect 200 OPTIONS
s0 expect INVITE Body=abc`,

	// Malformed input is answered with 400 if its call can be identified, and else ends the connection. The router
	// continues.
	"malformed input": oneServer + `
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

	// The router validates classes, values, called numbers and descriptions, so that invalid ones never reach a case
	// server and are never answered with success. A connection that keeps sending them is closed.
	"values out of range": oneServer + `
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

	// A call id in use belongs to its first request: another set-up with it is rejected on any connection, and the
	// pending call continues. No other connection can cancel it.
	"a call id in use": oneServer + `
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

	// A connection without a complete message is closed 2 s after connecting, also if single bytes keep arriving. A
	// connection that has sent one may idle.
	"callers without a complete message": oneServer + `
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

	// The caller can read an error although the body that it rejects is still arriving: the router half-closes the
	// connection and discards the rest instead of resetting.
	"an error is readable while the rejected body arrives": oneServer + `
a raw "INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 60000000\r\n\r\n"
a raw "` + largeBody + `"
a raw "` + largeBody + `"
a expect 400 INVITE
a expect closed
a raw "` + largeBody + `"`,

	// A malformed answer means that the attempt may have run: the set-up fails or is retried after the release
	// wait, never succeeds, and the connection is closed together with the other attempts pending on it.
	"malformed answers": twoServers + `
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

	// Established calls do not end with a connection closed for a malformed message. A release behind the malformed
	// message, or inside its body, still counts, because the server does not send it again.
	"releases behind a malformed answer": strings.ReplaceAll(callEstablished, " c1", " #00000000000000aa") + `
a send INVITE c2
s0 expect INVITE c2
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 40\r\n\r\nx\r\nBYE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
a expect BYE #00000000000000aa Reason=cause=16
wait 220ms
s1 expect INVITE c2`,

	// An answer to an unknown set-up is ignored, even if its body is malformed: the connection stays in use.
	"a malformed answer with an unknown id": oneServer + `
a send INVITE c1
s0 expect INVITE c1
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 00000000000000ab\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\n\x01\xff"
s0 send 200 INVITE c1 Body=x
a expect 200 INVITE c1 Body=x`,

	"an answer with a wrong Content-Length": twoServers + `
a send INVITE #00000000000000aa
s0 expect INVITE
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 3\r\n\r\na\r\nc=IN\r\n"
s0 expect closed
a expect silence`,

	"an incomplete answer": twoServers + `
a send INVITE #00000000000000aa
s0 expect INVITE
s0 raw "SIP/2.0 200 OK\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nContent-Length: 30\r\n\r\na\r\nc=IN\r\n"
log "s0: corrupt message, connection closed"
s0 expect closed
a expect silence`,

	"an oversized answer": twoServers + `
a send INVITE c1
s0 expect INVITE c1
s0 raw "SIP/2.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nAAAA"
s0 expect closed
a expect silence`,

	// A server whose answer was lost releases the call at its end, on any connection: the caller is notified that
	// the call failed. Otherwise a retry elsewhere could be answered afterwards, and the caller would never learn
	// of the end.
	"a call whose answer was lost ends": twoServers + `
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

	// A set-up whose successor on the connection is answered first was lost: it is canceled and, after the release
	// wait, sent again.
	"a lost set-up": oneServer + `
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

	// Duplicate and unexpected answers change nothing and are not acknowledged.
	"unexpected answers": oneServer + `
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

	// The state that a server reports with NOTIFY reaches the routing module: a server without free agents is avoided.
	"server states reach the routing module": twoServers + `
s0 send NOTIFY st Link-State=idle:0;circuits:4;latency_ms:-1
s0 expect silence
wait 100ms
a send INVITE c1
s0 expect INVITE c1
s0 send 504 INVITE c1
a send INVITE c2
s1 expect INVITE c2`,

	// At the limit, the oldest idle connection is closed to make room for a new one. A connection with a pending
	// set-up is never closed for that.
	"the number of connections is limited": `
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

// TestSIP runs the scenarios of callers and case servers.
func TestSIP(t *testing.T) { runScenarios(t, sipScenarios) }

// TestShutdown checks that after SIGTERM the router keeps accepting and answering set-ups. It ends no sooner than
// after 0.7 s and not before all set-ups are answered.
func TestShutdown(t *testing.T) {
	w := runScenario(t, twoServers+"a send INVITE c1 Answer-Within=3000\ns0 expect INVITE c1")
	w.node.Loop.Post(w.node.Shutdown)
	run := func(line string) { require.NoError(t, w.execute(line), line) }
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
	run("b expect closed") // the connection is closed before the process ends
	run("wait 100ms")
	require.NoError(t, <-w.ended)
	w.ended <- nil
	require.Contains(t, w.log(), "requests=2 repeated=0 left=0 stood=2")
}

// TestReload checks that SIGHUP reloads the configuration: the router keeps its calls and servers, queries the new
// name service at once and still ignores lists older than the last. An invalid file changes nothing.
func TestReload(t *testing.T) {
	w := runScenario(t, callEstablished+"a send INVITE c2\ns0 expect INVITE c2")
	run := func(line string) { t.Helper(); require.NoError(t, w.execute(line), "%s\n%s", line, w.log()) }
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("NODE_CONFIG", path)
	w.node.HandleSignals()
	hup := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	old := w.names
	old.Close() // the old service no longer answers
	w.names = startNameService(t)
	hup(strings.Replace(w.config, old.Addr(), w.names.Addr(), 1))
	run(`log "configuration read anew"`)
	run("list serial=3 s1")
	run(`log "list 3 ignored, older than list 7"`)
	run("list serial=8 s0 s1=draining")
	run(`log "list: server s1 number 1 state 1"`)
	hup("{")
	run(`log "configuration rejected, keeping the current one"`)
	run("s0 send 200 INVITE c2 Body=x")
	run("a expect 200 INVITE c2 Body=x")
	run("s0 send BYE c1 Reason=Q.850;cause=16")
	run("a expect BYE c1 Reason=cause=16")
	run("list serial=9 s0 s1")
	run(`log "list: server s1 number 1 state 0"`)
}

// counters returns the node's counters, read by its event loop.
func (w *scenarioRun) counters() string {
	counters := make(chan string, 1)
	w.node.Loop.Post(func() { counters <- w.node.Counters() })
	return <-counters
}

// TestFlood checks that a flood on one connection is refused at once and that other connections are still served.
func TestFlood(t *testing.T) {
	w := runScenario(t, oneServer+"b open")
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
		require.Contains(t, m.(standin.Message).StartLine, "503")
		require.Equal(t, "1000", m.(standin.Message).Header["Come-Back-Ms"])
		refused++
	}
	require.Contains(t, w.counters(), fmt.Sprintf("Flooded:%d", 400-64))
	require.NoError(t, w.execute("b send OPTIONS x"))
	require.NoError(t, w.execute("b expect 200 OPTIONS x"))
}

// TestTablesEmpty guards against leaks: each table by call, connection or server is empty again once its entries have
// ended, whatever the outcome.
func TestTablesEmpty(t *testing.T) {
	w := runScenario(t, twoServers+`
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
log "s0 was removed, 1 attempts cut"
a expect BYE c1
a close
wait 31s
list s1
log "list: server s1"`)
	text := w.counters()
	for _, size := range []string{
		" calls=0 ", " known=0 ", " servers=1 ", "Open:0 ", "Owed:0}", "Peers:1 ", "Legs:0 ", "Given:0}",
	} {
		require.Contains(t, text, size)
	}
}

// TestAttemptsAreBounded checks that a call has neither two attempts at once nor more than six, however often servers
// fail it.
func TestAttemptsAreBounded(t *testing.T) {
	w := runScenario(t, twoServers+"a send INVITE c1 Answer-Within=5000")
	sent, at := 0, "s0"
	for sent < 7 {
		if w.execute(at+" expect INVITE c1") != nil {
			break
		}
		sent++
		require.NoError(t, w.execute(at+" send 504 INVITE c1"))
		require.NoError(t, w.execute("wait 300ms"))
		at = map[string]string{"s0": "s1", "s1": "s0"}[at]
		if sent == 6 {
			require.NoError(t, w.execute("a expect 500 INVITE c1"))
			break
		}
	}
	require.Equal(t, 6, sent, w.log())
	require.NoError(t, w.execute(at+" expect silence"))
}
