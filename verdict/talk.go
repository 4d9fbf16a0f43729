package verdict

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/verdict/verdictpb"
)

// This file owns how frames are written and read.

const unit = time.Microsecond

func writeAge(age time.Duration) uint64 {
	if age < 0 {
		return 0
	}
	return uint64(age/unit) + 2 // rounded up, so that nothing seems younger than it is
}

func readAge(n uint64) time.Duration {
	if n == 0 {
		return -1
	}
	return time.Duration(min(n-1, uint64(24*time.Hour/unit))) * unit
}

func write(r *Record) *verdictpb.Record {
	return &verdictpb.Record{Observer: r.Observer, Zone: r.Zone, Incarnation: r.Incarnation, Seq: r.Seq, Server: r.Server, Started: int64(r.Started), Good: r.Good, Late: r.Late, Silent: r.Silent,
		Refused: r.Refused, Full: r.Full, Slow: r.Slow, Onset: writeAge(r.Onset), Bad: writeAge(r.BadAt), LateAt: writeAge(r.LateAt), GoodAt: writeAge(r.GoodAt), Passed: writeAge(r.PassedAt)}
}

// Write turns a frame into bytes.
func (f *Frame) Write() []byte {
	out := verdictpb.Frame{Stamp: int64(f.Stamp), Echo: int64(f.Echo), Hold: int64(f.Hold)}
	for i := range f.Records {
		out.Records = append(out.Records, write(&f.Records[i]))
	}
	b, _ := proto.Marshal(&out)
	return b
}

// Read reads one. The error is of a frame that cannot be one.
func Read(b []byte) (f Frame, err error) {
	var in verdictpb.Frame
	if err := proto.Unmarshal(b, &in); err != nil {
		return f, err
	}
	if in.Stamp <= 0 || in.Echo < 0 || in.Hold < 0 || len(in.Records) > frameMost {
		return f, errors.New("a frame of evidence with times before any clock, or too many records")
	}
	f = Frame{Stamp: time.Duration(in.Stamp), Echo: time.Duration(in.Echo), Hold: time.Duration(in.Hold)}
	for _, r := range in.Records {
		f.Records = append(f.Records, Record{Observer: r.Observer, Zone: r.Zone, Incarnation: r.Incarnation, Seq: r.Seq, Key: Key{r.Server, time.Duration(r.Started)}, Good: r.Good, Late: r.Late, Silent: r.Silent,
			Refused: r.Refused, Full: r.Full, Slow: r.Slow, Onset: readAge(r.Onset), BadAt: readAge(r.Bad), LateAt: readAge(r.LateAt), GoodAt: readAge(r.GoodAt), PassedAt: readAge(r.Passed)})
	}
	return f, nil
}

// Report is what the router that holds the table tells an operator; heeded are the servers that its decisions leave alone.
func (t *Table) Report(now time.Duration, heeded map[Key]bool) *verdictpb.Report {
	out := &verdictpb.Report{Others: uint32(t.Others()), Neighbours: uint32(len(t.peers)), Records: uint32(len(t.records))}
	for _, v := range t.Verdicts(now) {
		one := &verdictpb.Verdict{Server: v.Server, Started: int64(v.Started), Kind: v.Kind.String(), Zones: v.Zones, By: v.By, Part: v.Part, Bad: uint32(v.Bad), Good: uint32(v.Good), Sources: v.Sources,
			Confidence: v.Confidence, Age: int64(v.Age / unit), Left: int64(max(v.Until-now, 0) / unit), Why: v.Why, Heeded: heeded[v.Key]}
		for _, name := range sortedNames(t.by[v.Key]) {
			r := aged(*t.by[v.Key][name], now)
			one.Records = append(one.Records, write(&r))
		}
		out.Verdicts = append(out.Verdicts, one)
	}
	return out
}
