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

// This file implements hot restart, in which a new process takes over the callers of the old one. It connects the
// state machines of both sides (package lifecycle) with the socket between them (package handover), the listeners,
// the SIP front and the shutdown. While the processes can communicate, only one of them decides for callers; when
// they can't, each of them serves.

const (
	// frameTakeOver asks the new process to take over; its payload is the number of calls at the old one.
	// frameTakenOver confirms that the new process accepts callers.
	frameTakeOver  = sip.FirstOwnerFrame
	frameTakenOver = sip.FirstOwnerFrame + 1
	// busyRetryInterval is the delay before a process asks again after it has found another one about to take over.
	busyRetryInterval = 100 * time.Millisecond
	// standbyReachTimeout bounds how long a process in standby waits for data from all case servers before it reports
	// itself ready.
	standbyReachTimeout = time.Second
	// lingerTimeout is how long after the longest deadline of a class a process that has handed its callers over
	// exits even if calls remain.
	lingerTimeout = time.Second
)

// handoverState is the state of a node's part in hot restarts, as the old and as the new process.
type handoverState struct {
	socketPath     string             // empty if hot restart is disabled
	listener       *handover.Listener // accepts new processes; nil until this one serves
	asOldProcess   lifecycle.OldProcess
	asNewProcess   lifecycle.NewProcess
	newProcessLink *handover.Link // to the process that replaces this one; nil if none is in standby
	oldProcessLink *handover.Link // to the process that this one replaces; nil if there is none or it has gone
	handedOverAt   time.Duration  // when the callers were handed over
	standbySince   time.Duration  // when this process entered standby
	count          handoverCounters
}

// handoverCounters count the events of hot restarts.
type handoverCounters struct {
	Refused   uint64 // connections refused at the handover socket
	Taken     uint64 // takeovers from an old process
	Handed    uint64 // handovers to a new process
	Lost      uint64 // new processes whose link was lost
	Malformed uint64 // frames of an unknown kind or form
}

func (t *handoverState) counters() handoverCounters { return t.count }

// requestStandby looks for a process that serves for this router and, if there is one, puts this process in standby.
// It returns the listening socket of the serving process, or -1 if there is none.
func (n *Node) requestStandby() (listenFD int, err error) {
	cfg := n.config
	if cfg.HandoverDir == "" {
		return -1, nil
	}
	n.handover.socketPath = handover.Path(cfg.HandoverDir, cfg.Name)
	for first := true; ; first = false {
		link, listenFD, err := handover.Connect(n.handover.socketPath)
		switch {
		case errors.Is(err, handover.ErrBusy):
			if first {
				n.log.Warn().Str("event", "handover_busy").
					Msg("another process is about to take over; waiting until it has done so or has exited")
			}
			time.Sleep(busyRetryInterval)
			continue
		case err != nil:
			n.log.Warn().Str("event", "handover_ignored").
				Msgf("%v: starting without a handover, in parallel with any process that still serves", err)
			return -1, nil
		case link == nil:
			return -1, nil
		}
		if cfg.Product.Ledger != nil {
			link.Close()
			unix.Close(listenFD)
			return -1, errors.New("ledger: another process of this router has it open; two processes cannot write one " +
				"ledger, so stop that one first")
		}
		n.handover.oldProcessLink, n.handover.standbySince = link, n.clock()
		n.handover.asNewProcess.StandBy()
		return listenFD, nil
	}
}

// openListener listens for callers: on the socket inherited from the old process, without accepting yet, or, if
// inherited is negative, on a socket of its own.
func (n *Node) openListener(inherited int) (err error) {
	cfg, t := n.config, &n.handover
	switch {
	case t.socketPath == "":
		n.listener, err = n.Loop.Listen(cfg.Listen, n.front.Accept)
		return err
	case inherited < 0:
		if n.listener, err = n.Loop.ListenShared(cfg.Listen, n.front.Accept); err == nil {
			n.listenForSuccessor()
		}
		return err
	}
	if n.listener, err = n.Loop.ListenFD(inherited, n.front.Accept); err != nil {
		return err
	}
	if addr := n.listener.Addr(); addr != cfg.Listen && cfg.Listen.Port() != 0 {
		return fmt.Errorf("handover: the serving process listens on %s, not on %s", addr, cfg.Listen)
	}
	n.listener.SetPaused(true)
	n.log.Info().Str("event", "standby").Stringer("address", n.listener.Addr()).
		Msgf("in standby for the process that serves on %s", n.listener.Addr())
	return t.oldProcessLink.Serve(n.Loop, n.onOldProcessFrame, n.onOldProcessGone)
}

