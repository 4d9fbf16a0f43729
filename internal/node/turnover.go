package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/handover"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/lifecycle"
)

// This file owns how one process takes another's place: it joins the state machines of both sides (lifecycle) with the socket between them
// (handover), the listeners, the SIP front and the end of the process. It must never keep two processes deciding for callers at once
// where they can speak to each other, or keep one from serving where they cannot.

const (
	// frameTake asks the successor to take over; it says how many calls stand here. frameTaken is its word that it accepts callers.
	frameTake  = sip.FirstOwnerFrame
	frameTaken = sip.FirstOwnerFrame + 1
	// busyEvery is how often a process asks again that has found another one about to take over.
	busyEvery = 100 * time.Millisecond
	// reachWithin is how long a process that stands by may take to hear from all case servers before it says that it could serve.
	reachWithin = time.Second
	// lingerAfter the longest deadline a process that has handed its callers over ends, whatever still stands there.
	lingerAfter = time.Second
)

// turnover is a node's part in changes of the process.
type turnover struct {
	path      string // of the socket; empty: off
	door      *handover.Listener
	elder     lifecycle.OldProcess // this process, as one that is followed
	successor lifecycle.NewProcess // and as one that follows
	next      *handover.Link       // to the process that takes this one's place; nil: none stands by
	last      *handover.Link       // to the one whose place this takes; nil: there is none, any more
	since     time.Duration        // when the callers were handed over
	began     time.Duration        // when this process began to stand by
	count     turnCounters
}

// turnCounters count changes of the process.
type turnCounters struct{ Refused, Taken, Handed, Lost, Malformed uint64 }

func (t *turnover) counters() turnCounters { return t.count }

// ask looks for a process that serves and has this one stand by: its listening socket, or -1.
func (n *Node) ask() (listen int, err error) {
	c := n.config
	if c.Handover == "" {
		return -1, nil
	}
	n.turn.path = handover.Path(c.Handover, c.Name)
	for first := true; ; first = false {
		link, listen, err := handover.Connect(n.turn.path)
		switch {
		case errors.Is(err, handover.ErrBusy):
			if first {
				n.log.Warn().Str("event", "handover_busy").Msg("another process is about to take over; waiting until it has or has gone")
			}
			time.Sleep(busyEvery)
			continue
		case err != nil:
			n.log.Warn().Str("event", "handover_ignored").Msgf("%v: left alone, callers are served beside it", err)
			return -1, nil
		case link == nil:
			return -1, nil
		}
		if c.Product.Ledger != nil {
			link.Close()
			unix.Close(listen)
			return -1, errors.New("ledger: another process of this router keeps it; two cannot write one ledger, so end that one first")
		}
		n.turn.last, n.turn.began = link, n.clock()
		n.turn.successor.StandBy()
		return listen, nil
	}
}

// open listens for callers: on the socket that was passed on, without taking anybody yet, or on one of its own.
func (n *Node) open(inherited int) (err error) {
	c, t := n.config, &n.turn
	switch {
	case t.path == "":
		n.listen, err = n.Loop.Listen(c.Listen, n.front.Accept)
		return err
	case inherited < 0:
		if n.listen, err = n.Loop.ListenShared(c.Listen, n.front.Accept); err == nil {
			n.invite()
		}
		return err
	}
	if n.listen, err = n.Loop.ListenFD(inherited, n.front.Accept); err != nil {
		return err
	}
	if at := n.listen.Addr(); at != c.Listen && c.Listen.Port() != 0 {
		return fmt.Errorf("handover: the process that serves listens on %s, not on %s", at, c.Listen)
	}
	n.listen.SetPaused(true)
	n.log.Info().Str("event", "standby").Stringer("address", n.listen.Addr()).Msgf("standing by for the process that serves on %s", n.listen.Addr())
	return t.last.Serve(n.Loop, n.fromElder, n.elderGone)
}

// invite lets a further process ask to stand by.
func (n *Node) invite() {
	t := &n.turn
	if t.door != nil {
		return
	}
	var err error
	t.door, err = handover.Listen(n.Loop, t.path, n.listen.Descriptor, n.welcome, func(err error) {
		t.count.Refused++
		n.log.Warn().Str("event", "handover_refused").Msg(err.Error())
	})
	if err != nil { // a hand-over is a comfort: without it callers are served all the same
		n.log.Warn().Str("event", "handover_off").Msgf("%v: a new version will not be handed the callers", err)
	}
}

// orphan hears a server's release of a call that this process does not know.
func (n *Node) orphan(id string, how threadglade.Outcome) {
	if n.fleet != nil && n.fleet.Works() && !n.fleet.Heard(id, uint8(how), false) {
		return // whose call it is hears of it, and tells its caller
	}
	if !n.turn.successor.InStandby() { // else it is of the elder's, which hears it, too
		n.front.ReleaseToCaller(id, how)
	}
}

