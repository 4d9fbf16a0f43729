package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/fleetio"
	"threadglade.example/threadglade/quota/quotapb"
)

// Intrusion is what somebody met who had no business with a keeper.
type Intrusion struct {
	At      time.Duration `json:"at"`
	Kind    string        `json:"kind"`
	Refused bool          `json:"refused"`
	Saw     string        `json:"saw"`
}

// Kinds of intruders.
var intruders = map[string]func(*fleetpb.Hello){
	"foreign":  func(h *fleetpb.Hello) { h.Fleet = "another" },
	"unlisted": func(h *fleetpb.Hello) { h.Name = "x9" },
	"impostor": func(h *fleetpb.Hello) { h.Name, h.Voter = "k1", 12345 },
	"before":   func(h *fleetpb.Hello) { h.Version, h.Least = 0, 0 },
	"after":    func(h *fleetpb.Hello) { h.Version, h.Least = fleet.LinkVersion+2, fleet.LinkVersion+1 },
	"newer":    func(h *fleetpb.Hello) { h.Version = fleet.LinkVersion + 1 }, // it still speaks this version
	"large":    func(*fleetpb.Hello) {},
	"mute":     func(*fleetpb.Hello) {},
	"greedy":   func(*fleetpb.Hello) {},                   // a router of the fleet by all signs, that wants more than there is
	"nonsense": func(h *fleetpb.Hello) { h.Talks = true }, // to a router
	"garbage":  nil,
	"silent":   nil,
}

// greedyFor is how long a greedy router claims what it can.
const greedyFor = 8 * time.Second

// greedy holds a lease as any router does, says of each limit that it is told of that it has and wants beyond all measure, and tells the largest share that it was given of each.
func greedy(ctx context.Context, s grpc.ClientStream) string {
	claims := map[string]float64{"all": 0}
	ask := func(seq, incarnation uint64) error {
		said := quotapb.Claims{Taken: seq - 1}
		for name := range claims {
			said.Claims = append(said.Claims, &quotapb.Claim{Limit: name, Demand: 1e300, Held: 1e300, Used: 1e300})
		}
		b, _ := proto.Marshal(&said)
		return s.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Ask{Ask: &fleetpb.Ask{Seq: seq, Process: 99, Incarnation: incarnation, Known: ^uint64(0), Ride: b}}})
	}
	answers := make(chan *fleetpb.Answer, 16)
	go func() {
		for {
			f := &fleetpb.Frame{}
			if s.RecvMsg(f) != nil {
				return
			}
			if a := f.GetAnswer(); a != nil {
				select {
				case answers <- a:
				default:
				}
			}
		}
	}()
	incarnation := uint64(0)
	for seq := uint64(1); ctx.Err() == nil && ask(seq, incarnation) == nil; seq++ {
		select {
		case a := <-answers:
			incarnation = max(incarnation, a.Incarnation)
			var got quotapb.Grants
			if proto.Unmarshal(a.Ride, &got) == nil {
				for _, g := range got.Grants {
					claims[g.Limit] = max(claims[g.Limit], g.Share)
				}
			}
		case <-time.After(300 * time.Millisecond):
		case <-ctx.Done():
		}
		select {
		case <-time.After(250 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return fmt.Sprintf("held incarnation %d, and of each limit at the most %v", incarnation, claims)
}

// intrude plays one against a keeper and tells what it met.
func intrude(kind, addr string) Intrusion {
	in := Intrusion{Kind: kind}
	change, known := intruders[kind]
	if !known {
		in.Saw = "there is no such intruder"
		return in
	}
	patience := 4 * time.Second
	if kind == "greedy" {
		patience = greedyFor
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if change == nil {
		c, err := net.DialTimeout("tcp4", addr, time.Second)
		if err != nil {
			in.Saw = err.Error()
			return in
		}
		defer c.Close()
		if kind == "garbage" {
			b := make([]byte, 64<<10)
			for i := range b {
				b[i] = byte(rand.Uint32())
			}
			c.Write(b)
		}
		c.SetReadDeadline(time.Now().Add(3500 * time.Millisecond))
		for {
			b := make([]byte, 4096)
			if _, err := c.Read(b); err != nil {
				var timeout net.Error
				in.Saw = err.Error()
				if ne, ok := err.(net.Error); ok {
					timeout = ne
				}
				in.Refused = timeout == nil || !timeout.Timeout()
				return in
			}
		}
	}
	conn, err := fleetio.Dial(addr)
	if err != nil {
		in.Saw = err.Error()
		return in
	}
	defer conn.Close()
	s, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, "/threadglade.fleet.v1.Fleet/Link", grpc.MaxCallSendMsgSize(64<<20))
	if err != nil {
		in.Saw = err.Error()
		return in
	}
	h := &fleetpb.Hello{Fleet: fleetName, Name: "r99", Version: fleet.LinkVersion, Least: fleet.MinLinkVersion, Process: 1}
	change(h)
	s.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Hello{Hello: h}})
	if kind != "mute" {
		if err := s.RecvMsg(&fleetpb.Frame{}); err != nil {
			in.Refused, in.Saw = true, err.Error()
			return in
		}
	}
	switch kind {
	case "greedy":
		in.Saw = greedy(ctx, s)
	case "newer":
		in.Refused, in.Saw = false, "let in, as it speaks this version too"
	case "large":
		s.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Raft{Raft: make([]byte, 8<<20)}})
		err := s.RecvMsg(&fleetpb.Frame{})
		in.Refused, in.Saw = err != nil, fmt.Sprint(err)
	case "nonsense": // says things that are no evidence, and then what only a keeper may
		for _, f := range []*fleetpb.Frame{{What: &fleetpb.Frame_Talk{Talk: []byte("nonsense")}}, {What: &fleetpb.Frame_Raft{Raft: []byte("nonsense")}}} {
			s.SendMsg(f)
		}
		for err == nil {
			err = s.RecvMsg(&fleetpb.Frame{})
		}
		in.Refused, in.Saw = ctx.Err() == nil, fmt.Sprint(err)
	case "mute": // asks for the whole state again and again, and never reads
		sent := 0
		for ctx.Err() == nil && sent < 400_000 {
			if err = s.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Ask{Ask: &fleetpb.Ask{Seq: uint64(sent), Process: 1, Incarnation: 1}}}); err != nil {
				break
			}
			sent++
		}
		in.Refused, in.Saw = err != nil, fmt.Sprintf("cut off after %d asks: %v", sent, err)
	default:
		in.Saw = "let in"
	}
	return in
}
