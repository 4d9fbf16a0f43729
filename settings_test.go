package threadglade

import (
	"slices"
	"testing"
	"time"
)

// final tells how a call's final answer came among actions; "" if it has not.
func final(actions []Action, id string) string {
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			if a.Call == id {
				return "refused"
			}
		case Fail:
			if a.Call == id {
				return "failed"
			}
		}
	}
	return ""
}

// A call goes on under the settings that it came under: attempts, effect, wait and its class itself, which may be gone by then.
func TestCallsKeepTheSettingsThatTheyCameUnder(t *testing.T) {
	set := settings()
	r := newRig(t, set, two()...)
	old, done := r.call("plain")
	if sentTo(done, old) != "a" {
		t.Fatal("not sent")
	}
	less := settings()
	less.Classes = less.Classes[1:2] // plain is gone
	less.Classes = append(slices.Clone(less.Classes), Class{Name: "once", Aim: time.Second, Deadline: 8 * time.Second, Holding: time.Second, Worth: 1,
		Repeat: RepeatNever, Servers: []int{1, 2}})
	less.Limits.MaxAttempts = 1
	less.Limits.RetryAfter = false
	if err := r.c.Change(less); err != nil {
		t.Fatal(err)
	}
	again := r.do(Ended{Call: old, Attempt: 0, Server: "a", Outcome: Cut})
	if final(again, old) != "" {
		t.Fatal("an open call was given the new settings' attempts")
	}
	r.wait(set.Rules.ReleaseWait)
	if sentTo(r.fire(again), old) == "" {
		t.Fatal("an open call was not sent again as its own settings say")
	}

	fresh, done := r.call("dear")
	if sentTo(done, fresh) == "" {
		t.Fatal("not sent")
	}
	if how := final(r.do(Ended{Call: fresh, Attempt: 0, Server: sentTo(done, fresh), Outcome: Cut}), fresh); how != "failed" {
		t.Fatalf("a new call got more attempts than the new settings allow: %q", how)
	}
	gone, done := r.call("plain")
	if final(done, gone) != "refused" {
		t.Fatal("a class that was dropped was taken")
	}
	if a, ok := done[len(done)-1].(Refuse); !ok || a.Why != UnknownClass || a.RetryAfter != 0 {
		t.Fatalf("got %+v", done)
	}
}

// A class that comes back with another effect is another class: open calls of the old one may still be repeated, new ones not.
func TestClassComesBackWithAnotherEffect(t *testing.T) {
	r := newRig(t, settings(), two()...)
	old, done := r.call("plain")
	first := sentTo(done, old)
	without, with := settings(), settings()
	without.Classes = without.Classes[1:]
	with.Classes[0].Repeat = RepeatNever
	for _, set := range []Settings{without, with} {
		if err := r.c.Change(set); err != nil {
			t.Fatal(err)
		}
	}
	fresh, done := r.call("plain")
	at := sentTo(done, fresh)
	if how := final(r.do(Ended{Call: fresh, Attempt: 0, Server: at, Outcome: Cut}), fresh); how != "failed" {
		t.Fatalf("a call that may not be repeated: %q", how)
	}
	if how := final(r.do(Ended{Call: old, Attempt: 0, Server: first, Outcome: Cut}), old); how != "" {
		t.Fatalf("a call that may be repeated: %q", how)
	}
}

// What cannot be served changes nothing, and what is known of servers stays.
func TestChangeIsWholeOrNotAtAll(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "t", Quota: 5}}
	r := newRig(t, set, two()...)
	for range 5 {
		id, done := r.call("plain")
		r.do(Ended{Call: id, Attempt: 0, Server: sentTo(done, id), Outcome: Rejected, Cause: CauseProcessorFull})
		r.wait(3 * time.Second)
	}
	before := r.c.AppendState(nil, r.now)
	for name, spoil := range map[string]func(*Settings){
		"attempts": func(s *Settings) { s.Limits.MaxAttempts = 0 }, "deadline": func(s *Settings) { s.Classes[1].Deadline = 0 },
		"aim": func(s *Settings) { s.Classes[0].Aim = -1 }, "classes": func(s *Settings) { s.Classes = nil },
		"twice": func(s *Settings) { s.Classes[1].Name = "plain" }, "servers": func(s *Settings) { s.Classes[1].Servers = nil },
	} {
		bad := settings()
		spoil(&bad)
		if r.c.Change(bad) == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if err := r.c.Change(set); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(before, r.c.AppendState(nil, r.now)) {
		t.Error("the same settings again, and bad ones, changed the state")
	}
	if !r.c.byID["a"].active {
		t.Error("what was learned is gone")
	}
}
