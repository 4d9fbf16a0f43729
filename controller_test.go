package threadglade

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns settings for tests, with names and figures of no real deployment.
func settings() Settings {
	return Settings{
		Proxies: 2,
		Classes: []Class{
			{Name: "plain", Aim: time.Second, Deadline: 8 * time.Second, HoldingTime: 4 * time.Second, Worth: 1,
				LateFactor: 0.2, Servers: []int{1, 2}},
			{Name: "dear", Aim: time.Second, Deadline: 8 * time.Second, HoldingTime: 6 * time.Second, Worth: 5,
				LateFactor: 0.2, Servers: []int{1, 2}},
		},
		Limits: Limits{MaxAttempts: 3, MaxRetryAfter: time.Second, RetryAfter: true, Cancel: true},
		Rules: Rules{ReleaseWait: 400 * ms, DrainGrace: 100 * ms, ColdCapacity: 0.25, WarmUpTime: 10 * time.Second,
			CollapseMultiple: 2, CollapseWindow: 2 * time.Second},
		Callers: Callers{MarkRetries: true},
	}
}

// rig feeds events to one Controller, with times from a test clock.
type rig struct {
	t    *testing.T
	c    *Controller
	now  time.Duration
	next int
}

func newRig(t *testing.T, set Settings, servers ...Server) *rig {
	t.Helper()
	c, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, c: c, now: time.Hour}
	r.handle(ServerList{Stored: true, Servers: servers})
	return r
}

func twoServers() []Server { return []Server{{ID: "a", Number: 1}, {ID: "b", Number: 2}} }

func (r *rig) handle(e Event) []Action { return r.c.Handle(r.now, e) }

func (r *rig) advance(d time.Duration) { r.now += d }

// newCall delivers a new call for number 1 and returns its ID and the resulting actions.
func (r *rig) newCall(class string) (string, []Action) {
	r.next++
	id := fmt.Sprint("call", r.next)
	return id, r.handle(Arrival{Call: id, Class: class, Number: "n" + id, TimeLeft: 3 * time.Second, Destination: 1})
}

// fireTimers delivers the timers among actions that are due, in order, and returns the resulting actions.
func (r *rig) fireTimers(actions []Action) (resulting []Action) {
	for _, a := range actions {
		if s, ok := a.(SetTimer); ok && s.At <= r.now {
			resulting = append(resulting, r.handle(Due{Token: s.Token})...)
		}
	}
	return resulting
}

// sentTo returns the server that actions send the call to, or "".
func sentTo(actions []Action, id string) string {
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Call == id {
			return s.Server
		}
	}
	return ""
}

// isAnswered reports whether actions contain the final answer of a call.
func isAnswered(actions []Action, id string) bool {
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			if a.Call == id {
				return true
			}
		case Fail:
			if a.Call == id {
				return true
			}
		}
	}
	return false
}

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// Step 1 of the algorithm, eq. 1.
func TestSpacingIsSmoothedBeforeAnyGap(t *testing.T) {
	var control admissionControl
	for _, at := range []time.Duration{0, 200 * ms, 700 * ms} { // spacings 200 and 500 ms
		control.recordArrival(at)
	}
	assertNear(t, "spacing in ms", float64(control.spacing)/1e6, 0.9*200+0.1*500)
	assertNear(t, "arrival rate", control.lambda(), 1000.0/230)
}

func TestFirstRejectionStartsTheControlWithoutGap(t *testing.T) {
	control := admissionControl{meter: meter{spacing: 250 * ms}}
	control.recordRejection(0)
	assertNear(t, "rate", control.rate, 4)
	if !control.active || control.gap != 0 {
		t.Errorf("active %v, gap %v; want active without a gap", control.active, control.gap)
	}
}

// Step 5 of the algorithm.
func TestRejectionsCutTheRateUnlessTheirRatioFalls(t *testing.T) {
	control := admissionControl{meter: meter{spacing: 250 * ms}}
	control.recordRejection(0)
	control.admissions = 4
	control.adaptRate(time.Second) // ratio 1/4, above the stored 0
	assertNear(t, "rate after the first cut", control.rate, 3.5)
	control.admissions, control.rejections = 8, 1
	control.adaptRate(2 * time.Second) // 1/8 is below 1/4: stored without a cut
	assertNear(t, "rate after a falling ratio", control.rate, 3.5)
	assertNear(t, "stored ratio", control.rejectionRatio, 0.125)
	control.admissions, control.rejections = 0, 1
	control.adaptRate(3 * time.Second) // no admissions: 1
	assertNear(t, "rate after the second cut", control.rate, 3.5*7/8)
	assertNear(t, "stored ratio", control.rejectionRatio, 1)
}

// Step 4 of the algorithm, eq. 12 with k = 1/2 and α = 0.2.
func TestRateClimbsByASquareLaw(t *testing.T) {
	control := admissionControl{active: true, meter: meter{spacing: 250 * ms}, rate: 2, climbStart: 2}
	for n := 1; n <= 3; n++ {
		control.answers = 1
		control.adaptRate(time.Duration(n) * time.Second)
		assertNear(t, fmt.Sprint("rate after ", n), control.rate, 2+math.Pow(0.1*float64(n), 2))
	}
	// Step 6, eq. 2.
	assertNear(t, "gap in ms", float64(control.gap.Microseconds())/1e3, math.Floor((1/2.09-1/4.0)*1e6)/1e3)
}

