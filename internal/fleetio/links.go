package fleetio

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
)

// Links: one gRPC stream from whoever dialled to a keeper, frames both ways, a hello first from each side. Whoever does not read is cut off; whoever sends is
// never held up by it.

const (
	frameMost   = 4 << 20 // bytes of a message; a larger one ends its link
	queueMost   = 1024    // frames that wait for one link
	inboxMost   = 4096    // and for this process
	linksMost   = 8192    // accepted
	helloWithin = 2 * time.Second
	dialAgain   = 100 * time.Millisecond
	dialLatest  = time.Second
)

// link is one open stream.
type link struct {
	id    fleet.Link
	name  string
	peer  bool // a keeper
	talks bool // between neighbours
	queue chan *fleetpb.Frame
	cut   context.CancelFunc
}

// event is what a link brings to the core.
type event struct {
	link  *link
	frame *fleetpb.Frame // nil: the link has opened or, with gone, ended
	gone  bool
	out   bool // it was dialled by this process
}

// send gives a frame to a link's own goroutine; a link whose queue is full is cut off.
func (f *Fleet) send(l *link, frame *fleetpb.Frame) {
	select {
	case l.queue <- frame:
		f.count.Sent.Add(1)
	default:
		f.count.Dropped.Add(1)
		l.cut()
	}
}

// put hands an event to the core; it waits, and with it the link that it came on, while the core is busy.
func (f *Fleet) put(ctx context.Context, e event) bool {
	select {
	case f.inbox <- e:
		return true
	case <-ctx.Done():
	case <-f.stop:
	}
	return false
}

// stream is either side of a gRPC stream.
type stream interface {
	SendMsg(any) error
	RecvMsg(any) error
}

// pump reads a link into the inbox and writes its queue until either ends.
func (f *Fleet) pump(ctx context.Context, s stream, l *link, out bool) error {
	if !f.put(ctx, event{link: l, out: out}) {
		return context.Canceled
	}
	f.links.Store(l.id, l)
	defer func() {
		f.links.Delete(l.id)
		f.put(context.Background(), event{link: l, gone: true, out: out})
	}()
	ends := make(chan error, 1)
	go func() {
		for {
			frame := &fleetpb.Frame{}
			if err := s.RecvMsg(frame); err != nil {
				ends <- err
				return
			}
			f.count.Received.Add(1)
			if !f.put(ctx, event{link: l, frame: frame, out: out}) {
				ends <- context.Canceled
				return
			}
		}
	}()
	sent := make(chan error, 1)
	go func() {
		for {
			select {
			case frame := <-l.queue:
				if err := s.SendMsg(frame); err != nil {
					sent <- err
					return
				}
			case <-ctx.Done():
				sent <- ctx.Err()
				return
			}
		}
	}()
	var err error
	select {
	case err = <-ends:
	case err = <-sent:
	case <-ctx.Done():
		err = ctx.Err()
	}
	l.cut()
	return err
}

var linkStream = grpc.StreamDesc{StreamName: "Link", ServerStreams: true, ClientStreams: true}

const linkMethod = "/threadglade.fleet.v1.Fleet/Link"

// listen serves links of keepers, routers and operators.
func (f *Fleet) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.server = grpc.NewServer(grpc.MaxRecvMsgSize(frameMost), grpc.MaxConcurrentStreams(4), grpc.MaxHeaderListSize(8<<10), grpc.ConnectionTimeout(helloWithin),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 2 * time.Second, PermitWithoutStream: true}))
	desc := linkStream
	desc.Handler = func(_ any, s grpc.ServerStream) error { return f.accept(s) }
	f.server.RegisterService(&grpc.ServiceDesc{ServiceName: "threadglade.fleet.v1.Fleet", HandlerType: (*any)(nil), Streams: []grpc.StreamDesc{desc}}, f)
	f.address = l.Addr().String()
	go f.server.Serve(l)
	return nil
}

