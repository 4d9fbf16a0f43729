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

// jsonRecord is the JSON form of a record.
type jsonRecord struct {
	Time    string            `json:"time"`
	Kind    string            `json:"kind"`
	Carried bool              `json:"carried,omitempty"`
	Texts   map[string]string `json:"texts,omitempty"`
	Figures map[string]int64  `json:"figures,omitempty"`
	Act     string            `json:"act,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	Outcome string            `json:"outcome,omitempty"`
}

// WriteJSON writes a record as one line of JSON.
func WriteJSON(w io.Writer, r *Record) error {
	l := jsonRecord{Time: r.Time().Format("2006-01-02T15:04:05.000000Z"), Kind: r.Kind.String(), Carried: r.Carried,
		Outcome: r.outcomeLabel(), Texts: map[string]string{}, Figures: map[string]int64{}}
	for _, t := range layout[r.Kind].texts {
		if r.Texts[t] != "" {
			l.Texts[t.String()] = r.Texts[t]
		}
	}
	for _, f := range layout[r.Kind].figures {
		l.Figures[f.String()] = r.Figures[f]
	}
	if r.Kind == Decision {
		l.Act, l.Reason = Action(r.Figures[ActionCode]).String(), reasonName(r.Figures[Reason])
	}
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// SpanWriter writes calls as OpenTelemetry traces in OTLP JSON, one object per line: a call is a span, its attempts
// are child spans and its decisions events. It isn't safe for concurrent use.
type SpanWriter struct {
	w         io.Writer
	openCalls map[string]*callSpans
	// Dropped counts calls that were not exported because too many calls were open.
	Dropped int
}

// callSpans holds the spans of an open call.
type callSpans struct {
	root        *spans.Span
	attempt     *spans.Span // in flight
	finished    []*spans.Span
	router      string
	established bool
}

// NewSpanWriter returns a SpanWriter that writes to w.
func NewSpanWriter(w io.Writer) *SpanWriter {
	return &SpanWriter{w: w, openCalls: map[string]*callSpans{}}
}

// hashID returns an 8-byte ID that depends only on its parts.
func hashID(parts ...string) []byte {
	h := fnv.New64a()
	for _, p := range parts {
		io.WriteString(h, p)
		h.Write([]byte{0})
	}
	return h.Sum(nil)
}

func stringAttribute(key, value string) *common.KeyValue {
	return &common.KeyValue{Key: key,
		Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: value}}}
}

func intAttribute(key string, n int64) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: n}}}
}

// Add adds the next record. A call is written when it ends.
func (s *SpanWriter) Add(r *Record) error {
	call := r.Texts[Call]
	if call == "" || r.Kind == UnexpectedRelease {
		return nil
	}
	nano := uint64(r.At) * 1000
	c := s.openCalls[call]
	if c == nil {
		if r.Kind != Request {
			return nil
		}
		if len(s.openCalls) >= maxOpenCalls {
			s.Dropped++
			return nil
		}
		c = &callSpans{router: r.Texts[Router], root: &spans.Span{
			TraceId:           append(hashID("trace", call), hashID(call)...),
			SpanId:            hashID("call", call),
			Name:              "call",
			Kind:              spans.Span_SPAN_KIND_SERVER,
			StartTimeUnixNano: nano,
			Attributes: []*common.KeyValue{
				stringAttribute("call.id", call),
				stringAttribute("call.class", r.Texts[Class]),
				stringAttribute("call.tenant", r.Texts[Tenant]),
				stringAttribute("call.number", r.Texts[Number]),
				stringAttribute("call.front", r.Texts[Front]),
				intAttribute("call.destination", r.Figures[Destination]),
			},
		}}
		s.openCalls[call] = c
		return nil
	}
	switch r.Kind {
	case Decision:
		event := &spans.Span_Event{TimeUnixNano: nano, Name: Action(r.Figures[ActionCode]).String(),
			Attributes: []*common.KeyValue{
				stringAttribute("server", r.Texts[Server]),
				stringAttribute("reason", reasonName(r.Figures[Reason])),
				intAttribute("rate_milli", r.Figures[RateMilli]),
				intAttribute("lambda_milli", r.Figures[LambdaMilli]),
				intAttribute("oldest_ms", r.Figures[OldestPendingMs]),
				intAttribute("free", r.Figures[Free]),
				intAttribute("latency_us", r.Figures[LatencyUs]),
			}}
		c.root.Events = append(c.root.Events, event)
		if Action(r.Figures[ActionCode]) == ActionSent {
			c.attempt = &spans.Span{
				TraceId:           c.root.TraceId,
				SpanId:            hashID("attempt", call, fmt.Sprint(r.Figures[Attempt])),
				ParentSpanId:      c.root.SpanId,
				Name:              "attempt",
				Kind:              spans.Span_SPAN_KIND_CLIENT,
				StartTimeUnixNano: nano,
				Attributes: []*common.KeyValue{
					stringAttribute("server", r.Texts[Server]),
					intAttribute("attempt", r.Figures[Attempt]),
				},
			}
		}
	case AttemptEnd:
		c.endAttempt(nano, outcomeName(threadglade.Outcome(r.Figures[Outcome])), true)
	case Answer:
		end := AnswerResult(r.Figures[FinalAnswer])
		c.root.Attributes = append(c.root.Attributes, stringAttribute("call.answer", end.String()))
		if end == AnswerEstablished {
			c.established = true
			c.endAttempt(nano, "stood", false)
			c.root.Events = append(c.root.Events, &spans.Span_Event{TimeUnixNano: nano, Name: "stood"})
			return nil
		}
		if end != AnswerAbandoned {
			c.root.Status = &spans.Status{Code: spans.Status_STATUS_CODE_ERROR, Message: end.String()}
		}
		return s.write(call, c, nano)
	case Release:
		if threadglade.Outcome(r.Figures[Outcome]) == threadglade.Cut {
			c.root.Status = &spans.Status{Code: spans.Status_STATUS_CODE_ERROR, Message: "cut"}
		}
		return s.write(call, c, nano)
	}
	return nil
}

// endAttempt ends the span of the attempt in flight, if there is one.
func (c *callSpans) endAttempt(nano uint64, outcome string, failed bool) {
	if c.attempt == nil {
		return
	}
	c.attempt.EndTimeUnixNano = nano
	c.attempt.Attributes = append(c.attempt.Attributes, stringAttribute("outcome", outcome))
	if failed {
		c.attempt.Status = &spans.Status{Code: spans.Status_STATUS_CODE_ERROR, Message: outcome}
	}
	c.finished, c.attempt = append(c.finished, c.attempt), nil
}

// write writes an ended call as one line.
func (s *SpanWriter) write(call string, c *callSpans, nano uint64) error {
	delete(s.openCalls, call)
	c.endAttempt(nano, "unknown", false)
	c.root.EndTimeUnixNano = nano
	data := &spans.TracesData{ResourceSpans: []*spans.ResourceSpans{{
		Resource: &resource.Resource{Attributes: []*common.KeyValue{
			stringAttribute("service.name", "threadglade"),
			stringAttribute("service.instance.id", c.router),
		}},
		ScopeSpans: []*spans.ScopeSpans{{Scope: &common.InstrumentationScope{Name: "threadglade.trace"},
			Spans: append([]*spans.Span{c.root}, c.finished...)}}}}}
	b, err := protojson.MarshalOptions{UseEnumNumbers: true}.Marshal(data)
	if err != nil {
		return err
	}
	// OTLP JSON encodes IDs in hexadecimal, unlike the standard JSON mapping of protocol buffers, which uses base64.
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

// hexIDs converts the IDs of spans in decoded JSON from base64 to hexadecimal, in place.
func hexIDs(v any) {
	switch v := v.(type) {
	case []any:
		for _, element := range v {
			hexIDs(element)
		}
	case map[string]any:
		for key, element := range v {
			switch key {
			case "traceId", "spanId", "parentSpanId":
				if b, err := base64.StdEncoding.DecodeString(fmt.Sprint(element)); err == nil {
					v[key] = hex.EncodeToString(b)
				}
			default:
				hexIDs(element)
			}
		}
	}
}

// Close writes the calls that are still open, ending each at its last event.
func (s *SpanWriter) Close() error {
	for call, c := range s.openCalls {
		end := c.root.StartTimeUnixNano
		for _, e := range c.root.Events {
			end = max(end, e.TimeUnixNano)
		}
		c.root.Attributes = append(c.root.Attributes, stringAttribute("call.answer", "open"))
		if err := s.write(call, c, end); err != nil {
			return err
		}
	}
	return nil
}