// Step 3 of the algorithm.
func TestRateFollowsLowerArrivalRate(t *testing.T) {
	control := admissionControl{active: true, meter: meter{spacing: 500 * ms}, rate: 5, gap: time.Second, answers: 1}
	control.adaptRate(time.Second)
	assertNear(t, "rate", control.rate, 2)
	if control.gap != 0 {
		t.Errorf("gap %v, want none", control.gap)
	}
}

// Without merging of intervals, the climb undoes each cut before the next answer.
func TestIntervalsWithoutAnswersAreMerged(t *testing.T) {
	control := admissionControl{active: true, meter: meter{spacing: 4 * time.Second}, rate: 0.2, climbStart: 0.2}
	for n := 1; n <= 5; n++ {
		control.adaptRate(time.Duration(n) * time.Second)
	}
	assertNear(t, "rate after five intervals without answers", control.rate, 0.2)
	control.answers = 1
	control.adaptRate(6 * time.Second)
	// At a quarter of a call a second, the climb is a quarter of that at one call a second.
	assertNear(t, "rate after an answer in time in the sixth", control.rate, 0.2+0.25*math.Pow(0.1*6, 2))
	cut := admissionControl{active: true, meter: meter{spacing: 4 * time.Second},
		rate: 0.2, lastRejection: time.Second}
	cut.adaptRate(time.Second)
	cut.rejections = 1
	cut.adaptRate(2 * time.Second)
	assertNear(t, "rate after an overload rejection in the second interval", cut.rate, 0.2*math.Pow(7.0/8, 2))
}

func TestIdleControlEnds(t *testing.T) {
	control := admissionControl{active: true, meter: meter{spacing: 250 * ms}, rate: 1, gap: time.Second}
	control.adaptRate(idleTimeout - 1)
	if !control.active {
		t.Fatal("the control ended before the idle timeout")
	}
	control.adaptRate(idleTimeout)
	if control.active || control.gap != 0 {
		t.Error("the control did not end after the idle timeout")
	}
}

func TestGapStopsCallsOfOneServer(t *testing.T) {
	set := settings()
	set.Classes[0].Servers = []int{1}
	r := newRig(t, set, twoServers()...)
	s := r.c.byID["a"]
	s.active, s.gap = true, time.Second
	first, got := r.newCall("plain")
	if sentTo(got, first) != "a" {
		t.Fatal("first call not sent")
	}
	second, got := r.newCall("plain")
	if sentTo(got, second) != "" {
		t.Fatal("sent within the gap")
	}
	r.advance(100 * ms) // a call of worth 1 of at most 5 waits 1/5 of 0.4 of its aim: 80 ms
	if got = r.fireTimers([]Action{SetTimer{At: r.now, Token: waitingTimerToken}}); !isAnswered(got, second) {
		t.Fatal("a stopped call is not refused after its wait")
	}
	r.advance(time.Second)
	if third, got := r.newCall("plain"); sentTo(got, third) != "a" {
		t.Fatal("not sent after the gap")
	}
}

func TestGappedCallGoesToAServerWithoutGap(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	r.c.byID["a"].gapUntil = r.now + time.Second
	if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
		t.Error("not sent to the server without a gap")
	}
}

func TestProcessorFullStartsCoolDownAndRefusesTheCall(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	id, _ := r.newCall("plain")
	r.advance(20 * ms)
	got := r.handle(Ended{Call: id, Server: "a", Outcome: Rejected, Cause: CauseProcessorFull})
	if !isAnswered(got, id) {
		t.Error("the call is not refused")
	}
	r.advance(minCoolDown - 1)
	if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
		t.Error("sent to a server in cool-down")
	}
	r.advance(1)
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("not sent to its first choice after the cool-down")
	}
}

// With a fixed cool-down, overloaded servers received 50 set-ups a second and answered 2.
func TestRepeatedFailuresLengthenTheCoolDown(t *testing.T) {
	set := settings()
	set.Proxies = 100
	r := newRig(t, set, twoServers()...)
	s := r.c.byID["a"]
	last := time.Duration(0)
	for range 3 {
		r.now = max(r.now, s.coolDownUntil)
		id, _ := r.newCall("plain")
		r.handle(Ended{Call: id, Server: "a", Outcome: Rejected, Cause: CauseProcessorFull})
		coolDown := s.coolDownUntil - r.now
		if coolDown < minCoolDown || coolDown <= last/2 {
			t.Fatalf("cool-down of %v after one of %v", coolDown, last)
		}
		last = coolDown
		r.advance(2 * time.Second)
	}
	if last < 4*minCoolDown {
		t.Errorf("cool-down of %v after three failures in a row", last)
	}
	r.c.settings.Proxies = 3 // with few proxies, cool-downs of seconds leave a healthy server idle
	r.c.startCoolDown(s)
	if coolDown := s.coolDownUntil - r.now; coolDown > 2*3*minCoolDown {
		t.Errorf("cool-down of %v with three proxies", coolDown)
	}
	r.now = max(r.now, s.coolDownUntil)
	id, _ := r.newCall("plain")
	r.handle(Established{Call: id, Server: "a", Latency: ms})
	id, _ = r.newCall("plain")
	r.handle(Ended{Call: id, Server: "a", Outcome: Rejected, Cause: CauseProcessorFull})
	if coolDown := s.coolDownUntil - r.now; coolDown != minCoolDown {
		t.Errorf("cool-down of %v after an answer in time", coolDown)
	}
}