// accept greets who has dialled and serves the link until it ends.
func (f *Fleet) accept(s grpc.ServerStream) error {
	if f.accepted.Add(1) > linksMost {
		f.accepted.Add(-1)
		f.refused("a link too many")
		return status.Error(codes.ResourceExhausted, "too many links")
	}
	defer f.accepted.Add(-1)
	first := make(chan error, 1)
	frame := &fleetpb.Frame{}
	go func() { first <- s.RecvMsg(frame) }()
	select {
	case err := <-first:
		if err != nil {
			f.refused(err.Error())
			return err
		}
	case <-time.After(helloWithin):
		f.refused("no hello in time")
		return status.Error(codes.DeadlineExceeded, "no hello in time")
	case <-f.stop:
		return status.Error(codes.Unavailable, "ending")
	}
	hello := frame.GetHello()
	if err := f.cfg.Terms.CheckHello(hello, f.voters); err != nil {
		f.refused(err.Error())
		return status.Error(codes.PermissionDenied, err.Error())
	}
	if err := s.SendMsg(f.hello()); err != nil {
		return err
	}
	ctx, cut := context.WithCancel(s.Context())
	defer cut()
	l := &link{id: f.number(), name: hello.Name, peer: hello.Voter != 0 && !hello.Talks, talks: hello.Talks && hello.Name != "", queue: make(chan *fleetpb.Frame, queueMost), cut: cut}
	err := f.pump(ctx, s, l, false)
	if s, bad := status.FromError(err); bad && s != nil {
		switch s.Code() {
		case codes.ResourceExhausted, codes.Internal, codes.InvalidArgument:
			f.refused(fmt.Sprintf("%s: %s", l.name, s.Message()))
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// refused counts what was not let in, and says so at most once a second.
func (f *Fleet) refused(why string) {
	f.count.Refused.Add(1)
	if now := time.Now().Unix(); f.said.Swap(now) != now {
		f.cfg.Log.Warn().Str("event", "fleet_refused").Str("why", why).Msgf("fleet: refused: %s", why)
	}
}

func (f *Fleet) number() fleet.Link { return fleet.Link(f.numbers.Add(1)) }

func (f *Fleet) hello() *fleetpb.Frame {
	h := &fleetpb.Hello{Fleet: f.cfg.Terms.Fleet, Name: f.cfg.Name, Version: fleet.LinkVersion, Least: fleet.MinLinkVersion, Process: f.process}
	if f.keeper != nil {
		h.Voter = f.voters[f.cfg.Name]
	}
	return &fleetpb.Frame{What: &fleetpb.Frame_Hello{Hello: h}}
}

// Dial opens a client connection to a keeper. Links carry no credentials of their own: the network between routers has to be protected.
func Dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(frameMost), grpc.MaxCallSendMsgSize(frameMost)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: dialAgain, Multiplier: 1.5, Jitter: 0.3, MaxDelay: dialLatest}, MinConnectTimeout: helloWithin}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}))
}

// open dials a stream and exchanges hellos.
func open(ctx context.Context, conn *grpc.ClientConn, hello *fleetpb.Frame) (grpc.ClientStream, *fleetpb.Hello, error) {
	s, err := conn.NewStream(ctx, &linkStream, linkMethod)
	if err != nil {
		return nil, nil, err
	}
	frame := &fleetpb.Frame{}
	if err = s.SendMsg(hello); err == nil || err == io.EOF {
		err = s.RecvMsg(frame)
	}
	if err == nil && frame.GetHello() == nil {
		err = errors.New("it does not begin with a hello")
	}
	return s, frame.GetHello(), err
}

// What a link that this process has dialled carries.
type carries int

const (
	asks  carries = iota // a router's, to a keeper
	rafts                // a keeper's, to another
	talks                // a router's, to a neighbour
)

