package drill

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Observation is one beacon that the observer received.
type Observation struct {
	At          time.Duration `json:"at"`           // arrival, since the observer's start
	Kind        string        `json:"what"`         // act, lead or lost
	Name        string        `json:"who"`          // name of the sender
	LostName    string        `json:"of,omitempty"` // name of the lost router
	Incarnation uint64        `json:"incarnation,omitempty"`
	Process     uint64        `json:"process,omitempty"`
	Term        uint64        `json:"term,omitempty"`
}

// observer receives the beacons of all processes over UDP and keeps them in the order of their arrival. Its methods
// may be called concurrently.
type observer struct {
	conn         *net.UDPConn
	start        time.Time
	mu           sync.Mutex
	observations []Observation
	malformed    int    // datagrams that could not be parsed
	lastLeader   string // keeper that last reported that it leads
}

func newObserver(start time.Time) (*observer, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	c.SetReadBuffer(4 << 20)
	o := &observer{conn: c, start: start}
	go o.listen()
	return o, nil
}

func (o *observer) listen() {
	b := make([]byte, 512)
	for {
		n, _, err := o.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		o.record(time.Since(o.start), string(b[:n]))
	}
}

func (o *observer) record(at time.Duration, text string) {
	observation := Observation{At: at}
	observation.Kind, _, _ = strings.Cut(text, " ")
	var err error
	var number uint64
	switch observation.Kind {
	case "act":
		_, err = fmt.Sscanf(text, "act %s %d %d %d",
			&observation.Name, &observation.Incarnation, &observation.Process, &number)
	case "lead":
		_, err = fmt.Sscanf(text, "lead %s %d", &observation.Name, &observation.Term)
	case "lost":
		_, err = fmt.Sscanf(text, "lost %s %s %d", &observation.Name, &observation.LostName, &observation.Incarnation)
	default:
		err = fmt.Errorf("%q", text)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.malformed++
		return
	}
	if observation.Kind == "lead" {
		o.lastLeader = observation.Name
	}
	o.observations = append(o.observations, observation)
}

func (o *observer) leader() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastLeader
}

func (o *observer) allObservations() []Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Observation(nil), o.observations...)
}