// A server whose latest answers were too slow gets no fresh calls. Without this rule, a fifth of all set-ups were
// established too late at such servers.
func TestFreshCallAvoidsAServerWhereItWouldBeLate(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	r.c.byID["a"].admissionMeter.spacing = 3 * time.Second
	id, timers := r.newCall("plain")
	r.advance(1200 * ms)
	r.fireTimers(timers)
	r.handle(Established{Call: id, Server: "a", Latency: 1200 * ms}) // its aim is 1 s
	r.advance(time.Second)
	if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
		t.Error("a fresh call is sent where it would be late")
	}
	r.advance(3 * time.Second)
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("without newer answers, the old answer still keeps calls away")
	} else {
		r.handle(Established{Call: id, Server: "a", Latency: 1200 * ms})
	}
	got := r.handle(Arrival{Call: "late", Class: "plain", Number: "n", TimeLeft: 3 * time.Second, Destination: 1,
		Retry: true})
	if sentTo(got, "late") != "a" {
		t.Error("a late call is not sent to measure the response time")
	}
	r.handle(Established{Call: "late", Server: "a", Latency: 100 * ms})
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("an answer in time does not bring fresh calls back")
	}
	s := r.c.byID["a"]
	s.lastLatency, s.admissionMeter.spacing = 1200*ms, 300*ms
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("a single answer decides where there are enough for a rate")
	}
}

// Several faults in a row start a cool-down. Otherwise a server that quickly answers 95 of 100 set-ups with a fault
// attracts most calls of all proxies. A single fault does not, as the call may have caused it: otherwise calls that
// no server can serve put every server into cool-down for all other calls, and each is tried six times.
func TestFaultsInARowStartCoolDownAndTheCallIsRetriedOnce(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	for n := 1; n <= maxServerFaults; n++ {
		id, got := r.newCall("plain")
		if sentTo(got, id) != "a" {
			t.Fatalf("the server is in cool-down after %d faults", n-1)
		}
		if got := r.handle(Ended{Call: id, Server: "a", Outcome: Faulted}); sentTo(got, id) != "b" {
			t.Error("the call does not go on to another server")
		}
		if got := r.handle(Ended{Call: id, Attempt: 1, Server: "b", Outcome: Faulted}); !isAnswered(got, id) {
			t.Error("a call with faults at two servers is not refused")
		}
		r.c.byID["b"].faults = 0
	}
	if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
		t.Error("sent to a server that has just reported several faults in a row")
	}
}

// A removed server no longer counts in the sums of agents and is forgotten after forgetDelay. Otherwise shares
// shrink and tables grow without limit where servers are replaced continuously.
func TestRemovedServersAreSubtractedAndForgotten(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	r.handle(Agents{Server: "a", Free: 3, Total: 10})
	r.handle(Agents{Server: "b", Free: 5, Total: 10})
	r.handle(ServerList{Servers: twoServers()[:1]})
	r.handle(Agents{Server: "b", Free: 1, Total: 10})
	if r.c.agentsInUse != 7 || r.c.totalAgents != 10 {
		t.Errorf("%d of %d agents in use, want those of a alone: 7 of 10", r.c.agentsInUse, r.c.totalAgents)
	}
	r.advance(forgetDelay / 2)
	r.handle(ServerList{Servers: twoServers()})
	if r.c.agentsInUse != 12 || r.c.totalAgents != 20 {
		t.Errorf("%d of %d agents in use once b is back, want 12 of 20", r.c.agentsInUse, r.c.totalAgents)
	}
	r.handle(ServerList{Servers: twoServers()[:1]})
	r.advance(forgetDelay)
	r.handle(ServerList{Servers: twoServers()[:1]})
	if len(r.c.servers) != 1 || len(r.c.byID) != 1 {
		t.Errorf("%d servers known, want 1", len(r.c.servers))
	}
}

// The climb grows with the arrival rate. Otherwise a proxy with 80 calls a second stays below its arrival rate for
// the rest of a day after one isolated overload rejection.
func TestClimbGrowsWithTheRateOfCalls(t *testing.T) {
	control := admissionControl{active: true, meter: meter{spacing: 12500 * time.Microsecond},
		rate: 60, climbStart: 60, answers: 1}
	control.adaptRate(time.Second)
	assertNear(t, "rate", control.rate, 60+0.01*80/nominalRate)
}

// One overload rejection among many admissions does not cut the rate: with tens of calls a second, some answer is
// late in every interval, and each would cut the rate by an eighth.
func TestIsolatedRejectionCutsNoRate(t *testing.T) {
	control := admissionControl{active: true, meter: meter{spacing: 25 * ms},
		rate: 30, climbStart: 30, admissions: 40, rejections: 1}
	control.adaptRate(time.Second)
	if control.rate < 30 {
		t.Errorf("rate cut to %v for one overload rejection in 40", control.rate)
	}
	control.admissions, control.rejections = 39, 2
	control.adaptRate(2 * time.Second)
	if control.rate >= 30 {
		t.Errorf("rate %v not cut for two overload rejections in 39", control.rate)
	}
}