// follow keeps a link open until the context ends.
func (f *Fleet) follow(until context.Context, name, addr string, what carries) {
	defer f.done.Done()
	conn, err := Dial(addr)
	if err != nil {
		f.cfg.Log.Error().Str("event", "fleet_link").Str("keeper", name).Msgf("fleet: %s: %v", name, err)
		return
	}
	defer conn.Close()
	pause := dialAgain
	told := ""
	for until.Err() == nil {
		ctx, cut := context.WithCancel(until)
		hurry := time.AfterFunc(helloWithin, cut)
		hello := f.hello()
		if what != rafts {
			hello.GetHello().Voter = 0
		}
		hello.GetHello().Talks = what == talks
		s, other, err := open(ctx, conn, hello)
		in := hurry.Stop()
		if err == nil && in {
			if other.Name != name {
				err = fmt.Errorf("%s answers at the address of %s", other.Name, name)
			} else {
				err = f.cfg.Terms.CheckHello(other, f.voters)
			}
		}
		if err == nil && in {
			pause, told = dialAgain, ""
			f.pump(ctx, s, &link{id: f.number(), name: name, peer: what == rafts, talks: what == talks, queue: make(chan *fleetpb.Frame, queueMost), cut: cut}, true)
		} else if code := status.Code(err); (code == codes.PermissionDenied || code == codes.Unknown) && err != nil && told != err.Error() {
			told = err.Error()
			f.cfg.Log.Warn().Str("event", "fleet_refused_by").Str("keeper", name).Msgf("fleet: %s: %v", name, err)
		}
		cut()
		select {
		case <-until.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(pause*3/2, dialLatest)
	}
}

// operate opens a link as an operator, says one thing and waits for what pick takes.
func operate(ctx context.Context, fleetName, addr string, say *fleetpb.Frame, pick func(*fleetpb.Frame) bool) error {
	conn, err := Dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cut := context.WithCancel(ctx)
	defer cut()
	s, _, err := open(ctx, conn, &fleetpb.Frame{What: &fleetpb.Frame_Hello{Hello: &fleetpb.Hello{Fleet: fleetName, Version: fleet.LinkVersion, Least: fleet.MinLinkVersion}}})
	if err == nil {
		err = s.SendMsg(say)
	}
	for err == nil {
		frame := &fleetpb.Frame{}
		if err = s.RecvMsg(frame); err == nil && pick(frame) {
			return nil
		}
	}
	return err
}

// Inquire asks a keeper how the fleet stands, or a router what it knows, of a call too, as an operator.
func Inquire(ctx context.Context, fleetName, addr, find string) (*fleetpb.Report, error) {
	return inquire(ctx, fleetName, addr, &fleetpb.Inquiry{Seq: 1, Find: find})
}

// Evacuate has a router pass on the calls that stand, as an operator wants; its report says how far it is.
func Evacuate(ctx context.Context, fleetName, addr string) (*fleetpb.Report, error) {
	return inquire(ctx, fleetName, addr, &fleetpb.Inquiry{Seq: 1, Evacuate: true})
}

func inquire(ctx context.Context, fleetName, addr string, q *fleetpb.Inquiry) (r *fleetpb.Report, err error) {
	err = operate(ctx, fleetName, addr, &fleetpb.Frame{What: &fleetpb.Frame_Inquiry{Inquiry: q}}, func(f *fleetpb.Frame) bool {
		r = f.GetReport()
		return r != nil
	})
	return r, err
}

// Tell writes a fact as an operator's word, by the keeper that leads; version 0: it was refused, since another came first or the keeper does not lead.
func Tell(ctx context.Context, fleetName, addr string, p *fleetpb.Put) (version uint64, err error) {
	err = operate(ctx, fleetName, addr, &fleetpb.Frame{What: &fleetpb.Frame_Ask{Ask: &fleetpb.Ask{Seq: 1, Put: p}}}, func(f *fleetpb.Frame) bool {
		if a := f.GetAnswer(); a != nil {
			version = a.Result
			return true
		}
		return false
	})
	return version, err
}

// Counters of a fleet's links.
type counters struct{ Sent, Received, Refused, Dropped, Missed, Raft atomic.Uint64 }
