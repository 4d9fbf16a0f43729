package takeover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/takeover/takeoverpb"
)

// fakeLog is a log with incarnation 1 of router r1, which has ended if over is set. Its successor is incarnation 7 of
// router me. If ownerBack is set, r1 acts again.
type fakeLog struct{ over, ownerBack bool }

func (l fakeLog) IsOver(name string, n uint64) bool { return l.over && name == "r1" }
func (l fakeLog) SuccessorOf(name string, n uint64) (string, uint64, bool) {
	return "me", 7, l.over && name == "r1"
}
func (l fakeLog) IsLive(name string) bool { return name != "r1" || l.ownerBack }

func encodedRecords(ids ...string) (list []*takeoverpb.Record) {
	for _, id := range ids {
		list = append(list, encodeRecord(&Record{Pending, Call{ID: id, Established: true}}))
	}
	return list
}

// newHolderWithReplica returns a replica holder with a replica of r1's calls a and b up to record 5, guaranteed from
// 1 s on.
func newHolderWithReplica(fleetLog *fakeLog) *ReplicaHolder {
	h := NewReplicaHolder(DefaultSettings(), "me", fleetLog)
	sendGive(h, time.Second, &takeoverpb.Give{
		From:    5,
		First:   true,
		Last:    true,
		Records: encodedRecords("a", "b"),
		Holders: []string{"me", "r2"},
	})
	h.Output()
	return h
}

func sendGive(h *ReplicaHolder, now time.Duration, g *takeoverpb.Give) *takeoverpb.Confirm {
	h.Receive(now, "r1", &takeoverpb.Frame{Owner: "r1", Incarnation: 1, What: &takeoverpb.Frame_Give{Give: g}}, 7)
	out, _ := h.Output()
	return out[len(out)-1].Frame.GetConfirm()
}

func sendPass(
	h *ReplicaHolder, now time.Duration, from string, number uint64, ids ...string,
) (adopted []string, acts Actions) {
	h.Receive(now, from, &takeoverpb.Frame{
		Owner:       "r1",
		Incarnation: 1,
		What: &takeoverpb.Frame_Pass{Pass: &takeoverpb.Pass{
			Number:  number,
			First:   true,
			Last:    true,
			Records: encodedRecords(ids...),
			Holders: []string{"r2", "r3"},
		}},
	}, 7)
	h.Tick(now, 7)
	_, acts = h.Output()
	for _, c := range acts.Adopt {
		adopted = append(adopted, c.ID)
	}
	return adopted, acts
}

type fakeHandler struct {
	adopted, notified, established []string
	retracted                      []End
}

func (d *fakeHandler) RelinquishAll() []string         { return d.established }
func (d *fakeHandler) RelinquishEstablished() []string { return d.established }
func (d *fakeHandler) RetractEnds() []End              { return d.retracted }
func (d *fakeHandler) Adopt(c Call) bool {
	d.adopted = append(d.adopted, c.ID)
	return true
}
func (d *fakeHandler) Drop(string) {}
func (d *fakeHandler) EndCall(e End, taken bool) {
	if taken {
		d.notified = append(d.notified, e.Call)
	}
}
func (d *fakeHandler) NotifyCaller(End)   {}
func (d *fakeHandler) RequestReports()    {}
func (d *fakeHandler) MarkTaken([]string) {}
func (d *fakeHandler) ReclaimRemaining()  {}