// Latency caused by network distance alone does not block a server. Otherwise every second set-up blocks its server
// where calls with short aims cross zones.
func TestBaseLatencyBlocksNoServer(t *testing.T) {
	r := newRig(t, settings(), twoServers()[:1]...)
	id, _ := r.newCall("plain")
	r.handle(Established{Call: id, Server: "a", Latency: 150 * ms})
	_, first := r.newCall("plain")
	r.advance(200 * ms)
	r.fireTimers(first)
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("blocked after a fifth of the aim, although that is within twice the base latency")
	}
}

// With many calls, a probe is sent to a server with an overdue set-up after a delay; its answer shows that the
// set-up was lost. Without it, one lost set-up blocks each server until its deadline.
func TestProbeDetectsALostSetUp(t *testing.T) {
	for spacing, want := range map[time.Duration]string{20 * ms: "a", 150 * ms: ""} {
		r := newRig(t, settings(), twoServers()[:1]...)
		_, first := r.newCall("plain")
		r.c.byID["a"].spacing = spacing
		r.advance(200 * ms)
		r.fireTimers(first)
		if id, got := r.newCall("plain"); sentTo(got, id) != "" {
			t.Error("sent at once")
		}
		r.advance(200 * ms)
		r.c.byID["a"].spacing = spacing
		if id, got := r.newCall("dear"); sentTo(got, id) != want {
			t.Errorf("spacing %v: sent to %q, want %q", spacing, sentTo(got, id), want)
		}
	}
}

// An overtaken set-up was lost in transit: it is withdrawn and retried after the release wait. The retry may go to
// the same server, which is not blocked. Otherwise, where connections lose every third message, one lost set-up
// blocks each server until its deadline, and nine calls of ten are refused.
func TestOvertakenSetUpIsRetriedAndBlocksNoServer(t *testing.T) {
	r := newRig(t, settings(), twoServers()[:1]...)
	lost, first := r.newCall("plain")
	r.advance(10 * ms)
	sound, _ := r.newCall("plain")
	r.advance(30 * ms)
	r.handle(Established{Call: sound, Server: "a", Latency: 30 * ms})
	r.advance(160 * ms)
	want := GiveUp{Call: lost, Why: Overtaken}
	if got := r.fireTimers(first); !slices.Contains(got, Action(want)) {
		t.Fatalf("not withdrawn: %v", got)
	}
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("the server is blocked by a lost set-up")
	}
	got := r.handle(Ended{Call: lost, Server: "a", Outcome: Cancelled})
	r.advance(400 * ms)
	if sentTo(r.fireTimers(got), lost) != "a" {
		t.Error("not retried after the release wait")
	}
}

// An overdue set-up blocks its server only until a later one is answered.
func TestAnswerToALaterSetUpClearsAnOverdueOne(t *testing.T) {
	r := newRig(t, settings(), twoServers()[:1]...)
	_, first := r.newCall("plain")
	r.advance(190 * ms)
	sound, _ := r.newCall("plain")
	r.advance(10 * ms)
	r.fireTimers(first)
	if id, got := r.newCall("plain"); sentTo(got, id) != "" {
		t.Fatal("an overdue set-up does not block its server")
	}
	r.advance(20 * ms)
	r.handle(Established{Call: sound, Server: "a", Latency: 30 * ms})
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("an overtaken set-up still blocks its server")
	}
	if rejections := r.c.byID["a"].rejections; rejections != 0 {
		t.Errorf("%d overload rejections counted, want none", rejections)
	}
}

func TestCallWithoutAgentIsRedirectedOnce(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	id, _ := r.newCall("plain")
	got := r.handle(Ended{Call: id, Server: "a", Outcome: Rejected, Cause: CauseNoAgent})
	if sentTo(got, id) != "b" {
		t.Fatal("not redirected to the other server")
	}
	got = r.handle(Ended{Call: id, Attempt: 1, Server: "b", Outcome: Rejected, Cause: CauseNoAgent})
	if !isAnswered(got, id) {
		t.Error("redirected twice")
	}
	if r.c.byID["a"].active {
		t.Error("a lack of agents was counted as an overload rejection")
	}
}

func TestRememberedServerIsKept(t *testing.T) {
	servers := []Server{{ID: "a", Number: 1}, {ID: "b", Number: 2}, {ID: "c", Number: 3}}
	set := settings()
	set.Classes[0].Servers = []int{1, 2, 3}
	r := newRig(t, set, servers...)
	r.handle(ServerList{Delta: true, Servers: []Server{{ID: "a", Number: 1, State: Draining}}})
	id, got := r.newCall("plain")
	kept := sentTo(got, id)
	for range 20 {
		if id, got := r.newCall("plain"); sentTo(got, id) != kept {
			t.Fatal("the remembered server changed while it takes calls")
		}
	}
	r.handle(Ended{Call: id, Server: kept, Outcome: Rejected, Cause: CauseProcessorFull})
	if id, got := r.newCall("plain"); sentTo(got, id) == kept || sentTo(got, id) == "" {
		t.Error("not redrawn after processor full")
	}
}

