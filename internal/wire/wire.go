// Package wire implements the simulator's line protocol, one JSON object per line, and translates it to and from the
// controller's events and actions.
package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"threadglade.example/threadglade"
)

// Line is one incoming line. Cmd decides which of the other fields are set.
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
	Outcome     string             `json:"ending"`
	Final       bool               `json:"settled"`
	Code        int                `json:"clearCode"`
	Pressure    map[string]float64 `json:"pressure"`
	Token       int64              `json:"handle"`
}

// Row is one server of a server list.
type Row struct {
	Server  string  `json:"server"`
	Number  int     `json:"number"`
	State   string  `json:"state"`
	Started float64 `json:"lastStartMs"`
}

// ParseLine parses one line, which must have a cmd field.
func ParseLine(b []byte) (Line, error) {
	var l Line
	if err := json.Unmarshal(b, &l); err != nil {
		return l, err
	}
	if l.Cmd == "" {
		return l, fmt.Errorf("no cmd field")
	}
	return l, nil
}

// Duration converts fractional milliseconds, as on the wire, to a duration, rounded to microseconds and clamped to
// ±2⁶² nanoseconds.
func Duration(ms float64) time.Duration {
	const maxMs = float64(1<<62) / 1e6
	return time.Duration(math.Round(max(-maxMs, min(maxMs, ms))*1000)) * time.Microsecond
}

// milliseconds converts a duration to fractional milliseconds, truncated to microseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// outcomesByStatus maps the status that ended an attempt to its outcome.
var outcomesByStatus = map[string]threadglade.Outcome{
	"OK": threadglade.Concluded, "INTERNAL": threadglade.Faulted, "RESOURCE_EXHAUSTED": threadglade.Rejected,
	"DEADLINE_EXCEEDED": threadglade.TimedOut, "UNAVAILABLE": threadglade.Unreachable, "ABORTED": threadglade.Cut,
	"CANCELLED": threadglade.Cancelled, "TOO_LATE": threadglade.NotSent,
}

// statesByName holds the wire names of server states.
var statesByName = map[string]threadglade.ServerState{
	"up": threadglade.Up, "draining": threadglade.Draining, "removed": threadglade.Removed,
}

// causesByCode maps the low four bits of a clear code to a cause. Code 18, whose low bits are 2, comes from a
// processor beyond the one that answered.
var causesByCode = map[int]threadglade.Cause{
	1: threadglade.CauseNoAgent, 2: threadglade.CauseSentBack, 3: threadglade.CauseProcessorFull,
	4: threadglade.CauseLinesBusy,
}

// Event translates a line for one instance to an event of its controller. known is false for a line that the
// controller has no use for.
func (l Line) Event(tables map[int][]Row) (ev threadglade.Event, known bool, err error) {
	switch l.Cmd {
	case "Registry":
		ev, err := l.serverList(tables)
		return ev, err == nil, err
	case "JobIn":
		return threadglade.Arrival{
			Call: l.Call, Class: l.Class, Tenant: l.Tenant, Number: l.Number, TimeLeft: Duration(l.TimeLeft),
			Destination: l.Destination, Retry: l.Retry, InTransit: l.InTransit,
		}, true, nil
	case "FirstByte":
		return threadglade.Established{Call: l.Call, Attempt: l.Attempt, Server: l.Server, Latency: Duration(l.Wait)}, true, nil
	case "ClosedAttempt":
		outcome, ok := outcomesByStatus[l.Outcome]
		if !ok {
			return nil, false, fmt.Errorf("unknown ending %q", l.Outcome)
		}
		return threadglade.Ended{
			Call: l.Call, Attempt: l.Attempt, Server: l.Server, Outcome: outcome, Cause: causesByCode[l.Code&15],
			Elapsed: Duration(l.Wait), Final: l.Final,
		}, true, nil
	case "CheckResult":
		free, hasIdle := l.Pressure["idle"]
		total, hasTotal := l.Pressure["circuits"]
		agents := threadglade.Agents{Server: l.Server, Free: int(free), Total: int(total)}
		return agents, hasIdle && hasTotal && l.Outcome == "OK", nil
	case "CancelledByClient":
		return threadglade.CallerGone{Call: l.Call}, true, nil
	case "Due":
		return threadglade.Due{Token: l.Token}, true, nil
	}
	return nil, false, nil
}

// serverList translates a server list update.
func (l Line) serverList(tables map[int][]Row) (threadglade.Event, error) {
	ev := threadglade.ServerList{Delta: l.Scope == "Partial", Stored: l.Scope == "Persisted",
		Failed: l.Scope == "Error"}
	if ev.Failed {
		return ev, nil
	}
	for _, r := range tables[l.Table] {
		state, ok := statesByName[r.State]
		if !ok {
			return nil, fmt.Errorf("unknown state %q of server %s", r.State, r.Server)
		}
		ev.Servers = append(ev.Servers, threadglade.Server{ID: r.Server, Number: r.Number, State: state,
			Started: Duration(r.Started)})
	}
	return ev, nil
}

// Reply is one outgoing line. Cmd decides which of the other fields are set.
type Reply struct {
	Cmd        string   `json:"cmd"`
	Proxy      string   `json:"proxyId,omitempty"`
	Call       string   `json:"txn,omitempty"`
	Server     string   `json:"server,omitempty"`
	Timeout    float64  `json:"capMs,omitempty"`
	RetryAfter float64  `json:"pauseMs,omitempty"`
	At         *float64 `json:"atMs,omitempty"`
	Token      *int64   `json:"handle,omitempty"`
	Attempt    *int     `json:"seqNo,omitempty"`
	Enable     bool     `json:"enable,omitempty"`
	Error      string   `json:"what,omitempty"`
}

// EncodeAction translates an action of a proxy's controller to a line.
func EncodeAction(proxy string, a threadglade.Action) (Reply, error) {
	switch a := a.(type) {
	case threadglade.Send:
		return Reply{Cmd: "SubmitTo", Proxy: proxy, Call: a.Call, Server: a.Server,
			Timeout: milliseconds(a.Timeout)}, nil
	case threadglade.Refuse:
		return Reply{Cmd: "Shed", Proxy: proxy, Call: a.Call, RetryAfter: milliseconds(a.RetryAfter)}, nil
	case threadglade.Fail:
		return Reply{Cmd: "DropRequest", Proxy: proxy, Call: a.Call}, nil
	case threadglade.GiveUp:
		return Reply{Cmd: "Abandon", Proxy: proxy, Call: a.Call, Attempt: &a.Attempt}, nil
	case threadglade.SetTimer:
		at := milliseconds(a.At)
		return Reply{Cmd: "WakeAt", Proxy: proxy, At: &at, Token: &a.Token}, nil
	case threadglade.Subscribe:
		return Reply{Cmd: "Observe", Proxy: proxy, Enable: true}, nil
	}
	return Reply{}, fmt.Errorf("action %T has no wire format", a)
}