// rules are checks of single steps, by the name of the injected fault that each detects. They return true without it.
var rules = map[string]func() bool{
	"confirm-the-dead": func() bool { // an owner whose incarnation is over is rejected and gets no guarantee
		l := &fakeLog{over: true}
		h := NewReplicaHolder(DefaultSettings(), "me", l)
		return sendGive(h, time.Second, &takeoverpb.Give{
			From:    5,
			First:   true,
			Last:    true,
			Records: encodedRecords("a"),
		}).Over && len(h.replicas) == 0
	},
	"mind-no-gap": func() bool {
		h := newHolderWithReplica(&fakeLog{})
		return sendGive(h, time.Second, &takeoverpb.Give{From: 8, Records: encodedRecords("c")}).Again
	},
	"first-copy": func() bool { // r2's replica has b, which r3 knows to be over
		h := NewReplicaHolder(DefaultSettings(), "me", &fakeLog{over: true})
		first, _ := sendPass(h, time.Second, "r2", 5, "a", "b")
		second, _ := sendPass(h, time.Second+100*ms, "r3", 6, "a")
		return len(first) == 0 && fmt.Sprint(second) == "[a]"
	},
	"lower-copy": func() bool { // r3's replica arrives after the gather timeout
		h := NewReplicaHolder(DefaultSettings(), "me", &fakeLog{over: true})
		sendPass(h, time.Second, "r2", 5, "a", "b")
		h.Tick(4*time.Second, 7)
		_, acts := h.Output()
		_, late := sendPass(h, 5*time.Second, "r3", 6, "a")
		h.Tick(8*time.Second, 7)
		_, more := h.Output()
		return len(acts.Adopt) == 2 && fmt.Sprint(append(late.Drop, more.Drop...)) == "[b]"
	},
	"never-closed": func() bool { // the owner was notified that a was taken, and owns b itself
		l := &fakeLog{over: true}
		h := NewReplicaHolder(DefaultSettings(), "me", l)
		sendPass(h, time.Second, "r2", 5, "a")
		sendPass(h, time.Second, "r3", 5, "a")
		l.ownerBack = true
		h.Tick(2*time.Second, 7)
		h.Output()
		again, _ := sendPass(h, 3*time.Second, "r2", 6, "a", "b")
		more, _ := sendPass(h, 6*time.Second, "r3", 6, "a", "b")
		return len(again)+len(more) == 0
	},
	"deaf-to-the-last": func() bool { // records that r1 sent after its end, while the guarantee held, count
		l := &fakeLog{}
		h := newHolderWithReplica(l)
		l.over = true
		c := sendGive(h, 2*time.Second, &takeoverpb.Give{
			From:    5,
			Records: []*takeoverpb.Record{encodeRecord(&Record{Ended, Call{ID: "a"}})},
		})
		return c.Over && c.Upto == 6 && len(h.replicas[ownerKey{"r1", 1}].calls) == 1
	},
	"no-vouch": func() bool {
		l := &fakeLog{}
		h := newHolderWithReplica(l)
		l.over = true
		h.Tick(2*time.Second, 7)
		return len(h.stateOf(ownerKey{"r1", 1}).replicas) == 0
	},
	// Replica holders keep a call as established until its caller was notified of its end.
	"end-before-word": func() bool {
		g := &Recorder{Settings: DefaultSettings(), WallClock: func() int64 { return 0 }}
		for _, e := range []router.Event{
			{Kind: router.Arrived, Class: "voice"},
			{Kind: router.Sent, Server: "s1"},
			{Kind: router.Established},
			{Kind: router.Ended},
			{Kind: router.Closed},
		} {
			e.Call, e.Slot = "a", 1
			g.Observe(e)
		}
		_, before, _ := g.Take(nil)
		g.RecordEnds(g.LastEnd())
		_, after, _ := g.Take(nil)
		return len(before) == 2 && len(after) == 1 && after[0].Kind == Ended
	},
	// The holder has taken a and b over; the event loop doesn't know it yet and receives the end of a.
	"heard-before-taken": func() bool {
		l := &fakeLog{}
		h := newHolderWithReplica(l)
		l.over = true
		h.Tick(9*time.Second, 7)
		h.Tick(12*time.Second, 7)
		_, acts := h.Output()
		h.ReceiveEnds(12*time.Second, "", []End{{Call: "a", Outcome: 1}})
		_, more := h.Output()
		return len(acts.Adopt) == 2 && len(more.Ends) == 1 && more.Ends[0].Call == "a"
	},
	// The owner notifies the caller of a retracted end if no other router has taken the call over.
	"late-words": func() bool {
		d := &fakeHandler{retracted: []End{{Call: "b"}}}
		h := NewOwnershipManager(d, &Recorder{}, nil)
		h.CheckOwnership(time.Second, 1, false, 2*time.Second)
		h.CheckOwnership(2*time.Second, 0, false, 2*time.Second)
		h.ReclaimRemaining()
		return fmt.Sprint(d.notified) == "[b]"
	},
	"withdrawn-alive": func() bool { // a is established and handed over, b is in flight and continues
		o := NewOwner(DefaultSettings(), "r1")
		o.SetIncarnation(1)
		o.SetHolders(map[string]uint64{"me": 7}, func(string, uint64) bool { return false })
		o.SetLinked("me", true)
		h := NewReplicaHolder(DefaultSettings(), "me", &fakeLog{})
		receive := func(list []Send) {
			for _, s := range list {
				h.Receive(time.Second, "r1", s.Frame, 7)
			}
		}
		o.Add(1, []Record{{Pending, Call{ID: "a"}}, {Established, Call{ID: "a"}}, {Pending, Call{ID: "b"}}})
		receive(o.Tick(time.Second))
		receive(o.Evacuate(time.Second))
		passed := h.replicas[ownerKey{"r1", 1}]
		o.SetIncarnation(2)
		o.Add(4, []Record{{Established, Call{ID: "b"}}})
		receive(o.Tick(2 * time.Second))
		on := h.replicas[ownerKey{"r1", 2}]
		return passed.ownerLeft && len(passed.calls) == 1 && passed.calls["a"] != nil &&
			on != nil && len(on.calls) == 1 && on.calls["b"].Established
	},
	"act-at-once": func() bool {
		d := &fakeHandler{}
		g := &Recorder{WallClock: func() int64 { return 0 }}
		actor := NewOwnershipManager(d, g, nil)
		actor.Apply(Actions{BatchID: 1, Adopt: []Call{{ID: "a", Established: true}}})
		actor.AdoptConfirmed(g.LastNumber() - 1)
		early := len(d.adopted)
		actor.AdoptConfirmed(g.LastNumber())
		return early == 0 && len(d.adopted) == 1
	},
}

// TestRetractedEnds guards against callers that no router or two routers notify when the end of their call was
// retracted as the owner relinquished its calls: a router that took a call over notifies its caller, the owner
// notifies the others.
func TestRetractedEnds(t *testing.T) {
	d := &fakeHandler{established: []string{"c"}, retracted: []End{{Call: "a"}, {Call: "b"}}}
	h := NewOwnershipManager(d, &Recorder{}, nil)
	require.False(t, h.CheckOwnership(time.Second, 1, false, 2*time.Second))
	require.False(t, h.Lapsed(2*time.Second, 1, false, 2*time.Second), "it has a lease")
	require.True(t, h.Lapsed(2*time.Second, 0, false, 2*time.Second))
	require.True(t, h.CheckOwnership(2*time.Second, 0, false, 2*time.Second))
	require.False(t, h.Lapsed(2*time.Second, 0, false, 2*time.Second), "it has relinquished its calls already")
	h.ClaimEnd(End{Call: "b"}, true)
	require.Empty(t, d.notified)
	h.MarkTaken([]string{"a"})
	h.ReclaimRemaining()
	require.Equal(t, []string{"b"}, d.notified)
}

// TestRules checks every rule without an injected fault.
func TestRules(t *testing.T) {
	for name, holds := range rules {
		require.True(t, holds(), name)
	}
}