func TestLateSetUpCountsAsRejectionOnce(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	id, got := r.newCall("plain")
	r.advance(500 * ms)
	r.fireTimers(got)
	if s := r.c.byID["a"]; !s.active || s.rejections != 1 {
		t.Fatalf("active %v with %d overload rejections, want the set-up unanswered at half its aim counted",
			s.active, s.rejections)
	}
	r.handle(Established{Call: id, Server: "a", Latency: 500 * ms})
	if s := r.c.byID["a"]; s.rejections != 1 {
		t.Error("the same set-up was counted twice")
	}
}

// Without probation, queues of 3 s persist at a server.
func TestOverdueSetUpBlocksItsServerUntilProbation(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	first, got := r.newCall("plain")
	r.advance(300 * ms)
	r.fireTimers(got)
	if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
		t.Fatal("sent to a server with an overdue set-up")
	}
	r.handle(Established{Call: first, Server: "a", Latency: 300 * ms})
	second, got := r.newCall("plain")
	if sentTo(got, second) != "a" {
		t.Fatal("not sent during probation")
	}
	if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
		t.Fatal("two set-ups in flight at the start of probation")
	}
	r.handle(Established{Call: second, Server: "a", Latency: 20 * ms})
	for range 2 {
		if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
			t.Fatal("an answer in time does not extend the probation limit")
		}
	}
}

// All proxies together are limited to the agents that are free or become free. Otherwise a server with few agents
// gets a call from every proxy as soon as some are free.
func TestFreeAgentsAreSharedByTheProxies(t *testing.T) {
	set := settings()
	set.Proxies = 300
	sent := 0
	for seed := range uint64(300) {
		c, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(time.Hour, ServerList{Servers: twoServers()})
		for i := range 21 { // 200 agents held for 5 s on average: 40 freed a second
			free := 20
			now := time.Hour + time.Duration(i)*time.Second
			c.Handle(now, Agents{Server: "a", Free: free, Total: free + 200})
			c.Handle(now, Agents{Server: "b", Free: 10000, Total: 25000})
			for j := range 10 {
				id := fmt.Sprint(i, "/", j)
				now += 100 * ms
				for _, a := range c.Handle(now, Arrival{Call: id, Class: "plain", Number: id,
					TimeLeft: 3 * time.Second, Destination: 1}) {
					if a, ok := a.(Send); ok {
						c.Handle(now, Established{Call: a.Call, Server: a.Server, Latency: ms})
						if a.Server == "a" && i > 0 {
							sent++
						}
					}
				}
			}
		}
	}
	if maxSent := 20 * (20 + 40); sent > maxSent || sent < maxSent/2 {
		t.Errorf("%d set-ups in 20 s for %d agents", sent, maxSent)
	}
}

func TestMostValuableCallIsPlacedFirst(t *testing.T) {
	r := newRig(t, settings(), Server{ID: "a", Number: 1})
	s := r.c.byID["a"]
	s.coolDownUntil = r.now + 50*ms
	plain, _ := r.newCall("plain")
	dear, _ := r.newCall("dear")
	s.gap, s.active = time.Second, true
	r.advance(50 * ms)
	got := r.handle(Due{Token: waitingTimerToken})
	if sentTo(got, dear) != "a" || sentTo(got, plain) != "" {
		t.Error("the more valuable call was not sent first")
	}
}

func TestLateRepeatedTriesAreSentLast(t *testing.T) {
	for _, marked := range []bool{true, false} {
		set := settings()
		set.Callers.MarkRetries = marked
		r := newRig(t, set, Server{ID: "a", Number: 1})
		s := r.c.byID["a"]
		s.coolDownUntil = r.now + 10*time.Second
		early := Arrival{Call: "early", Class: "plain", Number: "n", TimeLeft: 3 * time.Second, Destination: 1}
		r.handle(early)
		r.advance(1100 * ms) // past the aim of the first try
		s.coolDownUntil = r.now + 30*ms
		early.Call, early.Retry = "again", marked
		r.handle(early)
		fresh, _ := r.newCall("plain")
		s.gap, s.active = time.Second, true
		r.advance(30 * ms)
		got := r.handle(Due{Token: waitingTimerToken})
		if sentTo(got, fresh) != "a" || sentTo(got, "again") != "" {
			t.Errorf("marked %v: the fresh call was not sent before the repeated try", marked)
		}
	}
}

func TestNumberWithBusyLinesGetsNoCalls(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	callHot := func(id string) []Action {
		return r.handle(Arrival{Call: id, Class: "plain", Number: "hot", TimeLeft: 3 * time.Second, Destination: 1})
	}
	callHot("first")
	r.handle(Ended{Call: "first", Server: "a", Outcome: Faulted, Cause: CauseLinesBusy})
	if got := callHot("second"); !isAnswered(got, "second") {
		t.Error("a call to a number with all lines busy is not refused")
	}
	if id, got := r.newCall("plain"); sentTo(got, id) != "a" {
		t.Error("a call to another number is affected")
	}
	r.advance(minBusyDelay)
	if got := callHot("third"); sentTo(got, "third") != "a" {
		t.Error("the number is not tried again")
	}
	r.handle(Ended{Call: "third", Server: "a", Outcome: Faulted, Cause: CauseLinesBusy})
	r.advance(minBusyDelay)
	if got := callHot("fourth"); !isAnswered(got, "fourth") {
		t.Error("the second delay is no longer than the first: hundreds of proxies flood the number")
	}
}