// stray hears a caller's release of a call that this process does not know.
func (n *Node) stray(id string) {
	if n.turn.last == nil || !sip.ForwardCallerRelease(n.turn.last, id) {
		n.trunk.ReleaseAtAllServers(id)
	}
	if n.fleet != nil && n.fleet.Works() {
		n.fleet.Heard(id, uint8(threadglade.Cancelled), true)
	}
}

// ---- as the one that is followed ----

func (n *Node) welcome(k *handover.Link) bool {
	t := &n.turn
	if t.successor.InStandby() || n.life.State() == lifecycle.Ending || !t.elder.AcceptSuccessor() {
		return false
	}
	t.next = k
	k.SetHandlers(n.fromSuccessor, func(err error) {
		t.next = nil
		t.count.Lost++
		n.log.Warn().Str("event", "handover_lost").Bool("handed", t.elder.HandedOver()).Msgf("the process that stood by has gone: %v", err)
		if !t.elder.HandedOver() {
			t.elder.SuccessorLost()
			n.life.SetSuccessor(false)
		}
		n.front.SuccessorLost()
	})
	n.log.Info().Str("event", "handover_ready").Msg("another process stands by to take over")
	return true
}

// handOver asks the process that stands by to take over.
func (n *Node) handOver() {
	t := &n.turn
	if t.next == nil || !t.elder.RequestTakeover(n.clock()) {
		return
	}
	n.life.SetSuccessor(true)
	t.next.Send(frameTake, binary.BigEndian.AppendUint32(nil, uint32(n.Router.Counters().Calls)), -1, false)
	var look func()
	look = func() {
		switch {
		case t.elder.HandedOver() || t.next == nil:
		case t.elder.AwaitingTakeover(n.clock()):
			n.Router.Schedule(n.clock()+20*time.Millisecond, look)
		default:
			n.log.Warn().Str("event", "handover_late").Msg("the process that stands by does not take over in time: ending without it")
			n.life.SetSuccessor(false)
		}
	}
	look()
}

func (n *Node) fromSuccessor(kind byte, payload []byte, fd int) {
	t := &n.turn
	if fd >= 0 {
		unix.Close(fd)
	}
	switch {
	case kind == frameTaken:
		if !t.elder.ConfirmTakeover(n.clock()) {
			return
		}
		t.count.Handed++
		t.since = n.clock()
		n.listen.Close()
		if n.other != nil {
			n.other.Close()
		}
		if t.door != nil {
			t.door.Close()
		}
		if n.fleet != nil {
			n.fleet.Yield()
		}
		n.front.HandOver(t.next)
		n.log.Info().Str("event", "handed_over").Int("open", n.Router.OpenRequests()).Msgf("callers handed over: %d requests are still answered from here", n.Router.OpenRequests())
	case fd < 0 && n.front.HandleSuccessorFrame(kind, payload):
	default:
		t.count.Malformed++
	}
}

// handed says whether a process that has handed its callers over may end: nothing is left here, or it has had its time.
func (n *Node) handed() bool {
	var longest time.Duration
	for _, class := range n.config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	unsent := n.turn.next != nil && n.turn.next.Unsent() > 0
	return n.Router.Counters().Calls == 0 && !unsent || n.clock() >= n.turn.since+longest+lingerAfter
}

// ---- as the one that follows ----

func (n *Node) fromElder(kind byte, payload []byte, fd int) {
	t := &n.turn
	switch {
	case kind == frameTake && fd < 0 && len(payload) == 4:
		n.Router.AllowForeignReleases(int(min(binary.BigEndian.Uint32(payload), 1<<20)))
		n.take("asked to")
		t.last.Send(frameTaken, nil, -1, false)
	case n.front.HandleOldProcessFrame(n.Loop, kind, payload, fd, t.last):
	default:
		if fd >= 0 {
			unix.Close(fd)
		}
		t.count.Malformed++
	}
}

// take begins to serve callers.
func (n *Node) take(why string) {
	if !n.turn.successor.TakeOver() {
		return
	}
	n.turn.count.Taken++
	n.listen.SetPaused(false)
	if n.other != nil {
		n.other.SetPaused(false)
	}
	n.invite()
	n.log.Info().Str("event", "taken_over").Msgf("%s: serving callers in the place of the process before", why)
}

func (n *Node) elderGone(err error) {
	n.turn.last = nil
	if n.turn.successor.OldProcessLost() {
		n.take("the process before has gone")
	}
	n.front.OldProcessLost()
	n.trunk.Reconnect()
	if !errors.Is(err, loop.ErrEOF) {
		n.log.Warn().Str("event", "handover_broken").Msgf("the process before is not to be heard any more: %v", err)
	}
}
