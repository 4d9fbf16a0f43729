package takeover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/takeover/takeoverpb"
)

// ledgerOf is a log with one lost router, r1.1, whose successor is me.7.
type logged struct{ over, back bool }

func (l logged) Over(name string, n uint64) bool { return l.over && name == "r1" }
func (l logged) SuccessorOf(name string, n uint64) (string, uint64, bool) {
	return "me", 7, l.over && name == "r1"
}
func (l logged) Lives(name string) bool { return name != "r1" || l.back }

func records(ids ...string) (list []*takeoverpb.Record) {
	for _, id := range ids {
		list = append(list, write(&Record{Out, Call{ID: id, Stands: true}}))
	}
	return list
}

// copied is a holder that has a copy of r1's calls a and b, up to number 5, and vouches.
func copied(l *logged) *Holder {
	h := NewHolder(DefaultTerms(), "me", l)
	give(h, time.Second, &takeoverpb.Give{From: 5, First: true, Last: true, Records: records("a", "b"), Holders: []string{"me", "r2"}})
	h.Output()
	return h
}

func give(h *Holder, now time.Duration, g *takeoverpb.Give) *takeoverpb.Confirm {
	h.Hear(now, "r1", &takeoverpb.Frame{Owner: "r1", Incarnation: 1, What: &takeoverpb.Frame_Give{Give: g}}, 7)
	out, _ := h.Output()
	return out[len(out)-1].Frame.GetConfirm()
}

func pass(h *Holder, now time.Duration, from string, number uint64, ids ...string) (adopted []string, acts Acts) {
	h.Hear(now, from, &takeoverpb.Frame{Owner: "r1", Incarnation: 1, What: &takeoverpb.Frame_Pass{Pass: &takeoverpb.Pass{Number: number, First: true, Last: true, Records: records(ids...), Holders: []string{"r2", "r3"}}}}, 7)
	h.Tick(now, 7)
	_, acts = h.Output()
	for _, c := range acts.Adopt {
		adopted = append(adopted, c.ID)
	}
	return adopted, acts
}

type deskOf struct {
	adopted, told, standing []string
	unsaid                  []End
}

func (d *deskOf) Cease() []string   { return d.standing }
func (d *deskOf) Cede() []string    { return d.standing }
func (d *deskOf) Unsay() []End      { return d.unsaid }
func (d *deskOf) Adopt(c Call) bool { d.adopted = append(d.adopted, c.ID); return true }
func (d *deskOf) Drop(string)       {}
func (d *deskOf) Ended(e End, taken bool) {
	if taken {
		d.told = append(d.told, e.Call)
	}
}
func (d *deskOf) Tell(End)       {}
func (d *deskOf) Renew()         {}
func (d *deskOf) Taken([]string) {}
func (d *deskOf) Awake()         {}