func TestRefusedCallersAreAdvisedToRetrySoon(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		set := settings()
		set.Limits.RetryAfter = allowed
		r := newRig(t, set, twoServers()...)
		id, _ := r.newCall("plain")
		got := r.handle(Ended{Call: id, Server: "a", Outcome: Rejected, Cause: CauseProcessorFull})
		if advice := got[0].(Refuse).RetryAfter; (advice == retryAfterDelay) != allowed {
			t.Errorf("allowed %v: advice %v", allowed, advice)
		}
	}
}

// Rule 1 (each call gets one final answer in time). It was broken for callers with little time left.
func TestCallPastItsDeadlineIsNotSent(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	for _, s := range r.c.servers {
		s.coolDownUntil = r.now + 50*ms
	}
	late := Arrival{Call: "late", Class: "dear", Number: "n", TimeLeft: 79 * ms, Destination: 1}
	r.handle(late)
	r.advance(95 * ms) // the timer is late, as after a pause of the proxy
	if got := r.handle(Due{Token: waitingTimerToken}); sentTo(got, "late") != "" || !isAnswered(got, "late") {
		t.Errorf("%v, want a refusal", got)
	}
	for _, s := range r.c.servers {
		s.coolDownUntil = r.now + time.Second
	}
	late.Call = "short"
	r.handle(late)
	r.advance(40 * ms) // half the caller's time
	if got := r.handle(Due{Token: waitingTimerToken}); !isAnswered(got, "short") {
		t.Error("a call waits for more than half the time that its caller has left")
	}
}

// Rule 5 (a call whose attempt timed out or was cut or cancelled is not retried before the release wait is over).
func TestRetryWaitsForRelease(t *testing.T) {
	for _, outcome := range []Outcome{TimedOut, Cut, Cancelled} {
		r := newRig(t, settings(), twoServers()...)
		id, _ := r.newCall("plain")
		r.advance(100 * ms)
		got := r.handle(Ended{Call: id, Server: "a", Outcome: outcome})
		if sentTo(got, id) != "" {
			t.Fatalf("outcome %d: sent at once", outcome)
		}
		r.advance(399 * ms)
		r.handle(Due{Token: waitingTimerToken})
		r.advance(ms)
		if got = r.fireTimers(got); sentTo(got, id) != "b" {
			t.Errorf("outcome %d: not sent elsewhere after the release wait", outcome)
		}
	}
}

// Rule 2 (at most one attempt of a call is in flight). It was broken by a timer of an earlier attempt.
func TestOldTimersDoNotEnqueueACallTwice(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	id, timers := r.newCall("dear")
	r.handle(Ended{Call: id, Server: "a", Outcome: Unreachable})
	for _, s := range r.c.servers {
		s.coolDownUntil = r.now + 350*ms
	}
	r.handle(Ended{Call: id, Attempt: 1, Server: "b", Outcome: Unreachable})
	r.advance(300 * ms)
	r.fireTimers(timers)
	waiting := 0
	for _, k := range r.c.waiting {
		if k.Call == id {
			waiting++
		}
	}
	if waiting > 1 {
		t.Errorf("the call is queued %d times", waiting)
	}
}

// Rule 3 (a server that drains or was removed gets no calls).
func TestDrainingServerGetsNothing(t *testing.T) {
	for _, state := range []ServerState{Draining, Removed} {
		r := newRig(t, settings(), twoServers()...)
		r.handle(ServerList{Delta: true, Servers: []Server{{ID: "a", Number: 1, State: state}}})
		if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
			t.Errorf("state %d: sent to a", state)
		}
		r.handle(ServerList{Servers: twoServers()[1:]})
		if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
			t.Error("sent to a server gone from the list")
		}
		r.handle(ServerList{})
		id, _ := r.newCall("plain")
		r.advance(time.Second)
		if got := r.handle(Due{Token: waitingTimerToken}); !isAnswered(got, id) {
			t.Error("no answer with an empty list")
		}
	}
}

// Rule 4 (all proxies together send a cold server no more than it can take).
func TestColdServerLoadIsLimitedByItsAgents(t *testing.T) {
	set := settings()
	set.Classes[1].Servers, set.Classes[0].Servers = []int{1}, []int{1}
	r := newRig(t, set, Server{ID: "a", Number: 1, Started: time.Hour})
	r.handle(Agents{Server: "a", Free: 100, Total: 100})
	sent, window := 0, r.now+set.Rules.CollapseWindow
	for ; r.now < window; r.advance(5 * ms) {
		_, got := r.newCall("plain")
		for _, a := range got {
			if a, ok := a.(Send); ok {
				sent++
				r.handle(Established{Call: a.Call, Server: "a", Latency: ms})
			}
		}
	}
	// 100 agents held for 5 s on average serve 20 calls a second when warm and 5 when cold. With a collapse
	// multiple of 2 and a window of 2 s, both proxies together may send 20 set-ups in the window.
	if sent == 0 || sent > 10 {
		t.Errorf("%d set-ups in the window, want some and at most this proxy's share of 10", sent)
	}
}