// listenForSuccessor opens the socket at which a new process asks to stand by.
func (n *Node) listenForSuccessor() {
	t := &n.handover
	if t.listener != nil {
		return
	}
	var err error
	t.listener, err = handover.Listen(n.Loop, t.socketPath, n.listener.Descriptor, n.acceptSuccessor, func(err error) {
		t.count.Refused++
		n.log.Warn().Str("event", "handover_refused").Msg(err.Error())
	})
	if err != nil { // callers are served without hot restart too
		n.log.Warn().Str("event", "handover_off").
			Msgf("%v: hot restart is off, a new process cannot take over the callers", err)
	}
}

// onUnknownCallerRelease handles a caller's release of a call that this process doesn't know.
func (n *Node) onUnknownCallerRelease(id string) {
	if !n.releases.forwardCallerRelease(id) {
		n.trunk.ReleaseAtAllServers(id)
	}
	if n.fleet != nil && n.fleet.HasTakeover() {
		n.transfer.forget(id)
		n.fleet.ReceiveEnd(id, uint8(threadglade.Cancelled), true)
	}
}

// ---- the old process ----

// acceptSuccessor reports whether a new process may stand by, and serves its link if so.
func (n *Node) acceptSuccessor(link *handover.Link) bool {
	t := &n.handover
	if t.asNewProcess.InStandby() || n.process.State() == lifecycle.Ending || !t.asOldProcess.AcceptSuccessor() {
		return false
	}
	t.newProcessLink = link
	link.SetHandlers(n.onNewProcessFrame, func(err error) {
		t.newProcessLink = nil
		t.count.Lost++
		n.releases.linkLost(link)
		n.transfer.newProcessLost()
		n.log.Warn().Str("event", "handover_lost").Bool("handed", t.asOldProcess.HandedOver()).
			Msgf("lost the connection to the new process: %v", err)
		if !t.asOldProcess.HandedOver() {
			t.asOldProcess.SuccessorLost()
			n.process.SetSuccessor(false)
		}
		n.front.SuccessorLost()
		if n.callControl != nil {
			n.callControl.NewProcessLost()
		}
	})
	n.Loop.Post(n.sendUsedIDs) // after the link's own first frame
	n.log.Info().Str("event", "handover_ready").Msg("a new process is in standby and can take over")
	return true
}

// requestTakeover asks the process in standby to take over. If it doesn't in time, this one shuts down without it.
func (n *Node) requestTakeover() {
	t := &n.handover
	if t.newProcessLink == nil || !t.asOldProcess.RequestTakeover(n.clock()) {
		return
	}
	n.process.SetSuccessor(true)
	t.newProcessLink.Send(frameTakeOver, binary.BigEndian.AppendUint32(nil, uint32(n.Router.Counters().Calls)), -1, false)
	var poll func()
	poll = func() {
		switch {
		case t.asOldProcess.HandedOver() || t.newProcessLink == nil:
		case t.asOldProcess.AwaitingTakeover(n.clock()):
			n.Router.Schedule(n.clock()+20*time.Millisecond, poll)
		default:
			n.log.Warn().Str("event", "handover_late").
				Msg("the process in standby did not take over in time: shutting down without it")
			n.process.SetSuccessor(false)
		}
	}
	poll()
}

