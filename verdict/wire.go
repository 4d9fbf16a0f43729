package verdict

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/verdict/verdictpb"
)

// This file encodes and decodes frames and builds the report for operators.

// wireUnit is the unit of ages and other durations in messages.
const wireUnit = time.Microsecond

// encodeAge returns an age in wireUnit plus 1; 0 stands for a negative age, which means never. It rounds up, so that
// nothing appears younger than it is.
func encodeAge(age time.Duration) uint64 {
	if age < 0 {
		return 0
	}
	return uint64(age/wireUnit) + 2
}

// decodeAge reverses encodeAge; it returns at most 24 hours.
func decodeAge(n uint64) time.Duration {
	if n == 0 {
		return -1
	}
	return time.Duration(min(n-1, uint64(24*time.Hour/wireUnit))) * wireUnit
}

func encodeRecord(r *Record) *verdictpb.Record {
	return &verdictpb.Record{
		Observer:    r.Observer,
		Zone:        r.Zone,
		Incarnation: r.Incarnation,
		Seq:         r.Seq,
		Server:      r.Server,
		Started:     int64(r.Started),
		Good:        r.Good,
		Late:        r.Late,
		Silent:      r.Missed,
		Refused:     r.Refused,
		Full:        r.Full,
		Slow:        r.Slowdown,
		Onset:       encodeAge(r.Onset),
		Bad:         encodeAge(r.BadAt),
		LateAt:      encodeAge(r.LateAt),
		GoodAt:      encodeAge(r.GoodAt),
		Passed:      encodeAge(r.AnsweredSentAt),
	}
}

// Marshal encodes the frame. Its records have to hold ages already; see Frame.
func (f *Frame) Marshal() []byte {
	encoded := verdictpb.Frame{Stamp: int64(f.Stamp), Echo: int64(f.Echo), Hold: int64(f.EchoDelay)}
	for i := range f.Records {
		encoded.Records = append(encoded.Records, encodeRecord(&f.Records[i]))
	}
	b, _ := proto.Marshal(&encoded)
	return b
}

// ParseFrame decodes a frame. It returns an error if the bytes are not a frame, its times are out of range or it has
// too many records.
func ParseFrame(b []byte) (f Frame, err error) {
	var decoded verdictpb.Frame
	if err := proto.Unmarshal(b, &decoded); err != nil {
		return f, err
	}
	if decoded.Stamp <= 0 || decoded.Echo < 0 || decoded.Hold < 0 || len(decoded.Records) > maxFrameRecords {
		return f, errors.New("evidence frame: stamp not above 0, echo or hold below 0, or too many records")
	}
	f = Frame{
		Stamp:     time.Duration(decoded.Stamp),
		Echo:      time.Duration(decoded.Echo),
		EchoDelay: time.Duration(decoded.Hold),
	}
	for _, record := range decoded.Records {
		f.Records = append(f.Records, Record{
			Observer:       record.Observer,
			Zone:           record.Zone,
			Incarnation:    record.Incarnation,
			Seq:            record.Seq,
			Key:            Key{record.Server, time.Duration(record.Started)},
			Good:           record.Good,
			Late:           record.Late,
			Missed:         record.Silent,
			Refused:        record.Refused,
			Full:           record.Full,
			Slowdown:       record.Slow,
			Onset:          decodeAge(record.Onset),
			BadAt:          decodeAge(record.Bad),
			LateAt:         decodeAge(record.LateAt),
			GoodAt:         decodeAge(record.GoodAt),
			AnsweredSentAt: decodeAge(record.Passed),
		})
	}
	return f, nil
}

// Report returns the verdicts and their evidence for an operator; avoided holds the servers that this router currently
// avoids.
func (t *Table) Report(now time.Duration, avoided map[Key]bool) *verdictpb.Report {
	out := &verdictpb.Report{
		Others:     uint32(t.RouterCount()),
		Neighbours: uint32(len(t.peers)),
		Records:    uint32(len(t.records)),
	}
	for _, v := range t.Verdicts(now) {
		entry := &verdictpb.Verdict{
			Server:     v.Server,
			Started:    int64(v.Started),
			Kind:       v.Kind.String(),
			Zones:      v.Zones,
			By:         v.Slowdown,
			Part:       v.LateShare,
			Bad:        uint32(v.Bad),
			Good:       uint32(v.Good),
			Sources:    v.Sources,
			Confidence: v.Confidence,
			Age:        int64(v.Age / wireUnit),
			Left:       int64(max(v.Until-now, 0) / wireUnit),
			Why:        v.Reason,
			Heeded:     avoided[v.Key],
		}
		for _, name := range sortedNames(t.byServer[v.Key]) {
			record := timesToAges(*t.byServer[v.Key][name], now)
			entry.Records = append(entry.Records, encodeRecord(&record))
		}
		out.Verdicts = append(out.Verdicts, entry)
	}
	return out
}
