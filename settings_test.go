package threadglade

import (
	"slices"
	"testing"
	"time"
)

// finalAnswer returns "refused" or "failed" if actions contain the final answer of a call, else "".
func finalAnswer(actions []Action, id string) string {
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

// A call keeps the settings in force on its arrival (maximum number of attempts, repeat rule, release wait and its
// class), even if the class was removed since.
func TestCallsKeepTheSettingsOfTheirArrival(t *testing.T) {
	set := settings()
	r := newRig(t, set, twoServers()...)
	old, actions := r.newCall("plain")
	if sentTo(actions, old) != "a" {
		t.Fatal("not sent")
	}
	reduced := settings()
	reduced.Classes = reduced.Classes[1:2] // removes plain
	reduced.Classes = append(slices.Clone(reduced.Classes), Class{Name: "once", Aim: time.Second,
		Deadline: 8 * time.Second, HoldingTime: time.Second, Worth: 1, Repeat: RepeatNever, Servers: []int{1, 2}})
	reduced.Limits.MaxAttempts = 1
	reduced.Limits.RetryAfter = false
	if err := r.c.Change(reduced); err != nil {
		t.Fatal(err)
	}
	retryActions := r.handle(Ended{Call: old, Attempt: 0, Server: "a", Outcome: Cut})
	if finalAnswer(retryActions, old) != "" {
		t.Fatal("a call in progress was limited to the attempts of the new settings")
	}
	r.advance(set.Rules.ReleaseWait)
	if sentTo(r.fireTimers(retryActions), old) == "" {
		t.Fatal("a call in progress was not retried as its own settings permit")
	}

	fresh, actions := r.newCall("dear")
	if sentTo(actions, fresh) == "" {
		t.Fatal("not sent")
	}
	if answer := finalAnswer(r.handle(Ended{Call: fresh, Attempt: 0, Server: sentTo(actions, fresh),
		Outcome: Cut}), fresh); answer != "failed" {
		t.Fatalf("a new call got more attempts than the new settings allow: %q", answer)
	}
	gone, actions := r.newCall("plain")
	if finalAnswer(actions, gone) != "refused" {
		t.Fatal("a call of a removed class was accepted")
	}
	if a, ok := actions[len(actions)-1].(Refuse); !ok || a.Why != UnknownClass || a.RetryAfter != 0 {
		t.Fatalf("got %+v", actions)
	}
}

// A class that is removed and added again with another repeat rule is a different class: calls under the old one
// may still be repeated, new calls may not.
func TestReaddedClassWithAnotherRepeatRule(t *testing.T) {
	r := newRig(t, settings(), twoServers()...)
	old, actions := r.newCall("plain")
	first := sentTo(actions, old)
	without, with := settings(), settings()
	without.Classes = without.Classes[1:]
	with.Classes[0].Repeat = RepeatNever
	for _, set := range []Settings{without, with} {
		if err := r.c.Change(set); err != nil {
			t.Fatal(err)
		}
	}
	fresh, actions := r.newCall("plain")
	server := sentTo(actions, fresh)
	if answer := finalAnswer(r.handle(Ended{Call: fresh, Attempt: 0, Server: server,
		Outcome: Cut}), fresh); answer != "failed" {
		t.Fatalf("a call that may not be repeated: %q, want failed", answer)
	}
	if answer := finalAnswer(r.handle(Ended{Call: old, Attempt: 0, Server: first, Outcome: Cut}), old); answer != "" {
		t.Fatalf("a call that may be repeated: %q, want no final answer", answer)
	}
}

// Invalid settings change nothing, and valid ones keep what is known of servers.
func TestChangeIsAtomic(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "t", Quota: 5}}
	r := newRig(t, set, twoServers()...)
	for range 5 {
		id, done := r.newCall("plain")
		r.handle(Ended{Call: id, Attempt: 0, Server: sentTo(done, id), Outcome: Rejected, Cause: CauseProcessorFull})
		r.advance(3 * time.Second)
	}
	before := r.c.AppendState(nil, r.now)
	for name, invalidate := range map[string]func(*Settings){
		"attempts": func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"deadline": func(s *Settings) { s.Classes[1].Deadline = 0 },
		"aim":      func(s *Settings) { s.Classes[0].Aim = -1 }, "classes": func(s *Settings) { s.Classes = nil },
		"twice":   func(s *Settings) { s.Classes[1].Name = "plain" },
		"servers": func(s *Settings) { s.Classes[1].Servers = nil },
	} {
		bad := settings()
		invalidate(&bad)
		if r.c.Change(bad) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := r.c.Change(set); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(before, r.c.AppendState(nil, r.now)) {
		t.Error("invalid settings, or the same settings again, changed the state")
	}
	if !r.c.byID["a"].active {
		t.Error("the state of a server was lost")
	}
}
