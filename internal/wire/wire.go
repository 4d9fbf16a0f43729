// Package wire reads and writes the simulator's line protocol and translates it to the library's events and actions.
package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"threadglade.example/threadglade"
)

// Line is one incoming line.
type Line struct {
	Cmd         string             `json:"cmd"`
	Clock       float64            `json:"clockMs"`
	Proxy       string             `json:"proxyId"`
	Seed        uint64             `json:"randomSeed"`
	Params      json.RawMessage    `json:"params"`
	Table       int                `json:"table"`
	Rows        []Row              `json:"rows"`
	Scope       string             `json:"scope"`
	Call        string             `json:"txn"`
	Class       string             `json:"lane"`
	Tenant      string             `json:"userGroup"`
	Number      string             `json:"resource"`
	TimeLeft    float64            `json:"timeLeftMs"`
	Destination int                `json:"destination"`
	Retry       bool               `json:"retry"`
	InTransit   bool               `json:"tandemCall"`
	Attempt     int                `json:"seqNo"`
	Server      string             `json:"server"`
	Wait        float64            `json:"waitTimeMs"`
	Ending      string             `json:"ending"`
	Settled     bool               `json:"settled"`
	Code        int                `json:"clearCode"`
	Pressure    map[string]float64 `json:"pressure"`
	Token       int64              `json:"handle"`
}

// Row is one entry of a server list.
type Row struct {
	Server  string  `json:"server"`
	Number  int     `json:"number"`
	State   string  `json:"state"`
	Started float64 `json:"lastStartMs"`
}

// Parse reads one line.
func Parse(b []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(b, &l); err != nil {
		return l, err
	}
	if l.Cmd == "" {
		return l, fmt.Errorf("no cmd field")
	}
	return l, nil
}

// Span turns the wire's fractional milliseconds into a span of whole microseconds.
func Span(ms float64) time.Duration {
	const most = float64(1<<62) / 1e6
	return time.Duration(math.Round(max(-most, min(most, ms))*1000)) * time.Microsecond
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

var outcomes = map[string]threadglade.Outcome{
	"OK": threadglade.Concluded, "INTERNAL": threadglade.Faulted, "RESOURCE_EXHAUSTED": threadglade.Rejected,
	"DEADLINE_EXCEEDED": threadglade.TimedOut, "UNAVAILABLE": threadglade.Unreachable, "ABORTED": threadglade.Cut,
	"CANCELLED": threadglade.Cancelled, "TOO_LATE": threadglade.NotSent,
}

var states = map[string]threadglade.ServerState{
	"up": threadglade.Up, "draining": threadglade.Draining, "removed": threadglade.Removed,
}

// codes holds the low four bits of a clear code; 18 is a processor beyond the one that answered.
var codes = map[int]threadglade.Cause{
	1: threadglade.CauseNoAgent, 2: threadglade.CauseSentBack, 3: threadglade.CauseProcessorFull, 4: threadglade.CauseLinesBusy,
}

// Event translates a line about one instance; known is false for a message that the module has no use for.
func (l Line) Event(tables map[int][]Row) (ev threadglade.Event, known bool, err error) {
	switch l.Cmd {
	case "Registry":
		ev, err := l.list(tables)
		return ev, err == nil, err
	case "JobIn":
		return threadglade.Arrival{
			Call: l.Call, Class: l.Class, Tenant: l.Tenant, Number: l.Number, TimeLeft: Span(l.TimeLeft),
			Destination: l.Destination, Retry: l.Retry, InTransit: l.InTransit,
		}, true, nil
	case "FirstByte":
		return threadglade.Stood{Call: l.Call, Attempt: l.Attempt, Server: l.Server, Latency: Span(l.Wait)}, true, nil
	case "ClosedAttempt":
		outcome, ok := outcomes[l.Ending]
		if !ok {
			return nil, false, fmt.Errorf("unknown ending %q", l.Ending)
		}
		return threadglade.Ended{
			Call: l.Call, Attempt: l.Attempt, Server: l.Server, Outcome: outcome, Cause: codes[l.Code&15],
			Elapsed: Span(l.Wait), Final: l.Settled,
		}, true, nil
	case "CheckResult":
		free, told := l.Pressure["idle"]
		total, sized := l.Pressure["circuits"]
		agents := threadglade.Agents{Server: l.Server, Free: int(free), Total: int(total)}
		return agents, told && sized && l.Ending == "OK", nil
	case "CancelledByClient":
		return threadglade.CallerGone{Call: l.Call}, true, nil
	case "Due":
		return threadglade.Due{Token: l.Token}, true, nil
	}
	return nil, false, nil
}

func (l Line) list(tables map[int][]Row) (threadglade.Event, error) {
	ev := threadglade.ServerList{Delta: l.Scope == "Partial", Stored: l.Scope == "Persisted", Failed: l.Scope == "Error"}
	if ev.Failed {
		return ev, nil
	}
	for _, r := range tables[l.Table] {
		state, ok := states[r.State]
		if !ok {
			return nil, fmt.Errorf("unknown state %q of server %s", r.State, r.Server)
		}
		ev.Servers = append(ev.Servers, threadglade.Server{ID: r.Server, Number: r.Number, State: state,
			Started: Span(r.Started)})
	}
	return ev, nil
}

// Reply is one outgoing line.
type Reply struct {
	Cmd     string   `json:"cmd"`
	Proxy   string   `json:"proxyId,omitempty"`
	Call    string   `json:"txn,omitempty"`
	Server  string   `json:"server,omitempty"`
	Timeout float64  `json:"capMs,omitempty"`
	Pause   float64  `json:"pauseMs,omitempty"`
	At      *float64 `json:"atMs,omitempty"`
	Token   *int64   `json:"handle,omitempty"`
	Attempt *int     `json:"seqNo,omitempty"`
	Enable  bool     `json:"enable,omitempty"`
	What    string   `json:"what,omitempty"`
}

// Action translates an action of one instance.
func Action(proxy string, a threadglade.Action) (Reply, error) {
	switch a := a.(type) {
	case threadglade.Send:
		return Reply{Cmd: "SubmitTo", Proxy: proxy, Call: a.Call, Server: a.Server, Timeout: millis(a.Timeout)}, nil
	case threadglade.Refuse:
		return Reply{Cmd: "Shed", Proxy: proxy, Call: a.Call, Pause: millis(a.RetryAfter)}, nil
	case threadglade.Fail:
		return Reply{Cmd: "DropRequest", Proxy: proxy, Call: a.Call}, nil
	case threadglade.GiveUp:
		return Reply{Cmd: "Abandon", Proxy: proxy, Call: a.Call, Attempt: &a.Attempt}, nil
	case threadglade.SetTimer:
		at := millis(a.At)
		return Reply{Cmd: "WakeAt", Proxy: proxy, At: &at, Token: &a.Token}, nil
	case threadglade.Subscribe:
		return Reply{Cmd: "Observe", Proxy: proxy, Enable: true}, nil
	}
	return Reply{}, fmt.Errorf("no wire form for %T", a)
}
