package scenario

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/standin"
)

// TestMixedCallers checks that both fronts get the same service. Pairs of equal calls, one over SIP and one over
// WebSocket, go to servers that answer, fail, reset or stay silent depending on the called number. Every call gets
// exactly one final answer, no call has two attempts at once or more than six, and about as many calls of each
// class are established on both fronts.
func TestMixedCallers(t *testing.T) {
	const pairs = 240
	w := runScenario(t, twoServers[:strings.Index(twoServers, "start")]+"start callcontrol\na open\nw1 open id=desk1")
	w.names.Close() // the server list does not change in this test
	type outcome struct {
		class   string
		answers int
		stood   bool
	}
	outcomes := map[string]*outcome{} // by call: sip-N and web-N
	attempts, inFlight, number := map[string]int{}, map[string]string{}, map[string]int{}
	webCalls := map[string]string{}

	processServer := func(name string) {
		p := w.peers[name]
		require.NoError(t, p.send("OPTIONS barrier"))
		for {
			got, err := p.next()
			require.NoError(t, err)
			m, ok := got.(standin.Message)
			require.True(t, ok, "%s: %v", name, got)
			id, words := m.Header["Call-ID"], strings.Fields(m.StartLine)
			switch words[0] {
			case "SIP/2.0":
				return // the answer to the barrier: all earlier messages are processed
			case "INVITE":
				require.Empty(t, inFlight[id], "two attempts of %s at once", id)
				attempts[id]++
				require.LessOrEqual(t, attempts[id], 6, "attempts of %s", id)
				inFlight[id] = name
				var n int
				fmt.Sscanf(m.Body, "pair %d", &n)
				number[id] = n
				answer := "200 INVITE #" + id + " Body=x"
				switch {
				case n%6 == 2 && attempts[id] == 1:
					answer = "500 INVITE #" + id
				case n%6 == 3 && attempts[id] < 3:
					answer = "504 INVITE #" + id
				case n%40 == 5:
					continue // silent
				}
				require.NoError(t, p.send(answer))
				delete(inFlight, id)
			case "CANCEL":
				require.Equal(t, name, inFlight[id], "cancel of %s", id)
				delete(inFlight, id)
			case "BYE":
				t.Fatalf("%s: release of %s", name, id)
			}
		}
	}
	recordAnswer := func(key string, established bool) {
		call := outcomes[key]
		require.NotNil(t, call, key)
		call.answers++
		call.stood = established
		require.Equal(t, 1, call.answers, "final answers to %s", key)
	}
	readSIPAnswers := func() {
		p := w.peers["a"]
		require.NoError(t, p.send("OPTIONS barrier"))
		for {
			got, err := p.next()
			require.NoError(t, err)
			m := got.(standin.Message)
			words := strings.Fields(m.StartLine)
			if strings.HasSuffix(m.Header["CSeq"], "OPTIONS") {
				return
			}
			for n := range pairs {
				if m.Header["Call-ID"] == callID(fmt.Sprintf("sip-%d", n)) {
					recordAnswer(fmt.Sprintf("sip-%d", n), words[1] == "200")
				}
			}
		}
	}
	readWebAnswers := func() {
		p := w.peers["w1"]
		require.NoError(t, p.write(clientFrame(true, 9, nil)))
		for {
			got, err := p.next()
			require.NoError(t, err)
			m := got.(wsMessage)
			if m.op == 10 {
				return
			}
			var v struct {
				ID     *int
				Result *struct{}
				Method string
				Params struct {
					Call    string
					Request int
				}
			}
			require.NoError(t, json.Unmarshal([]byte(m.text), &v))
			if v.Method == "call.placed" {
				webCalls[v.Params.Call] = fmt.Sprintf("web-%d", v.Params.Request)
			} else if v.ID != nil {
				recordAnswer(fmt.Sprintf("web-%d", *v.ID), v.Result != nil)
			}
		}
	}
	processAll := func() {
		for _, p := range []string{"s0", "s1"} {
			processServer(p)
		}
		readSIPAnswers()
		readWebAnswers()
	}
	for n := range pairs {
		class := []string{"voice", "data"}[n%2]
		outcomes[fmt.Sprintf("sip-%d", n)] = &outcome{class: class}
		outcomes[fmt.Sprintf("web-%d", n)] = &outcome{class: class}
		placeBySIP := func() {
			require.NoError(t, w.peers["a"].write([]byte(fmt.Sprintf("INVITE sip:%d@net SIP/2.0\r\nCall-ID: %s\r\n"+
				"CSeq: 1 INVITE\r\nCall-Kind: %s\r\nAnswer-Within: 3000\r\nRouting-Data: dest:%d\r\n"+
				"Content-Length: %d\r\n\r\npair %d",
				n, callID(fmt.Sprintf("sip-%d", n)), class, n/2%2, len(fmt.Sprintf("pair %d", n)), n))))
			readSIPAnswers()
		}
		placeByWeb := func() {
			require.NoError(t, w.execute(fmt.Sprintf(`w1 send {"jsonrpc":"2.0","id":%d,"method":"call.place",`+
				`"params":{"class":%q,"number":"%d","destination":%d,"answerWithinMs":3000,"description":"pair %d"}}`,
				n, class, n, n/2%2, n)))
			readWebAnswers()
		}
		if n%4 < 2 { // the fronts take turns in being first
			placeBySIP()
			placeByWeb()
		} else {
			placeByWeb()
			placeBySIP()
		}
		for range 8 {
			processAll()
			w.advance(5 * 1e6)
		}
	}
	for range 700 {
		processAll()
		w.advance(5 * 1e6)
	}
	established := map[string]int{}
	for key, call := range outcomes {
		require.Equal(t, 1, call.answers, "final answers to %s", key)
		if call.stood {
			established[key[:3]+" "+call.class]++
		}
	}
	t.Log(established)
	for _, class := range []string{"voice", "data"} {
		require.InDelta(t, established["sip "+class], established["web "+class], pairs/2*0.12, "%s: %v", class, established)
		require.Greater(t, established["sip "+class], pairs/8, "%s: %v", class, established)
	}
}
