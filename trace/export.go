package trace

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	spans "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protojson"

	"threadglade.example/threadglade"
)

// line is a record as one JSON object.
type line struct {
	Time    string            `json:"time"`
	Kind    string            `json:"kind"`
	Carried bool              `json:"carried,omitempty"`
	Texts   map[string]string `json:"texts,omitempty"`
	Figures map[string]int64  `json:"figures,omitempty"`
	Act     string            `json:"act,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	Outcome string            `json:"outcome,omitempty"`
}

// JSON writes a record as one line of JSON.
func JSON(w io.Writer, r *Record) error {
	l := line{Time: r.Time().Format("2006-01-02T15:04:05.000000Z"), Kind: r.Kind.String(), Carried: r.Carried, Outcome: r.outcome(),
		Texts: map[string]string{}, Figures: map[string]int64{}}
	for _, t := range layout[r.Kind].texts {
		if r.S[t] != "" {
			l.Texts[t.String()] = r.S[t]
		}
	}
	for _, f := range layout[r.Kind].figures {
		l.Figures[f.String()] = r.N[f]
	}
	if r.Kind == Decision {
		l.Act, l.Reason = Action(r.N[Act]).String(), reasonName(r.N[Reason])
	}
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// Spans writes calls as traces of the OpenTelemetry protocol in JSON, one object a line: a call is a span, each attempt one below
// it, a decision an event.
type Spans struct {
	w    io.Writer
	open map[string]*callSpans
	// Dropped counts calls that were not followed because too many were open.
	Dropped int
}

type callSpans struct {
	root    *spans.Span
	attempt *spans.Span
	done    []*spans.Span
	router  string
	stood   bool
}

// NewSpans begins to write.
func NewSpans(w io.Writer) *Spans { return &Spans{w: w, open: map[string]*callSpans{}} }

func id(parts ...string) []byte {
	h := fnv.New64a()
	for _, p := range parts {
		io.WriteString(h, p)
		h.Write([]byte{0})
	}
	return h.Sum(nil)
}

func text(key, value string) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: value}}}
}

func figure(key string, n int64) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: n}}}
}

// Take adds a record; calls that are over are written.
func (s *Spans) Take(r *Record) error {
	call := r.S[Call]
	if call == "" || r.Kind == Stray {
		return nil
	}
	nano := uint64(r.At) * 1000
	c := s.open[call]
	if c == nil {
		if r.Kind != Request {
			return nil
		}
		if len(s.open) >= openMost {
			s.Dropped++
			return nil
		}
		c = &callSpans{router: r.S[Router], root: &spans.Span{TraceId: append(id("trace", call), id(call)...), SpanId: id("call", call), Name: "call",
			Kind: spans.Span_SPAN_KIND_SERVER, StartTimeUnixNano: nano, Attributes: []*common.KeyValue{text("call.id", call), text("call.class", r.S[Class]),
				text("call.tenant", r.S[Tenant]), text("call.number", r.S[Number]), text("call.front", r.S[Front]), figure("call.destination", r.N[Destination])}}}
		s.open[call] = c
		return nil
	}
	switch r.Kind {
	case Decision:
		event := &spans.Span_Event{TimeUnixNano: nano, Name: Action(r.N[Act]).String(), Attributes: []*common.KeyValue{
			text("server", r.S[Server]), text("reason", reasonName(r.N[Reason])), figure("rate_milli", r.N[RateMilli]), figure("lambda_milli", r.N[LambdaMilli]),
			figure("oldest_ms", r.N[OldestMs]), figure("free", r.N[Free]), figure("latency_us", r.N[LatencyUs])}}
		c.root.Events = append(c.root.Events, event)
		if Action(r.N[Act]) == Sent {
			c.attempt = &spans.Span{TraceId: c.root.TraceId, SpanId: id("attempt", call, fmt.Sprint(r.N[Attempt])), ParentSpanId: c.root.SpanId, Name: "attempt",
				Kind: spans.Span_SPAN_KIND_CLIENT, StartTimeUnixNano: nano, Attributes: []*common.KeyValue{text("server", r.S[Server]), figure("attempt", r.N[Attempt])}}
		}
	case AttemptEnd:
		c.end(nano, outcomeName(threadglade.Outcome(r.N[Outcome])), true)
	case Answer:
		end := End(r.N[Final])
		c.root.Attributes = append(c.root.Attributes, text("call.answer", end.String()))
		if end == EndStood {
			c.stood = true
			c.end(nano, "stood", false)
			c.root.Events = append(c.root.Events, &spans.Span_Event{TimeUnixNano: nano, Name: "stood"})
			return nil
		}
		if end != EndLeft {
			c.root.Status = &spans.Status{Code: spans.Status_STATUS_CODE_ERROR, Message: end.String()}
		}
		return s.write(call, c, nano)
	case Release:
		if threadglade.Outcome(r.N[Outcome]) == threadglade.Cut {
			c.root.Status = &spans.Status{Code: spans.Status_STATUS_CODE_ERROR, Message: "cut"}
		}
		return s.write(call, c, nano)
	}
	return nil
}

func (c *callSpans) end(nano uint64, outcome string, bad bool) {
	if c.attempt == nil {
		return
	}
	c.attempt.EndTimeUnixNano = nano
	c.attempt.Attributes = append(c.attempt.Attributes, text("outcome", outcome))
	if bad {
		c.attempt.Status = &spans.Status{Code: spans.Status_STATUS_CODE_ERROR, Message: outcome}
	}
	c.done, c.attempt = append(c.done, c.attempt), nil
}

func (s *Spans) write(call string, c *callSpans, nano uint64) error {
	delete(s.open, call)
	c.end(nano, "unknown", false)
	c.root.EndTimeUnixNano = nano
	data := &spans.TracesData{ResourceSpans: []*spans.ResourceSpans{{
		Resource:   &resource.Resource{Attributes: []*common.KeyValue{text("service.name", "threadglade"), text("service.instance.id", c.router)}},
		ScopeSpans: []*spans.ScopeSpans{{Scope: &common.InstrumentationScope{Name: "threadglade.trace"}, Spans: append([]*spans.Span{c.root}, c.done...)}}}}}
	b, err := protojson.MarshalOptions{UseEnumNumbers: true}.Marshal(data)
	if err != nil {
		return err
	}
	// The protocol's JSON has ids in hexadecimal, where protocol buffers have base64.
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return err
	}
	hexIDs(v)
	if b, err = json.Marshal(v); err != nil {
		return err
	}
	_, err = s.w.Write(append(b, '\n'))
	return err
}

func hexIDs(v any) {
	switch v := v.(type) {
	case []any:
		for _, one := range v {
			hexIDs(one)
		}
	case map[string]any:
		for key, one := range v {
			switch key {
			case "traceId", "spanId", "parentSpanId":
				if b, err := base64.StdEncoding.DecodeString(fmt.Sprint(one)); err == nil {
					v[key] = hex.EncodeToString(b)
				}
			default:
				hexIDs(one)
			}
		}
	}
}

// Close writes the calls that were still open at the end, as far as they are known.
func (s *Spans) Close() error {
	for call, c := range s.open {
		end := c.root.StartTimeUnixNano
		for _, e := range c.root.Events {
			end = max(end, e.TimeUnixNano)
		}
		c.root.Attributes = append(c.root.Attributes, text("call.answer", "open"))
		if err := s.write(call, c, end); err != nil {
			return err
		}
	}
	return nil
}