// rules are what single steps keep, each with the fault that breaks it.
var rules = map[string]func() bool{
	"confirm-the-dead": func() bool { // an old owner is refused by number, and gets no vouch
		l := &logged{over: true}
		h := NewHolder(DefaultTerms(), "me", l)
		return give(h, time.Second, &takeoverpb.Give{From: 5, First: true, Last: true, Records: records("a")}).Over && len(h.copies) == 0
	},
	"mind-no-gap": func() bool {
		h := copied(&logged{})
		return give(h, time.Second, &takeoverpb.Give{From: 8, Records: records("c")}).Again
	},
	"first-copy": func() bool { // r2's copy has b, which r3 knows to be over
		h := NewHolder(DefaultTerms(), "me", &logged{over: true})
		first, _ := pass(h, time.Second, "r2", 5, "a", "b")
		second, _ := pass(h, time.Second+100*ms, "r3", 6, "a")
		return len(first) == 0 && fmt.Sprint(second) == "[a]"
	},
	"lower-copy": func() bool { // r3's copy comes after the wait for it
		h := NewHolder(DefaultTerms(), "me", &logged{over: true})
		pass(h, time.Second, "r2", 5, "a", "b")
		h.Tick(4*time.Second, 7)
		_, acts := h.Output()
		_, late := pass(h, 5*time.Second, "r3", 6, "a")
		h.Tick(8*time.Second, 7)
		_, more := h.Output()
		return len(acts.Adopt) == 2 && fmt.Sprint(append(late.Drop, more.Drop...)) == "[b]"
	},
	"never-closed": func() bool { // the owner was told of a, and counts b itself
		l := &logged{over: true}
		h := NewHolder(DefaultTerms(), "me", l)
		pass(h, time.Second, "r2", 5, "a")
		pass(h, time.Second, "r3", 5, "a")
		l.back = true
		h.Tick(2*time.Second, 7)
		h.Output()
		again, _ := pass(h, 3*time.Second, "r2", 6, "a", "b")
		more, _ := pass(h, 6*time.Second, "r3", 6, "a", "b")
		return len(again)+len(more) == 0
	},
	"deaf-to-the-last": func() bool { // what r1 did by our vouch, after the log had ended it
		l := &logged{}
		h := copied(l)
		l.over = true
		c := give(h, 2*time.Second, &takeoverpb.Give{From: 5, Records: []*takeoverpb.Record{write(&Record{Over, Call{ID: "a"}})}})
		return c.Over && c.Upto == 6 && len(h.copies[key{"r1", 1}].calls) == 1
	},
	"no-vouch": func() bool {
		l := &logged{}
		h := copied(l)
		l.over = true
		h.Tick(2*time.Second, 7)
		return len(h.takes(key{"r1", 1}).have) == 0
	},
	"end-before-word": func() bool { // holders keep a call as standing until its caller was told that it is over
		g := &Giver{Terms: DefaultTerms(), Wall: func() int64 { return 0 }}
		for _, e := range []router.Event{{Kind: router.Arrived, Class: "voice"}, {Kind: router.Sent, Server: "s1"}, {Kind: router.Established}, {Kind: router.Ended}, {Kind: router.Closed}} {
			e.Call, e.Slot = "a", 1
			g.Observe(e)
		}
		_, before, _ := g.Take(nil)
		g.Left(g.Ended())
		_, after, _ := g.Take(nil)
		return len(before) == 2 && len(after) == 1 && after[0].Kind == Over
	},
	"heard-before-taken": func() bool { // the core has taken a and b, the loop does not know yet, and hears that a has ended
		l := &logged{}
		h := copied(l)
		l.over = true
		h.Tick(9*time.Second, 7)
		h.Tick(12*time.Second, 7)
		_, acts := h.Output()
		h.Ended(12*time.Second, "", []End{{Call: "a", How: 1}})
		_, more := h.Output()
		return len(acts.Adopt) == 2 && len(more.Ends) == 1 && more.Ends[0].Call == "a"
	},
	"late-words": func() bool { // an end that was taken back is told by its owner where nobody has taken the call
		d := &deskOf{unsaid: []End{{Call: "b"}}}
		h := NewActor(d, &Giver{}, nil)
		h.Look(time.Second, 1, false, 2*time.Second)
		h.Look(2*time.Second, 0, false, 2*time.Second)
		h.Awake()
		return fmt.Sprint(d.told) == "[b]"
	},
	"withdrawn-alive": func() bool { // a stands and is passed on, b is out and goes on
		o := NewOwner(DefaultTerms(), "r1")
		o.Acts(1)
		o.Holders(map[string]uint64{"me": 7}, func(string, uint64) bool { return false })
		o.Linked("me", true)
		h := NewHolder(DefaultTerms(), "me", &logged{})
		hear := func(list []Send) {
			for _, s := range list {
				h.Hear(time.Second, "r1", s.Frame, 7)
			}
		}
		o.Add(1, []Record{{Out, Call{ID: "a"}}, {Stands, Call{ID: "a"}}, {Out, Call{ID: "b"}}})
		hear(o.Tick(time.Second))
		hear(o.Evacuate(time.Second))
		passed := h.copies[key{"r1", 1}]
		o.Acts(2)
		o.Add(4, []Record{{Stands, Call{ID: "b"}}})
		hear(o.Tick(2 * time.Second))
		on := h.copies[key{"r1", 2}]
		return passed.left && len(passed.calls) == 1 && passed.calls["a"] != nil && on != nil && len(on.calls) == 1 && on.calls["b"].Stands
	},
	"act-at-once": func() bool {
		d := &deskOf{}
		g := &Giver{Wall: func() int64 { return 0 }}
		actor := NewActor(d, g, nil)
		actor.Take(Acts{Take: 1, Adopt: []Call{{ID: "a", Stands: true}}})
		actor.Confirmed(g.Number() - 1)
		early := len(d.adopted)
		actor.Confirmed(g.Number())
		return early == 0 && len(d.adopted) == 1
	},
}

// TestUnsaid: ends that an owner took back as it ceased are whoever's who took the calls over; those that nobody took it tells itself.
func TestUnsaid(t *testing.T) {
	d := &deskOf{standing: []string{"c"}, unsaid: []End{{Call: "a"}, {Call: "b"}}}
	h := NewActor(d, &Giver{}, nil)
	require.False(t, h.Look(time.Second, 1, false, 2*time.Second))
	require.False(t, h.Lapsed(2*time.Second, 1, false, 2*time.Second), "it has its lease")
	require.True(t, h.Lapsed(2*time.Second, 0, false, 2*time.Second))
	require.True(t, h.Look(2*time.Second, 0, false, 2*time.Second))
	require.False(t, h.Lapsed(2*time.Second, 0, false, 2*time.Second), "it has let go")
	h.Heard(End{Call: "b"}, true)
	require.Empty(t, d.told)
	h.Taken([]string{"a"})
	h.Awake()
	require.Equal(t, []string{"b"}, d.told)
}

// TestRules holds each.
func TestRules(t *testing.T) {
	for name, holds := range rules {
		require.True(t, holds(), name)
	}
}
