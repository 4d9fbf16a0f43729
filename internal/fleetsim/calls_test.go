package fleetsim

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/verdict"
)

// calm is a world without troubles but those that a test names.
func calm(seed uint64, members int) Config {
	cfg := Default(seed)
	cfg.Members, cfg.Cuts, cfg.Pauses, cfg.Kills, cfg.Twins, cfg.Islands, cfg.Loss, cfg.Twice, cfg.Puts, cfg.Quiet = members, 0, 0, 0, 0, 0, 0, 0, 0, 0
	cfg.Keepers, cfg.For = 1, 45*time.Second
	return cfg
}

// served is a world of calls: 36 servers at half of what they can take.
func served(seed uint64, members, servers int, rate float64, bad ...Bad) Config {
	cfg := calm(seed, members)
	cfg.Calls = &Calls{Servers: servers, Zones: 3, Rate: rate, Stand: 2 * time.Second, Agents: 1000, Terms: verdict.DefaultTerms(), Bad: bad}
	cfg.Calls.Serve = time.Duration(0.5 * float64(servers) / (float64(members) * rate) * float64(time.Second))
	return cfg
}

func size(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// TestLook prints what becomes of one trouble, shared and alone: VERDICT_MEMBERS, VERDICT_SERVERS, VERDICT_HOW.
func TestLook(t *testing.T) {
	how := os.Getenv("VERDICT_HOW")
	if how == "" {
		t.Skip("by command")
	}
	members, servers := size("VERDICT_MEMBERS", 60), size("VERDICT_SERVERS", 36)
	for _, alone := range []bool{true, false} {
		cfg := served(1, members, servers, float64(size("VERDICT_RATE", 20)), Bad{At: 10 * time.Second, For: 15 * time.Second, Server: 1, How: how, By: 4})
		cfg.Calls.Alone = alone
		began := time.Now()
		r := Run(cfg)
		require.Empty(t, r.Broken)
		c := r.Called
		slices.Sort(c.Ages)
		age := func(q int) time.Duration {
			if len(c.Ages) == 0 {
				return 0
			}
			return c.Ages[min(len(c.Ages)-1, len(c.Ages)*q/100)].Round(time.Millisecond)
		}
		t.Logf("alone %v: offered %d in time %d late %d refused %d failed %d; wasted %d, last after %v, back after %v; wrong %v most %v of %v; ages p50 %v p99 %v; frames %d bytes %d; took %v", alone, c.Offered, c.InTime, c.Late,
			c.Refused, c.Failed, c.Wasted, c.Last, c.Back(cfg.Calls.Bad[0], 15*time.Second), c.Wrong, c.WrongMost, c.Watched, age(50), age(99), c.Frames, c.FrameBytes, time.Since(began).Round(time.Millisecond))
		line := ""
		for i := 90; i < 320; i += 10 {
			n := 0
			for k := i; k < i+10 && k < len(c.Sent[1]); k++ {
				n += c.Sent[1][k]
			}
			line += fmt.Sprint(" ", n)
		}
		t.Log("set-ups to the bad one, by second from 9 s:", line)
	}
}
