// Package registry follows the list of case servers: it reads the list that the configuration holds and then asks
// the name service over UDP, with a DNS parser of its own. It owns the order of what it hears. It must never
// decide anything about a server, wait for an answer, or trust a length or a pointer that it was sent.
package registry

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/router"
)

const (
	// pollEvery is how often the list is asked for on average, and so also when a lost query is sent again. Each wait differs by up to pollSpread of
	// it: routers that have started together, or lost their name service together, do not ask in step.
	pollEvery  = 150 * time.Millisecond
	pollSpread = 0.2
	// staleAfter is the number of queries without an answer that is worth a line in the log.
	staleAfter = 20
	service    = "_data._tcp.farm.lan"
)

// Known is the list that the configuration holds.
type Known struct {
	Cursor uint32 `json:"cursor"`
	Events []struct {
		Nodes struct {
			Complete bool `json:"complete"`
			Members  []struct {
				ID      string `json:"id"`
				Addr    string `json:"host_port"`
				Cell    int    `json:"cell"`
				Phase   string `json:"phase"`
				Started int64  `json:"up_since_ms"`
			} `json:"members"`
		} `json:"nodes"`
	} `json:"cmds"`
}

var phases = map[string]threadglade.ServerState{
	"in_service": threadglade.Up, "terminating": threadglade.Draining, "terminated": threadglade.Removed,
}

// ReadKnown reads the list that the configuration holds.
func ReadKnown(raw json.RawMessage) (cursor uint32, servers []sip.Server, err error) {
	var k Known
	if err := json.Unmarshal(raw, &k); err != nil {
		return 0, nil, err
	}
	at := map[string]int{}
	for _, e := range k.Events {
		if e.Nodes.Complete {
			servers, at = nil, map[string]int{}
		}
		for _, m := range e.Nodes.Members {
			state, ok := phases[m.Phase]
			if !ok {
				return 0, nil, fmt.Errorf("server %s: unknown phase %q", m.ID, m.Phase)
			}
			addr, err := netip.ParseAddrPort(m.Addr)
			if err != nil {
				return 0, nil, fmt.Errorf("server %s: %w", m.ID, err)
			}
			s := sip.Server{Addr: addr, Server: threadglade.Server{ID: m.ID, Number: m.Cell, State: state,
				Started: time.Duration(m.Started) * time.Millisecond}}
			if i, known := at[m.ID]; known {
				servers[i] = s
			} else {
				at[m.ID] = len(servers)
				servers = append(servers, s)
			}
		}
	}
	return k.Cursor, servers, nil
}

// Client asks the name service.
type Client struct {
	loop    *loop.Loop
	peer    netip.AddrPort
	clock   router.Clock
	at      func(time.Duration, func())
	draw    func() float64
	log     zerolog.Logger
	changed func(uint32, []sip.Server)
	socket  *loop.UDPSocket
	serial  uint32
	id      uint16
	waiting int    // queries since the last answer
	old     uint32 // serial of the latest answer that was older than what is known
	count   Counters
}

// Counters count queries and answers.
type Counters struct{ Queries, Answers, Changes, Malformed, Old uint64 }

// Follow asks for the list from now on; changed gets the serial and the whole list whenever it has grown past cursor. draw gives random numbers from 0 to 1.
func Follow(l *loop.Loop, resolver netip.AddrPort, cursor uint32, clock router.Clock,
	at func(time.Duration, func()), draw func() float64, log zerolog.Logger, changed func(uint32, []sip.Server)) (*Client, error) {
	c := &Client{loop: l, clock: clock, at: at, draw: draw, log: log, changed: changed, serial: cursor, id: uint16(clock() >> 10)}
	if err := c.Move(resolver); err != nil {
		return nil, err
	}
	c.poll()
	return c, nil
}

