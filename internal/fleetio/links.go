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
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
)

// A link is one gRPC stream from the process that dialled to a keeper or a router. Frames go both ways; each side
// sends a hello first. A link whose receiver doesn't keep up is closed, so that senders never block.

const (
	maxFrameBytes    = 4 << 20  // per message; a larger one ends its link
	maxQueuedFrames  = 1024     // frames queued for one link
	maxQueuedEvents  = 4096     // events queued for the core
	maxQueuedBytes   = 16 << 20 // of the frames queued for the core
	maxAcceptedLinks = 8192     // accepted links open at a time, and connections of a process without a limit of its own
	helloTimeout     = 2 * time.Second
	minDialDelay     = 100 * time.Millisecond // before a link is dialled again; grows to maxDialDelay
	maxDialDelay     = time.Second
)

// link is one open stream between two processes.
type link struct {
	id             fleet.Link
	name           string // of the other process; empty: an operator's
	betweenKeepers bool
	betweenRouters bool
	queue          chan *fleetpb.Frame // to be sent
	cancel         context.CancelFunc  // ends the link
}

// linkEvent is a frame of a link, or the opening or end of a link, queued for the core.
type linkEvent struct {
	link    *link
	frame   *fleetpb.Frame // nil: the link has opened or, if closed is set, ended
	closed  bool
	dialled bool  // by this process
	bytes   int64 // of the frame, acquired from the core's queue
}

// send queues a frame for a link's sending goroutine; a link whose queue is full is closed.
func (f *Fleet) send(l *link, frame *fleetpb.Frame) {
	select {
	case l.queue <- frame:
		f.count.Sent.Add(1)
	default:
		f.count.Dropped.Add(1)
		l.cancel()
	}
}

// enqueueEvent queues an event for the core. It blocks while the queue is full, which stops reading from the link. It
// returns false if the context or the fleet ended first.
func (f *Fleet) enqueueEvent(ctx context.Context, e linkEvent) bool {
	if e.frame != nil {
		e.bytes = int64(proto.Size(e.frame))
		if f.queuedBytes.Acquire(ctx, e.bytes) != nil {
			return false
		}
	}
	select {
	case f.inbox <- e:
		return true
	case <-ctx.Done():
	case <-f.stop:
	}
	f.queuedBytes.Release(e.bytes)
	return false
}

// stream is the client's or the server's side of a gRPC stream.
type stream interface {
	SendMsg(any) error
	RecvMsg(any) error
}

// serveLink queues the frames it receives for the core and sends the link's queued frames, until either direction or
// the context ends. It reports the link's opening and end to the core.
func (f *Fleet) serveLink(ctx context.Context, s stream, l *link, dialled bool) error {
	if !f.enqueueEvent(ctx, linkEvent{link: l, dialled: dialled}) {
		return context.Canceled
	}
	f.links.Store(l.id, l)
	defer func() {
		f.links.Delete(l.id)
		f.enqueueEvent(context.Background(), linkEvent{link: l, closed: true, dialled: dialled})
	}()
	received := make(chan error, 1)
	go func() {
		for {
			frame := &fleetpb.Frame{}
			if err := s.RecvMsg(frame); err != nil {
				received <- err
				return
			}
			f.count.Received.Add(1)
			if !f.enqueueEvent(ctx, linkEvent{link: l, frame: frame, dialled: dialled}) {
				received <- context.Canceled
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
	case err = <-received:
	case err = <-sent:
	case <-ctx.Done():
		err = ctx.Err()
	}
	l.cancel()
	return err
}

// linkStream describes the bidirectional stream of a link.
var linkStream = grpc.StreamDesc{StreamName: "Link", ServerStreams: true, ClientStreams: true}

const linkMethod = "/threadglade.fleet.v1.Fleet/Link"

// listen starts to serve links of keepers, routers and operators.
func (f *Fleet) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxFrameBytes), grpc.MaxConcurrentStreams(4),
		grpc.MaxHeaderListSize(8<<10), grpc.ConnectionTimeout(helloTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             2 * time.Second,
			PermitWithoutStream: true,
		}))
	desc := linkStream
	desc.Handler = func(_ any, s grpc.ServerStream) error { return f.acceptLink(s) }
	f.server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "threadglade.fleet.v1.Fleet",
		HandlerType: (*any)(nil),
		Streams:     []grpc.StreamDesc{desc},
	}, f)
	f.address = l.Addr().String()
	maxConns := maxAcceptedLinks
	if f.cfg.MaxConnections > 0 {
		maxConns = f.cfg.MaxConnections
	}
	f.listener = newLinkListener(l, maxConns, func(kind connKind) {
		f.count.Evicted.Add(1)
		f.countRefusal(fmt.Sprintf("a connection of kind %s was closed, to keep within the limits", kind))
	})
	go f.server.Serve(f.listener)
	return nil
}

