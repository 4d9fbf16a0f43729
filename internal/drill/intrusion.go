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

// Intrusion is the outcome of one attempt of an intruder to use a keeper or router.
type Intrusion struct {
	At      time.Duration `json:"at"`
	Kind    string        `json:"kind"`
	Refused bool          `json:"refused"`
	Saw     string        `json:"saw"` // what the intruder observed, such as the error that refused it
}

// helloChanges has, for each kind of intruder, the changes to the Hello of a valid router. Intruders whose entry is
// nil send no Hello at all.
var helloChanges = map[string]func(*fleetpb.Hello){
	"foreign":  func(h *fleetpb.Hello) { h.Fleet = "another" },
	"unlisted": func(h *fleetpb.Hello) { h.Name = "x9" },
	"impostor": func(h *fleetpb.Hello) { h.Name, h.Voter = "k1", 12345 },
	"before":   func(h *fleetpb.Hello) { h.Version, h.Least = 0, 0 },
	"after":    func(h *fleetpb.Hello) { h.Version, h.Least = fleet.LinkVersion+2, fleet.LinkVersion+1 },
	"newer":    func(h *fleetpb.Hello) { h.Version = fleet.LinkVersion + 1 }, // supports this version too: accepted
	"large":    func(*fleetpb.Hello) {},
	"mute":     func(*fleetpb.Hello) {},
	"greedy":   func(*fleetpb.Hello) {},                   // looks like a valid router, but claims more than there is
	"nonsense": func(h *fleetpb.Hello) { h.Talks = true }, // sent to a router
	"garbage":  nil,
	"silent":   nil,
}

// greedyDuration is how long a greedy router sends claims.
const greedyDuration = 8 * time.Second

// claimGreedily holds a lease like any router, and for each limit that it learns of it claims a practically unbounded
// demand and use. It returns a text with the largest share of each limit that it was granted.
func claimGreedily(ctx context.Context, stream grpc.ClientStream) string {
	claims := map[string]float64{"all": 0}
	sendClaims := func(seq, incarnation uint64) error {
		message := quotapb.Claims{Taken: seq - 1}
		for name := range claims {
			message.Claims = append(message.Claims, &quotapb.Claim{Limit: name, Demand: 1e300, Held: 1e300, Used: 1e300})
		}
		b, _ := proto.Marshal(&message)
		return stream.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Ask{
			Ask: &fleetpb.Ask{Seq: seq, Process: 99, Incarnation: incarnation, Known: ^uint64(0), Ride: b},
		}})
	}
	answers := make(chan *fleetpb.Answer, 16)
	go func() {
		for {
			frame := &fleetpb.Frame{}
			if stream.RecvMsg(frame) != nil {
				return
			}
			if answer := frame.GetAnswer(); answer != nil {
				select {
				case answers <- answer:
				default:
				}
			}
		}
	}()
	incarnation := uint64(0)
	for seq := uint64(1); ctx.Err() == nil && sendClaims(seq, incarnation) == nil; seq++ {
		select {
		case answer := <-answers:
			incarnation = max(incarnation, answer.Incarnation)
			var grants quotapb.Grants
			if proto.Unmarshal(answer.Ride, &grants) == nil {
				for _, grant := range grants.Grants {
					claims[grant.Limit] = max(claims[grant.Limit], grant.Share)
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

// attemptIntrusion connects to the process at addr as an intruder of the given kind and returns the outcome.
func attemptIntrusion(kind, addr string) Intrusion {
	intrusion := Intrusion{Kind: kind}
	changeHello, known := helloChanges[kind]
	if !known {
		intrusion.Saw = "unknown kind of intruder"
		return intrusion
	}
	timeout := 4 * time.Second
	if kind == "greedy" {
		timeout = greedyDuration
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if changeHello == nil {
		c, err := net.DialTimeout("tcp4", addr, time.Second)
		if err != nil {
			intrusion.Saw = err.Error()
			return intrusion
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
				var netErr net.Error
				intrusion.Saw = err.Error()
				if ne, ok := err.(net.Error); ok {
					netErr = ne
				}
				intrusion.Refused = netErr == nil || !netErr.Timeout()
				return intrusion
			}
		}
	}
	conn, err := fleetio.Dial(addr)
	if err != nil {
		intrusion.Saw = err.Error()
		return intrusion
	}
	defer conn.Close()
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true},
		"/threadglade.fleet.v1.Fleet/Link", grpc.MaxCallSendMsgSize(64<<20))
	if err != nil {
		intrusion.Saw = err.Error()
		return intrusion
	}
	hello := &fleetpb.Hello{Fleet: fleetName, Name: "r99", Version: fleet.LinkVersion, Least: fleet.MinLinkVersion,
		Process: 1}
	changeHello(hello)
	stream.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Hello{Hello: hello}})
	if kind != "mute" {
		if err := stream.RecvMsg(&fleetpb.Frame{}); err != nil {
			intrusion.Refused, intrusion.Saw = true, err.Error()
			return intrusion
		}
	}
	switch kind {
	case "greedy":
		intrusion.Saw = claimGreedily(ctx, stream)
	case "newer":
		intrusion.Refused, intrusion.Saw = false, "accepted, as it supports this version too"
	case "large":
		stream.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Raft{Raft: make([]byte, 8<<20)}})
		err := stream.RecvMsg(&fleetpb.Frame{})
		intrusion.Refused, intrusion.Saw = err != nil, fmt.Sprint(err)
	case "nonsense": // sends malformed evidence, then a frame that only a keeper may send
		for _, f := range []*fleetpb.Frame{
			{What: &fleetpb.Frame_Talk{Talk: []byte("nonsense")}},
			{What: &fleetpb.Frame_Raft{Raft: []byte("nonsense")}},
		} {
			stream.SendMsg(f)
		}
		for err == nil {
			err = stream.RecvMsg(&fleetpb.Frame{})
		}
		intrusion.Refused, intrusion.Saw = ctx.Err() == nil, fmt.Sprint(err)
	case "mute": // requests the whole state repeatedly and never reads
		sent := 0
		for ctx.Err() == nil && sent < 400_000 {
			if err = stream.SendMsg(&fleetpb.Frame{What: &fleetpb.Frame_Ask{
				Ask: &fleetpb.Ask{Seq: uint64(sent), Process: 1, Incarnation: 1},
			}}); err != nil {
				break
			}
			sent++
		}
		intrusion.Refused, intrusion.Saw = err != nil, fmt.Sprintf("disconnected after %d asks: %v", sent, err)
	default:
		intrusion.Saw = "accepted"
	}
	return intrusion
}