// Move asks another name service from now on, at once. The serials go on: an older list is still refused, and
// what the old service may yet answer is not heard any more.
func (c *Client) Move(resolver netip.AddrPort) error {
	if c.socket != nil && resolver == c.peer {
		return nil
	}
	socket, err := c.loop.DialUDP(resolver, c.take)
	if err != nil {
		return fmt.Errorf("name service: %w", err)
	}
	moved := c.socket != nil
	if moved {
		c.socket.Close()
	}
	c.socket, c.peer = socket, resolver
	if moved {
		c.ask()
	}
	return nil
}

// Known takes a list that came by another way than an answer, if it is newer than what is known.
func (c *Client) Known(serial uint32, servers []sip.Server) {
	if int32(serial-c.serial) > 0 {
		c.serial = serial
		c.count.Changes++
		c.changed(serial, servers)
	}
}

// Counters returns a copy.
func (c *Client) Counters() Counters { return c.count }

func (c *Client) poll() {
	c.ask()
	c.at(c.clock()+time.Duration((1+pollSpread*(2*c.draw()-1))*float64(pollEvery)), c.poll)
}

func (c *Client) ask() {
	c.id++
	c.count.Queries++
	if c.waiting++; c.waiting == staleAfter {
		c.log.Warn().Str("event", "names_stale").Msgf("name service: no answer to %d queries", staleAfter)
	}
	c.socket.Send(query(c.id))
}

func (c *Client) take(b []byte) {
	if len(b) < 2 || c.id-binary.BigEndian.Uint16(b) > staleAfter {
		c.count.Malformed++
		return
	}
	serial, servers, err := parse(b)
	if err != nil {
		c.count.Malformed++
		c.log.Warn().Str("event", "names_malformed").Msgf("name service: %v", err)
		return
	}
	c.count.Answers++
	c.waiting = 0
	if int32(serial-c.serial) <= 0 {
		if serial != c.serial {
			c.count.Old++
			if c.old != serial {
				c.log.Warn().Str("event", "names_old").Uint32("list", serial).Uint32("known", c.serial).
					Msgf("name service: list %d came after %d, not taken", serial, c.serial)
			}
			c.old = serial
		}
		return
	}
	c.Known(serial, servers)
}

// ---- DNS ----

const (
	typeA   = 1
	typeSOA = 6
	typeTXT = 16
	typeSRV = 33
)

func query(id uint16) []byte {
	b := binary.BigEndian.AppendUint16(nil, id)
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(service, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, typeSRV, 0, 1)
}

var errShort = errors.New("answer cut short")

// reader walks over an answer.
type reader struct {
	b  []byte
	at int
}

func (r *reader) uint16() (uint16, error) {
	if r.at+2 > len(r.b) {
		return 0, errShort
	}
	r.at += 2
	return binary.BigEndian.Uint16(r.b[r.at-2:]), nil
}

// name reads a name, which may be compressed, in lower case.
func (r *reader) name() (string, error) {
	name, after, err := nameAt(r.b, r.at)
	r.at = after
	return name, err
}

func nameAt(b []byte, at int) (name string, after int, err error) {
	var text strings.Builder
	after = -1
	for limit := at; ; {
		if at >= len(b) {
			return "", len(b), errShort
		}
		switch n := int(b[at]); {
		case n == 0:
			if after < 0 {
				after = at + 1
			}
			return strings.ToLower(text.String()), after, nil
		case n >= 0xc0:
			if at+2 > len(b) {
				return "", len(b), errShort
			}
			to := int(binary.BigEndian.Uint16(b[at:]) & 0x3fff)
			if to >= limit { // only ever backwards, so that there is an end
				return "", len(b), errors.New("name points forward")
			}
			if after < 0 {
				after = at + 2
			}
			at, limit = to, to
		case n > 63 || at+1+n > len(b) || text.Len()+n > 255:
			return "", len(b), errors.New("malformed name")
		default:
			if text.Len() > 0 {
				text.WriteByte('.')
			}
			text.Write(b[at+1 : at+1+n])
			at += 1 + n
		}
	}
}