// acceptLink exchanges hellos with the process that has dialled and serves the link until it ends.
func (f *Fleet) acceptLink(s grpc.ServerStream) error {
	if f.acceptedLinks.Add(1) > maxAcceptedLinks {
		f.acceptedLinks.Add(-1)
		f.countRefusal("too many links")
		return status.Error(codes.ResourceExhausted, "too many links")
	}
	defer f.acceptedLinks.Add(-1)
	first := make(chan error, 1)
	frame := &fleetpb.Frame{}
	go func() { first <- s.RecvMsg(frame) }()
	select {
	case err := <-first:
		if err != nil {
			f.countRefusal(err.Error())
			return err
		}
	case <-time.After(helloTimeout):
		f.countRefusal("no hello in time")
		return status.Error(codes.DeadlineExceeded, "no hello in time")
	case <-f.stop:
		return status.Error(codes.Unavailable, "ending")
	}
	hello := frame.GetHello()
	if err := f.cfg.Settings.CheckHello(hello, f.voters); err != nil {
		f.countRefusal(err.Error())
		return status.Error(codes.PermissionDenied, err.Error())
	}
	if err := f.admitLink(s, hello.Name); err != nil {
		f.countRefusal(err.Error())
		return status.Error(codes.PermissionDenied, err.Error())
	}
	if err := s.SendMsg(f.helloFrame()); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	l := &link{
		id:             f.nextLinkID(),
		name:           hello.Name,
		betweenKeepers: hello.Voter != 0 && !hello.Talks,
		betweenRouters: hello.Talks && hello.Name != "",
		queue:          make(chan *fleetpb.Frame, maxQueuedFrames),
		cancel:         cancel,
	}
	err := f.serveLink(ctx, s, l, false)
	if s, isStatus := status.FromError(err); isStatus && s != nil {
		switch s.Code() {
		case codes.ResourceExhausted, codes.Internal, codes.InvalidArgument:
			f.countRefusal(fmt.Sprintf("%s: %s", l.name, s.Message()))
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// admitLink tells the listener whose connection carries a link.
func (f *Fleet) admitLink(s grpc.ServerStream, name string) error {
	other, known := peer.FromContext(s.Context())
	if !known {
		return errors.New("a link without an address")
	}
	return f.listener.admit(other.Addr.String(), name)
}

// countRefusal counts a refused link or frame, and logs the reason at most once a second.
func (f *Fleet) countRefusal(reason string) {
	f.count.Refused.Add(1)
	if now := time.Now().Unix(); f.lastRefusalLog.Swap(now) != now {
		f.cfg.Log.Warn().Str("event", "fleet_refused").Str("why", reason).Msgf("fleet: refused: %s", reason)
	}
}

func (f *Fleet) nextLinkID() fleet.Link { return fleet.Link(f.lastLinkID.Add(1)) }

// helloFrame returns the first frame that this process sends on a link.
func (f *Fleet) helloFrame() *fleetpb.Frame {
	h := &fleetpb.Hello{
		Fleet:   f.cfg.Settings.Fleet,
		Name:    f.cfg.Name,
		Version: fleet.LinkVersion,
		Least:   fleet.MinLinkVersion,
		Process: f.process,
	}
	if f.keeper != nil {
		h.Voter = f.voters[f.cfg.Name]
	}
	return &fleetpb.Frame{What: &fleetpb.Frame_Hello{Hello: h}}
}

// Dial opens a client connection to a keeper or a router. Links are neither authenticated nor encrypted: the network
// between the processes of a fleet has to be protected.
func Dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxFrameBytes), grpc.MaxCallSendMsgSize(maxFrameBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minDialDelay,
				Multiplier: 1.5,
				Jitter:     0.3,
				MaxDelay:   maxDialDelay,
			},
			MinConnectTimeout: helloTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}))
}

// openStream opens a stream, exchanges hellos and returns that of the other side.
func openStream(
	ctx context.Context, conn *grpc.ClientConn, hello *fleetpb.Frame,
) (grpc.ClientStream, *fleetpb.Hello, error) {
	s, err := conn.NewStream(ctx, &linkStream, linkMethod)
	if err != nil {
		return nil, nil, err
	}
	frame := &fleetpb.Frame{}
	if err = s.SendMsg(hello); err == nil || err == io.EOF {
		err = s.RecvMsg(frame)
	}
	if err == nil && frame.GetHello() == nil {
		err = errors.New("the first frame is not a hello")
	}
	return s, frame.GetHello(), err
}

// linkPurpose is what a link that this process dials is for.
type linkPurpose int

const (
	routerToKeeper linkPurpose = iota // lease renewals
	keeperToKeeper                    // messages of the consensus
	routerToRouter                    // verdicts and replication of calls
)

