package router

import (
	"strconv"
	"testing"
	"time"

	"threadglade.example/threadglade"
)

// mute is a front and a trunk that hold nothing but what is out.
type mute struct{ sent Attempt }

func (m *mute) Stood(string, []byte)                 {}
func (m *mute) Refused(string, time.Duration)        {}
func (m *mute) Failed(string, Failure)               {}
func (m *mute) Released(string, threadglade.Outcome) {}
func (m *mute) Send(a Attempt)                       { m.sent = a }
func (m *mute) GiveUp(Attempt)                       {}
func (m *mute) Release(Attempt, threadglade.Outcome) {}

// BenchmarkLife is one call's whole life in a router with its decisions, among 300 that stand: arrival, decision, answer, release by the server, and the timers
// that came due meanwhile. Two builds are compared by the instructions of so many calls, which do not depend on what else the machine does:
// docs/design/fleet-floor.md says how.
func BenchmarkLife(b *testing.B) {
	now, m := time.Hour, &mute{}
	var servers []threadglade.Server
	var numbers []int
	for i := range 30 {
		servers, numbers = append(servers, threadglade.Server{ID: "s" + strconv.Itoa(i), Number: i}), append(numbers, i)
	}
	r, err := New(Config{Clock: func() time.Duration { return now }, Trunk: m, Settings: threadglade.Settings{Proxies: 1,
		Limits: threadglade.Limits{MaxAttempts: 6}, Rules: threadglade.Rules{ReleaseWait: 200 * time.Millisecond, DrainGrace: time.Second},
		Classes: []threadglade.Class{{Name: "x", Aim: time.Second, Deadline: 5 * time.Second, Holding: time.Second, Worth: 1, Servers: numbers}}}})
	if err != nil {
		b.Fatal(err)
	}
	r.List(threadglade.ServerList{Servers: servers})
	for _, s := range servers {
		r.Agents(threadglade.Agents{Server: s.ID, Free: 100, Total: 100})
	}
	description := []byte("v=0")
	const standing = 300
	var ids [standing]string
	b.ReportAllocs()
	for i := range b.N {
		now += time.Millisecond
		at := i % standing
		if ids[at] != "" {
			r.Ended(ids[at], 0, threadglade.Concluded, 0)
		}
		id := "call-" + strconv.Itoa(i)
		r.Arrive(m, Request{ID: id, Class: "x", Description: description, Deadline: now + 3*time.Second, Destination: i % 30})
		if m.sent.ID != id {
			b.Fatalf("%s is not out", id)
		}
		r.Answered(id, 0, description)
		ids[at] = id
		r.Tick()
	}
}