// All proxies together stay within the budget of a cold server for any number of proxies, with and without reported
// agents, after a restart of all proxies with a stored list. Otherwise hundreds of proxies send their first calls at
// once and overload it. With assigned fractions, proxies need not know how many they are.
func TestColdServerIsNotOverloadedByManyProxies(t *testing.T) {
	for _, proxies := range []int{3, 30, 300, -3, -30, -300} {
		divided := proxies < 0
		proxies = max(proxies, -proxies)
		for _, reported := range []bool{true, false} {
			set := settings()
			set.Proxies = proxies
			if divided {
				set.Proxies = 1
			}
			agents := 500
			warm := float64(agents) / 5 // calls a second, by a mean holding of 5 s
			random := rand.New(rand.NewPCG(uint64(proxies), 0))
			var all []*Controller
			start := time.Hour
			for i := range proxies {
				set.Index = i
				c, err := New(set, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				c.Handle(start, ServerList{Stored: true, Servers: []Server{{ID: "cold", Number: 1, Started: start},
					{ID: "warm", Number: 2}}})
				if reported {
					c.Handle(start, Agents{Server: "cold", Free: agents, Total: agents})
				}
				if divided {
					c.Handle(start, ColdFraction{})
					c.Handle(start, ColdFraction{Server: "cold", Started: start, Fraction: 1 / float64(proxies),
						Until: start + time.Hour})
				}
				all = append(all, c)
			}
			var sent []time.Duration
			total, n := 0, 0
			for now := start; now < start+set.Rules.WarmUpTime; n++ {
				// The full warm load for each of the two servers.
				now += time.Duration(random.ExpFloat64() / (2 * warm) * float64(time.Second))
				c := all[random.IntN(proxies)]
				id := fmt.Sprint(n)
				got := c.Handle(now, Arrival{Call: id, Class: "plain", Number: id, TimeLeft: 3 * time.Second,
					Destination: 1 + n%2})
				to := sentTo(got, id)
				if to == "" {
					continue
				}
				c.Handle(now, Established{Call: id, Server: to, Latency: 20 * ms})
				if to == "cold" {
					total++
					sent = append(sent, now)
				}
				for len(sent) > 0 && sent[0] < now-set.Rules.CollapseWindow {
					sent = sent[1:]
				}
				age := float64(max(0, now-start-set.Rules.CollapseWindow)) / float64(set.Rules.WarmUpTime)
				capacityFraction := set.Rules.ColdCapacity + (1-set.Rules.ColdCapacity)*age
				budget := set.Rules.CollapseMultiple * capacityFraction * warm * set.Rules.CollapseWindow.Seconds()
				if float64(len(sent)) > budget {
					t.Fatalf("%d proxies, agents reported %v: "+
						"%d set-ups in a window, %.1f s after the start, budget %.0f",
						proxies, reported, len(sent), (now - start).Seconds(), budget)
				}
			}
			if total < agents/10 {
				t.Errorf("%d proxies, agents reported %v: only %d set-ups to the cold server", proxies, reported, total)
			}
		}
	}
}

// A proxy sends a cold server nothing without an assigned fraction, after its expiry, or with one for an earlier
// start. A warm server is not affected.
func TestAssignedFractionOfAColdServer(t *testing.T) {
	set := settings()
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	start, n := time.Hour, 0
	c.Handle(start, ColdFraction{})
	list := func(now, started time.Duration) {
		c.Handle(now, ServerList{Servers: []Server{{ID: "cold", Number: 1, Started: started}}})
		c.Handle(now, Agents{Server: "cold", Free: 500, Total: 500})
	}
	try := func(now time.Duration) (sent int) {
		for range 50 {
			n++
			now += 20 * ms
			if id := fmt.Sprint(n); sentTo(c.Handle(now, Arrival{Call: id, Class: "plain", Number: id,
				TimeLeft: 3 * time.Second, Destination: 1}), id) != "" {
				sent++
				c.Handle(now, Established{Call: id, Server: "cold", Latency: ms})
			}
		}
		return sent
	}
	list(start, start)
	if sent := try(start); sent != 0 {
		t.Errorf("%d set-ups without a fraction", sent)
	}
	c.Handle(start+time.Second, ColdFraction{Server: "cold", Started: start, Fraction: 0.5, Until: start + 3*time.Second})
	if sent := try(start + 2*time.Second); sent < 5 || sent > 20 { // half of a quarter of 100 calls a second
		t.Errorf("%d set-ups with a fraction of one half", sent)
	}
	if sent := try(start + 4*time.Second); sent > 1 {
		t.Errorf("%d set-ups after the fraction expired", sent)
	}
	c.Handle(start+6*time.Second, ColdFraction{Server: "cold", Started: start, Fraction: 1, Until: start + time.Hour})
	list(start+6*time.Second, start+6*time.Second)
	if sent := try(start + 6*time.Second); sent != 0 {
		t.Errorf("%d set-ups with the fraction of an earlier start", sent)
	}
	if sent := try(start + 6*time.Second + set.Rules.WarmUpTime); sent < 40 {
		t.Errorf("%d set-ups to a warm server", sent)
	}
}

// Busy proxies get a larger share. With equal shares, the busiest refuse calls while agents are free.
func TestBusierProxyHasALargerShare(t *testing.T) {
	set := settings()
	set.Proxies = 100
	r := newRig(t, set, twoServers()...)
	r.handle(Agents{Server: "a", Free: 100, Total: 600})
	assertNear(t, "share before any call", r.c.share(), 0.01/maxShareFactor)
	for range 100 { // 10 calls a second, held for 5 s on average, occupy 50 of the 500 agents in use
		r.newCall("plain")
		r.advance(100 * ms)
	}
	assertNear(t, "share of a busy proxy, bounded", r.c.share(), maxShareFactor*0.01)
	r.handle(Agents{Server: "a", Free: 600, Total: 3600})
	assertNear(t, "share of a busy proxy", r.c.share(), 50.0/3000)
}

func TestEventsThatDoNotFitAreIgnored(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	id, _ := r.newCall("plain")
	before := fmt.Sprintf("%+v", *r.c.calls[id])
	for _, e := range []Event{
		Established{Call: "nobody"}, Ended{Call: "nobody"}, CallerGone{Call: "nobody"}, Due{Token: 999},
		Agents{Server: "nowhere"}, Established{Call: id, Attempt: 3}, Ended{Call: id, Attempt: -1},
		Arrival{Call: id, Class: "plain", TimeLeft: time.Second}, ServerList{Failed: true}, nil,
	} {
		if got := r.handle(e); len(got) != 0 {
			t.Errorf("%#v: %v", e, got)
		}
	}
	if after := fmt.Sprintf("%+v", *r.c.calls[id]); after != before {
		t.Error("the call changed")
	}
	r.handle(Established{Call: id, Server: "a", Latency: ms})
	r.handle(Established{Call: id, Server: "a", Latency: ms})
	r.handle(Ended{Call: id, Server: "a", Outcome: Concluded, Final: true})
	if got := r.handle(Ended{Call: id, Server: "a", Outcome: Concluded, Final: true}); len(got) != 0 ||
		len(r.c.calls) != 0 {
		t.Error("a repeated end is not ignored")
	}
	if _, got := r.newCall("no such class"); len(got) != 1 {
		t.Error("a call of an unknown class is not refused")
	}
}

func TestMalformedListsAndCallsAreTolerated(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "known", Quota: 4}}
	r := newRig(t, set, twoServers()...)
	r.handle(ServerList{Servers: []Server{{ID: "a", Number: 1}, {ID: "a", Number: 1, State: Draining},
		{ID: "b", Number: 2}}})
	if id, got := r.newCall("plain"); sentTo(got, id) != "b" {
		t.Error("of a server listed twice, the last entry is not the one in force")
	}
	r.handle(ServerList{Delta: true, Servers: []Server{{ID: "a", Number: 1, Started: r.now}}})
	r.handle(ServerList{Delta: true, Servers: []Server{{ID: "a", Number: 1}}}) // an older start
	r.handle(Agents{Server: "a", Free: -5, Total: -9})
	r.handle(Agents{Server: "a", Free: 50, Total: 10})
	got := r.handle(Arrival{Call: "strange", Class: "plain", Tenant: "nobody", Number: "n",
		TimeLeft: time.Second, Destination: 9})
	if sentTo(got, "strange") == "" {
		t.Error("a call of an unknown tenant to an unknown number is not sent")
	}
	for _, left := range []time.Duration{0, -time.Second} {
		id := fmt.Sprint("late", left)
		if got := r.handle(Arrival{Call: id, Class: "plain", Number: "n", TimeLeft: left}); !isAnswered(got, id) {
			t.Errorf("a caller with %v left is not refused", left)
		}
	}
	r.now -= time.Minute // a clock that goes backwards
	if id, got := r.newCall("plain"); sentTo(got, id) == "" {
		t.Error("nothing is sent after the clock went backwards")
	}
}

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"Proxies": func(s *Settings) { s.Proxies = 0 }, "Classes is": func(s *Settings) { s.Classes = nil },
		"Rules":       func(s *Settings) { s.Rules.ReleaseWait = -1 },
		"MaxAttempts": func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"Aim":         func(s *Settings) { s.Classes[0].Aim = 0 },
		"Servers":     func(s *Settings) { s.Classes[1].Servers = nil },
	} {
		set := settings()
		invalidate(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one naming %s", err, want)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := runRandomEvents(t, settings(), 3), runRandomEvents(t, settings(), 3); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

func TestTenantOverQuotaIsSentLast(t *testing.T) {
	set := settings()
	set.OverQuotaFactor = 0.1
	set.Tenants = []Tenant{{Name: "over", Quota: 4}, {Name: "within", Quota: 4}} // 2 a second for each of 2 proxies
	r := newRig(t, set, Server{ID: "a", Number: 1})
	arrive := func(id, tenant string) {
		r.handle(Arrival{Call: id, Class: "plain", Tenant: tenant, Number: id,
			TimeLeft: 3 * time.Second, Destination: 1})
	}
	s := r.c.byID["a"]
	s.coolDownUntil = r.now + 10*time.Second
	for i := range 10 {
		arrive(fmt.Sprint("flood", i), "over")
		r.advance(100 * ms)
	}
	s.coolDownUntil = r.now + 5*ms
	arrive("last of the flood", "over")
	arrive("modest", "within")
	s.gap, s.active = time.Second, true
	r.advance(5 * ms)
	if got := r.handle(Due{Token: waitingTimerToken}); sentTo(got, "modest") != "a" {
		t.Error("a tenant within its quota waits behind one that exceeds it")
	}
}