// maintainLink keeps a link to a process open until the context ends: it dials again, with backoff and jitter, when
// the link has ended.
func (f *Fleet) maintainLink(parent context.Context, name, addr string, purpose linkPurpose) {
	defer f.goroutines.Done()
	conn, err := Dial(addr)
	if err != nil {
		f.cfg.Log.Error().Str("event", "fleet_link").Str("keeper", name).Msgf("fleet: cannot dial %s: %v", name, err)
		return
	}
	defer conn.Close()
	delay := minDialDelay
	lastRefusal := ""
	for parent.Err() == nil {
		ctx, cancel := context.WithCancel(parent)
		deadline := time.AfterFunc(helloTimeout, cancel)
		hello := f.helloFrame()
		if purpose != keeperToKeeper {
			hello.GetHello().Voter = 0
		}
		hello.GetHello().Talks = purpose == routerToRouter
		opened, other, err := openStream(ctx, conn, hello)
		inTime := deadline.Stop()
		if err == nil && inTime {
			if other.Name != name {
				err = fmt.Errorf("%s is listening at the address of %s", other.Name, name)
			} else {
				err = f.cfg.Settings.CheckHello(other, f.voters)
			}
		}
		if err == nil && inTime {
			delay, lastRefusal = minDialDelay, ""
			f.serveLink(ctx, opened, &link{
				id:             f.nextLinkID(),
				name:           name,
				betweenKeepers: purpose == keeperToKeeper,
				betweenRouters: purpose == routerToRouter,
				queue:          make(chan *fleetpb.Frame, maxQueuedFrames),
				cancel:         cancel,
			}, true)
		} else if code := status.Code(err); (code == codes.PermissionDenied || code == codes.Unknown) && err != nil &&
			lastRefusal != err.Error() {
			lastRefusal = err.Error()
			f.cfg.Log.Warn().Str("event", "fleet_refused_by").Str("keeper", name).
				Msgf("fleet: no link to %s: %v", name, err)
		}
		cancel()
		select {
		case <-parent.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(delay*3/2, maxDialDelay)
	}
}

// sendOperatorFrame opens a link as an operator, sends one frame and receives until accept returns true for a frame.
func sendOperatorFrame(
	ctx context.Context, fleetName, addr string, request *fleetpb.Frame, accept func(*fleetpb.Frame) bool,
) error {
	conn, err := Dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, _, err := openStream(ctx, conn, &fleetpb.Frame{What: &fleetpb.Frame_Hello{
		Hello: &fleetpb.Hello{Fleet: fleetName, Version: fleet.LinkVersion, Least: fleet.MinLinkVersion},
	}})
	if err == nil {
		err = s.SendMsg(request)
	}
	for err == nil {
		frame := &fleetpb.Frame{}
		if err = s.RecvMsg(frame); err == nil && accept(frame) {
			return nil
		}
	}
	return err
}

// Inquire requests the report of a keeper or a router, as an operator. If find is not empty, a router's report also
// has what it knows of that call.
func Inquire(ctx context.Context, fleetName, addr, find string) (*fleetpb.Report, error) {
	return inquire(ctx, fleetName, addr, &fleetpb.Inquiry{Seq: 1, Find: find})
}

// Evacuate requests, as an operator, that a router hand its established calls over to other routers. The report has
// the progress or the reason for a refusal.
func Evacuate(ctx context.Context, fleetName, addr string) (*fleetpb.Report, error) {
	return inquire(ctx, fleetName, addr, &fleetpb.Inquiry{Seq: 1, Evacuate: true})
}

// inquire sends an inquiry and returns the report that answers it.
func inquire(ctx context.Context, fleetName, addr string, q *fleetpb.Inquiry) (r *fleetpb.Report, err error) {
	err = sendOperatorFrame(ctx, fleetName, addr, &fleetpb.Frame{
		What: &fleetpb.Frame_Inquiry{Inquiry: q},
	}, func(f *fleetpb.Frame) bool {
		r = f.GetReport()
		return r != nil
	})
	return r, err
}

// PutFact writes a fact through the leading keeper, as an operator, and returns its version. Version 0 means that the
// write was refused because the fact has changed in the meantime or the keeper doesn't lead.
func PutFact(ctx context.Context, fleetName, addr string, p *fleetpb.Put) (version uint64, err error) {
	err = sendOperatorFrame(ctx, fleetName, addr, &fleetpb.Frame{
		What: &fleetpb.Frame_Ask{Ask: &fleetpb.Ask{Seq: 1, Put: p}},
	}, func(f *fleetpb.Frame) bool {
		if a := f.GetAnswer(); a != nil {
			version = a.Result
			return true
		}
		return false
	})
	return version, err
}

// counters counts frames and refusals on the links, connections closed because of a bound, and notes and grants that the
// loop missed.
type counters struct{ Sent, Received, Refused, Evicted, Dropped, Missed, Raft atomic.Uint64 }
