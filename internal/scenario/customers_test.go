package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/standin"
)

// This file tests behaviour that must hold with the settings of every customer: the names and the number of classes,
// the limit of attempts, the drain grace period and the release wait come from the settings alone.

// customer holds the settings that differ between customers. release is the release wait.
type customer struct {
	classes, attempts        int
	grace, release, deadline time.Duration
}

// class returns the name of a class.
func (c customer) class(i int) string { return fmt.Sprintf("kind-%d-of-%d", i, c.classes) }

// settings returns the router's settings in JSON.
func (c customer) settings() string {
	var pools, servers []string
	for i := range c.attempts + 2 {
		servers = append(servers, fmt.Sprint(i))
	}
	var classes, holding []string
	for i := range c.classes {
		classes = append(classes, fmt.Sprintf(
			`{"name":%q,"aimMs":%d,"deadlineMs":%d,"gain":%d,"lateWorth":0.3,"repeat":"free"}`,
			c.class(i), 400+100*i, c.deadline.Milliseconds(), 1+i))
		pools = append(pools, "["+strings.Join(servers, ",")+"]")
		holding = append(holding, fmt.Sprint(1000+500*i))
	}
	return fmt.Sprintf(`{"me":0,"replicasOfMe":1,"discovery":"pushed","classes":[%s],`+
		`"domain":{"allowedPools":[%s],"clearWaitMs":%d,"holdingMs":[%s],"networkForm":"skills"},
		"limits":{"maxAttempts":%d,"cancel":true,"retryAfter":true,"maxRetryAfterMs":700,"connectTimeoutMs":500},`+
		`"report":{"fields":["idle","circuits"]},
		"rules":{"coldFrom":0.2,"warmWithinMs":5000,"fallMultiple":2,"overloadForMs":1000,"drainGraceMs":%d}}`,
		strings.Join(classes, ","), strings.Join(pools, ","), c.release.Milliseconds(), strings.Join(holding, ","),
		c.attempts, c.grace.Milliseconds())
}

// nextAttempt advances the router's clock and returns the case server that gets an attempt of the call meanwhile,
// or nil if none does.
func (w *scenarioRun) nextAttempt(call string, within time.Duration) *peer {
	w.advance(within)
	var found *peer
	for range 2 { // once the router has answered this request, the attempts sent before it have arrived
		require.NoError(w.t, w.execute("z expect silence"))
		time.Sleep(10 * time.Millisecond)
	}
	for _, p := range w.peers {
		for p.listener != nil && len(p.received) > 0 {
			if m, ok := (<-p.received).(standin.Message); ok && m.Method() == "INVITE" && m.CallID() == callID(call) {
				require.Nil(w.t, found, "two attempts at once")
				found = p
			}
		}
	}
	return found
}

// TestCustomerSettings checks classes, attempts, release wait and drain grace with the settings of several customers.
func TestCustomerSettings(t *testing.T) {
	for _, c := range []customer{
		{1, 1, 300 * time.Millisecond, 100 * time.Millisecond, 4 * time.Second},
		{2, 3, time.Second, 400 * time.Millisecond, 9 * time.Second},
		{8, 5, 2500 * time.Millisecond, 700 * time.Millisecond, 12 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d classes, %d attempts", c.classes, c.attempts), func(t *testing.T) {
			t.Parallel()
			script := ""
			for i := range c.attempts + 2 {
				script += fmt.Sprintf("s%d open number=%d\n", i, i)
			}
			script += "start\na open\nz open\n"
			for i := range c.classes {
				script += fmt.Sprintf("a send INVITE c%d Call-Kind=%s Answer-Within=%d\n"+
					"s0 expect INVITE c%d Call-Kind=%s\ns0 send 200 INVITE c%d Body=x\na expect 200 INVITE c%d\n",
					i, c.class(i), c.deadline.Milliseconds(), i, c.class(i), i, i)
			}
			script += fmt.Sprintf("a send INVITE late Call-Kind=%s Answer-Within=%d\na expect 400 INVITE late\n",
				c.class(0), c.deadline.Milliseconds()+1)
			script += "a send INVITE other Call-Kind=voice\na expect 400 INVITE other\n"
			script += fmt.Sprintf("a send INVITE x Call-Kind=%s Answer-Within=%d\n",
				c.class(c.classes-1), c.deadline.Milliseconds())
			w := runScenarioWith(t, c.settings(), script)

			// Each attempt is reset: the next one follows after the release wait, up to the limit of attempts.
			server := w.nextAttempt("x", 0)
			for n := 1; ; n++ {
				require.NotNil(t, server, "attempt %d", n)
				require.NoError(t, server.send("504 INVITE x"))
				if n == c.attempts {
					break
				}
				require.NoError(t, w.execute("z expect silence"))
				require.Nil(t, w.nextAttempt("x", c.release-20*time.Millisecond), "within the release wait")
				server = w.nextAttempt("x", 60*time.Millisecond)
			}
			require.NoError(t, w.execute("a expect 500 INVITE x"))
			require.Nil(t, w.nextAttempt("x", c.release+100*time.Millisecond))

			// A draining server gets no calls once its grace period is over.
			list := "list s0=draining"
			for i := 1; i < c.attempts+2; i++ {
				list += fmt.Sprintf(" s%d", i)
			}
			require.NoError(t, w.execute(list))
			require.NoError(t, w.execute(`log "server s0 number 0 state 1"`))
			w.advance(c.grace)
			require.NoError(t, w.execute(fmt.Sprintf("a send INVITE y Call-Kind=%s Answer-Within=1000", c.class(0))))
			server = w.nextAttempt("y", 0)
			require.NotNil(t, server)
			require.NotEqual(t, "s0", server.name)
		})
	}
}