// parse reads a whole answer.
func parse(b []byte) (serial uint32, servers []sip.Server, err error) {
	if len(b) < 12 {
		return 0, nil, errShort
	}
	flags := binary.BigEndian.Uint16(b[2:])
	switch {
	case flags&0x8000 == 0:
		return 0, nil, errors.New("not an answer")
	case flags&0x0200 != 0:
		return 0, nil, errors.New("answer is truncated")
	case flags&15 != 0:
		return 0, nil, fmt.Errorf("answer code %d", flags&15)
	}
	questions := int(binary.BigEndian.Uint16(b[4:]))
	records := int(binary.BigEndian.Uint16(b[6:])) + int(binary.BigEndian.Uint16(b[8:])) +
		int(binary.BigEndian.Uint16(b[10:]))
	r := &reader{b, 12}
	asked, err := r.name()
	if err != nil || questions != 1 || asked != service || r.at+4 > len(b) || binary.BigEndian.Uint32(b[r.at:]) != typeSRV<<16|1 {
		return 0, nil, errors.New("answer to another question")
	}
	r.at += 4
	type target struct {
		name     string
		port     uint16
		priority uint16
	}
	var targets []target
	addrs, texts := map[string]netip.Addr{}, map[string]map[string]string{}
	told := false
	for range records {
		owner, err := r.name()
		if err != nil {
			return 0, nil, err
		}
		kind, err := r.uint16()
		if err != nil {
			return 0, nil, err
		}
		r.at += 6 // class and time to live
		size, err := r.uint16()
		if err != nil || r.at+int(size) > len(b) {
			return 0, nil, errShort
		}
		start, data := r.at, b[r.at:r.at+int(size)]
		r.at += int(size)
		switch kind {
		case typeSRV:
			if len(data) < 7 {
				return 0, nil, errShort
			}
			name, _, err := nameAt(b, start+6)
			if err != nil {
				return 0, nil, err
			}
			if owner == service {
				targets = append(targets, target{name, binary.BigEndian.Uint16(data[4:]), binary.BigEndian.Uint16(data)})
			}
		case typeA:
			if len(data) != 4 {
				return 0, nil, errors.New("malformed address")
			}
			addrs[owner] = netip.AddrFrom4([4]byte(data))
		case typeTXT:
			texts[owner] = pairs(data)
		case typeSOA:
			_, at, err := nameAt(b, start)
			if err == nil {
				_, at, err = nameAt(b, at)
			}
			if err != nil || at+4 > len(b) {
				return 0, nil, errShort
			}
			serial, told = binary.BigEndian.Uint32(b[at:]), true
		}
	}
	if !told {
		return 0, nil, errors.New("answer without a serial")
	}
	for _, t := range targets {
		s, err := server(t.name, t.port, t.priority, addrs, texts)
		if err != nil {
			return 0, nil, err
		}
		servers = append(servers, s)
	}
	return serial, servers, nil
}

func server(name string, port, priority uint16, addrs map[string]netip.Addr, texts map[string]map[string]string) (sip.Server, error) {
	addr, known := addrs[name]
	if !known {
		return sip.Server{}, fmt.Errorf("no address of %s", name)
	}
	id, _, _ := strings.Cut(name, ".")
	cell, err := strconv.Atoi(texts[name]["cell"])
	if err != nil {
		return sip.Server{}, fmt.Errorf("cell of %s: %w", name, err)
	}
	s := sip.Server{Addr: netip.AddrPortFrom(addr, port), Server: threadglade.Server{ID: id, Number: cell}}
	if started := texts[name]["started"]; started != "" {
		ms, err := strconv.ParseInt(started, 10, 64)
		if err != nil {
			return sip.Server{}, fmt.Errorf("start of %s: %w", name, err)
		}
		s.Started = time.Duration(ms) * time.Millisecond
	}
	if priority != 0 {
		s.State = threadglade.Draining
	}
	return s, nil
}

// pairs reads the strings of a TXT record as names and values.
func pairs(data []byte) map[string]string {
	found := map[string]string{}
	for len(data) > 0 && 1+int(data[0]) <= len(data) {
		one := data[1 : 1+int(data[0])]
		data = data[1+int(data[0]):]
		if name, value, ok := strings.Cut(string(one), "="); ok {
			found[name] = value
		}
	}
	return found
}
