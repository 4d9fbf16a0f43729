package node

import "time"

// This file ends a process in order: callers have time to switch to another router, what was taken is answered, and what
// was answered is passed on, before the process exits.

const (
	// minShutdownDelay is how long a router goes on accepting requests after Shutdown, so that callers can switch to
	// another one.
	minShutdownDelay = 750 * time.Millisecond
	// closeGracePeriod is how long the process keeps running after it has closed idle connections: a caller sends a
	// set-up again that crosses the close within 50 ms.
	closeGracePeriod = 60 * time.Millisecond
	// shutdownPollInterval is how often a process in shutdown checks whether it may exit.
	shutdownPollInterval = 20 * time.Millisecond
	// flushTimeout bounds the wait at shutdown for slow callers to read their answers.
	flushTimeout = 500 * time.Millisecond
	// releaseFlushTimeout bounds the wait at shutdown for connections to servers on which releases have to be sent. The
	// platform allows a release that much time.
	releaseFlushTimeout = time.Second
)

// shutdownPhase is a phase of a shutdown without a new process that takes over the callers.
type shutdownPhase int

const (
	acceptingCallers shutdownPhase = iota // callers switch to another router
	readingBacklog                        // what connections that were queued in the kernel have sent is read
	closingServers                        // releases on their way from servers are awaited
	closingCallers                        // callers notice that their idle connections have closed
	sendingReleases                       // releases that wait for a connection to their server are sent
)

// shutdown is the state of a shutdown.
type shutdown struct {
	node       *Node
	phase      shutdownPhase
	earliest   time.Duration // when the current phase may end
	answersBy  time.Duration // until when slow callers may read their answers
	releasesBy time.Duration // until when releases may be sent; valid in the phase sendingReleases
}

// Shutdown ends Run once no answers are pending, but not before callers have had time to switch to another router. If
// another process is in standby, it is asked to take over the callers.
func (n *Node) Shutdown() {
	n.log.Info().Str("event", "ending").Msgf("shutting down: %d open requests", n.Router.OpenRequests())
	n.process.End(n.clock())
	earliest := n.clock() + minShutdownDelay
	s := &shutdown{node: n, earliest: earliest, answersBy: earliest + flushTimeout}
	n.requestTakeover()
	s.poll()
}

// poll ends the event loop if the process may exit, and otherwise schedules itself again.
func (s *shutdown) poll() {
	n := s.node
	mayExit := false
	if n.handover.asOldProcess.HandedOver() {
		n.transfer.offerCalls()
		mayExit = n.mayExitAfterHandover()
	} else {
		mayExit = s.advance()
	}
	if !mayExit {
		n.Router.Schedule(n.clock()+shutdownPollInterval, s.poll)
		return
	}
	if lost := n.trunk.PendingReleases(); lost > 0 {
		n.log.Warn().Str("event", "releases_lost").Int("count", lost).
			Msgf("%d releases could not be sent: their servers are unreachable", lost)
	}
	if n.callControl != nil {
		n.callControl.Close()
	}
	n.Loop.Stop()
}

// advance moves on to the phase whose turn it is. It returns true once the process may exit.
func (s *shutdown) advance() (mayExit bool) {
	for s.isPhaseOver() {
		if s.phase == sendingReleases {
			return true
		}
		s.phase++
		s.enterPhase()
	}
	return false
}

// isPhaseOver reports whether the current phase has ended. No phase ends while requests are open.
func (s *shutdown) isPhaseOver() bool {
	n, now := s.node, s.node.clock()
	if n.Router.OpenRequests() > 0 {
		s.answersBy = max(s.answersBy, now+flushTimeout)
		return false
	}
	callersWait := n.front.HasUnsent() || n.front.HasUnread()
	if now < s.earliest || callersWait && now < s.answersBy {
		return false
	}
	switch s.phase {
	case closingServers:
		return !n.trunk.HalfClosing()
	case sendingReleases:
		isSending := n.trunk.PendingReleases() > 0 || n.trunk.HalfClosing()
		return !isSending || now >= s.releasesBy
	}
	return true
}

// enterPhase begins the current phase.
func (s *shutdown) enterPhase() {
	n, now := s.node, s.node.clock()
	switch s.phase {
	case readingBacklog:
		n.listener.DrainBacklog()
		n.listener.Close()
		s.earliest = now + shutdownPollInterval
	case closingServers:
		if n.handover.socketPath != "" { // another process may serve as well
			n.trunk.HalfCloseAll()
		}
	case closingCallers:
		n.process.BeginClosing()
		n.front.CloseIdle()
		s.earliest = now + closeGracePeriod
	case sendingReleases:
		n.Router.PassOnReleases()
		s.releasesBy = now + releaseFlushTimeout
	}
}