// onNewProcessFrame handles a frame from the new process. A descriptor is not expected and is closed.
func (n *Node) onNewProcessFrame(kind byte, payload []byte, fd int) {
	t := &n.handover
	if fd >= 0 {
		unix.Close(fd)
	}
	switch {
	case kind == frameTakenOver:
		if !t.asOldProcess.ConfirmTakeover(n.clock()) {
			return
		}
		t.count.Handed++
		t.handedOverAt = n.clock()
		n.process.HandedOver()
		n.listener.Close()
		if n.callControlListener != nil {
			n.callControlListener.DrainBacklog()
			n.callControlListener.Close()
		}
		if t.listener != nil {
			t.listener.Close()
		}
		if n.fleet != nil && !n.fleet.HasTakeover() {
			n.fleet.Leave()
		}
		n.front.HandOver(t.newProcessLink)
		if n.callControl != nil {
			n.callControl.HandOver(newProcessCalls{n})
		}
		n.log.Info().Str("event", "handed_over").Int("open", n.Router.OpenRequests()).
			Msgf("callers handed over: this process still answers %d open requests", n.Router.OpenRequests())
	case fd < 0 && (n.releases.handleFrame(t.newProcessLink, kind, payload) || n.transfer.handleNewProcessFrame(kind, payload) ||
		n.onUsedIDFrame(t.newProcessLink, kind, payload)):
	case fd < 0 && (n.onClientRequestFrame(kind, payload) || n.front.HandleSuccessorFrame(kind, payload)):
	default:
		t.count.Malformed++
	}
}

// mayExitAfterHandover reports whether a process that has handed its callers over may exit: it has no calls and
// nothing to send any more, and its own old process, whose answers and ends it passes on, has exited; or its time is
// over.
func (n *Node) mayExitAfterHandover() bool {
	var longestDeadline time.Duration
	for _, class := range n.config.Settings.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	counters := n.Router.Counters()
	isIdle := counters.Calls == 0 && counters.ReleasesWaiting == 0 && n.trunk.PendingReleases() == 0 &&
		n.handover.oldProcessLink == nil && n.releases.isIdle() && len(n.transfer.adopted) == 0 &&
		(n.fleet == nil || !n.fleet.HasTakeover() || n.fleet.EndsRecorded())
	isOver := n.clock() >= n.handover.handedOverAt+longestDeadline+lingerTimeout
	return (isIdle || isOver) && n.passOnOwed() || isOver
}

// ---- the new process ----

// onOldProcessFrame handles a frame from the old process. An unexpected descriptor is closed.
func (n *Node) onOldProcessFrame(kind byte, payload []byte, fd int) {
	t := &n.handover
	switch {
	case kind == frameTakeOver && fd < 0 && len(payload) == 4:
		n.Router.AllowReleasesOfOtherProcess(int(min(binary.BigEndian.Uint32(payload), 1<<20)))
		n.takeOver("takeover requested")
		t.oldProcessLink.Send(frameTakenOver, nil, -1, false)
	case fd < 0 && (n.onClientCallFrame(kind, payload) || n.releases.handleFrame(t.oldProcessLink, kind, payload) ||
		n.transfer.handleOldProcessFrame(kind, payload) || n.onUsedIDFrame(t.oldProcessLink, kind, payload)):
	case n.front.HandleOldProcessFrame(n.Loop, kind, payload, fd, t.oldProcessLink):
	default:
		if fd >= 0 {
			unix.Close(fd)
		}
		t.count.Malformed++
	}
}

// takeOver begins to serve callers in place of the old process.
func (n *Node) takeOver(why string) {
	if !n.handover.asNewProcess.TakeOver() {
		return
	}
	n.handover.count.Taken++
	n.listener.SetPaused(false)
	if n.callControlListener != nil {
		if err := n.callControlListener.Start(); err != nil {
			n.log.Error().Str("event", "callcontrol_off").Msgf("call control: %v: no client can connect", err)
		}
	}
	n.listenForSuccessor()
	n.log.Info().Str("event", "taken_over").Msgf("%s: serving callers in place of the old process", why)
}

// onOldProcessGone handles the loss of the link to the old process. A process still in standby takes over.
// Reconnecting to the case servers has them report again what the old process didn't acknowledge.
func (n *Node) onOldProcessGone(err error) {
	link := n.handover.oldProcessLink
	n.handover.oldProcessLink = nil
	if n.handover.asNewProcess.OldProcessLost() {
		n.takeOver("the old process has gone")
	}
	n.releases.linkLost(link)
	n.front.OldProcessLost()
	if n.callControl != nil {
		n.callControl.OldProcessLost()
	}
	n.trunk.Reconnect()
	if !errors.Is(err, loop.ErrEOF) {
		n.log.Warn().Str("event", "handover_broken").Msgf("lost the connection to the old process: %v", err)
	}
}
