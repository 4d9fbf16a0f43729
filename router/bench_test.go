package router

import (
	"strconv"
	"testing"
	"time"

	"threadglade.example/threadglade"
)

// sink is a front and a trunk that record only the latest attempt.
type sink struct{ sent Attempt }

func (m *sink) Established(string, []byte)           {}
func (m *sink) Refused(string, time.Duration)        {}
func (m *sink) Failed(string, Failure)               {}
func (m *sink) Released(string, threadglade.Outcome) {}
func (m *sink) Send(a Attempt)                       { m.sent = a }
func (m *sink) GiveUp(Attempt)                       {}
func (m *sink) Release(Attempt, threadglade.Outcome) {}

// BenchmarkLife runs a call from arrival to release, including its decisions, among 300 established calls:
// arrival, decision, answer, release by the server, and the timers that become due meanwhile. To compare builds,
// count the instructions of a given number of calls, which don't depend on the load of the machine;
// docs/design/fleet-floor.md describes how.
func BenchmarkLife(b *testing.B) {
	now, m := time.Hour, &sink{}
	var servers []threadglade.Server
	var numbers []int
	for i := range 30 {
		servers = append(servers, threadglade.Server{ID: "s" + strconv.Itoa(i), Number: i})
		numbers = append(numbers, i)
	}
	r, err := New(Config{Clock: func() time.Duration { return now }, Trunk: m, Settings: threadglade.Settings{
		Proxies: 1,
		Limits:  threadglade.Limits{MaxAttempts: 6},
		Rules:   threadglade.Rules{ReleaseWait: 200 * time.Millisecond, DrainGrace: time.Second},
		Classes: []threadglade.Class{{Name: "x", Aim: time.Second, Deadline: 5 * time.Second, HoldingTime: time.Second,
			Worth: 1, Servers: numbers}}}})
	if err != nil {
		b.Fatal(err)
	}
	r.UpdateServers(threadglade.ServerList{Servers: servers})
	for _, s := range servers {
		r.ReportAgents(threadglade.Agents{Server: s.ID, Free: 100, Total: 100})
	}
	description := []byte("v=0")
	const establishedCalls = 300
	var ids [establishedCalls]string
	b.ReportAllocs()
	for i := range b.N {
		now += time.Millisecond
		at := i % establishedCalls
		if ids[at] != "" {
			r.Ended(ids[at], 0, threadglade.Concluded, 0)
		}
		id := "call-" + strconv.Itoa(i)
		r.Arrive(m, Request{ID: id, Class: "x", Description: description, Deadline: now + 3*time.Second,
			Destination: i % 30})
		if m.sent.ID != id {
			b.Fatalf("%s was not sent", id)
		}
		r.Answered(id, 0, description)
		ids[at] = id
		r.Tick()
	}
}
