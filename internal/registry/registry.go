// Package registry tracks the list of case servers: it reads the list in the configuration and then polls the name
// service with DNS queries over UDP, on the event loop and without blocking. Only lists with a newer serial are
// passed on. Lengths and compression pointers in answers are untrusted input.
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
	// pollInterval is the average interval between queries, and so also the retry delay of a lost one. Each interval
	// is jittered by up to the fraction pollJitter, so that routers which started together, or lost their name
	// service together, don't query in step.
	pollInterval = 150 * time.Millisecond
	pollJitter   = 0.2
	// maxUnansweredQueries is the number of consecutive queries without an answer after which a warning is logged. An
	// answer to a query that is followed by more than that many others is ignored.
	maxUnansweredQueries = 20
	serviceName          = "_data._tcp.farm.lan"
)

// KnownList is the list of case servers in the configuration, as events that apply in order.
type KnownList struct {
	Cursor uint32 `json:"cursor"` // serial of the list
	Events []struct {
		Nodes struct {
			Complete bool `json:"complete"` // the members replace all earlier ones
			Members  []struct {
				ID      string `json:"id"`
				Addr    string `json:"host_port"`
				Cell    int    `json:"cell"`
				Phase   string `json:"phase"`
				Started int64  `json:"up_since_ms"` // milliseconds; 0 if unknown
			} `json:"members"`
		} `json:"nodes"`
	} `json:"cmds"`
}

// stateByPhase maps the phases of the configuration to server states.
var stateByPhase = map[string]threadglade.ServerState{
	"in_service": threadglade.Up, "terminating": threadglade.Draining, "terminated": threadglade.Removed,
}

// ReadKnownList parses the list of case servers in the configuration and returns its serial and the servers.
func ReadKnownList(raw json.RawMessage) (cursor uint32, servers []sip.Server, err error) {
	var list KnownList
	if err := json.Unmarshal(raw, &list); err != nil {
		return 0, nil, err
	}
	indexByID := map[string]int{}
	for _, e := range list.Events {
		if e.Nodes.Complete {
			servers, indexByID = nil, map[string]int{}
		}
		for _, m := range e.Nodes.Members {
			state, ok := stateByPhase[m.Phase]
			if !ok {
				return 0, nil, fmt.Errorf("server %s: unknown phase %q", m.ID, m.Phase)
			}
			addr, err := netip.ParseAddrPort(m.Addr)
			if err != nil {
				return 0, nil, fmt.Errorf("server %s: %w", m.ID, err)
			}
			s := sip.Server{Addr: addr, Server: threadglade.Server{ID: m.ID, Number: m.Cell, State: state,
				Started: time.Duration(m.Started) * time.Millisecond}}
			if i, known := indexByID[m.ID]; known {
				servers[i] = s
			} else {
				indexByID[m.ID] = len(servers)
				servers = append(servers, s)
			}
		}
	}
	return list.Cursor, servers, nil
}

// Client polls the name service. All its methods and callbacks run on the event loop.
type Client struct {
	loop            *loop.Loop
	resolver        netip.AddrPort // the name service
	clock           router.Clock
	schedule        func(time.Duration, func()) // calls a function at a time
	random          func() float64              // from 0 to 1
	log             zerolog.Logger
	onChange        func(uint32, []sip.Server)
	socket          *loop.UDPSocket
	knownSerial     uint32 // of the newest list
	queryID         uint16 // of the last query
	unanswered      int    // queries since the last answer
	lastStaleSerial uint32 // serial of the last answer that was older than the list in use, to log it once
	count           Counters
}

// Counters count queries and answers.
type Counters struct {
	Queries   uint64
	Answers   uint64 // well-formed ones
	Changes   uint64 // newer lists
	Malformed uint64 // malformed or unexpected messages
	Old       uint64 // answers with a serial older than the list in use
}

// Watch returns a client that polls the name service from now on. It calls onChange with the serial and the whole
// list for each list newer than cursor. The function schedule calls its argument at a time of the clock, and random
// returns numbers from 0 to 1.
func Watch(eventLoop *loop.Loop, resolver netip.AddrPort, cursor uint32, clock router.Clock,
	schedule func(time.Duration, func()), random func() float64, log zerolog.Logger,
	onChange func(uint32, []sip.Server),
) (*Client, error) {
	c := &Client{
		loop:        eventLoop,
		clock:       clock,
		schedule:    schedule,
		random:      random,
		log:         log,
		onChange:    onChange,
		knownSerial: cursor,
		queryID:     uint16(clock() >> 10),
	}
	if err := c.SetResolver(resolver); err != nil {
		return nil, err
	}
	c.poll()
	return c, nil
}

// SetResolver switches to another name service and queries it at once. Serials continue, so an older list is still
// rejected, and late answers of the previous service are ignored.
func (c *Client) SetResolver(resolver netip.AddrPort) error {
	if c.socket != nil && resolver == c.resolver {
		return nil
	}
	socket, err := c.loop.DialUDP(resolver, c.handleAnswer)
	if err != nil {
		return fmt.Errorf("name service: %w", err)
	}
	replacing := c.socket != nil
	if replacing {
		c.socket.Close()
	}
	c.socket, c.resolver = socket, resolver
	if replacing {
		c.sendQuery()
	}
	return nil
}

// UpdateIfNewer takes a list from another source than the name service if it is newer than the list in use.
func (c *Client) UpdateIfNewer(serial uint32, servers []sip.Server) {
	if int32(serial-c.knownSerial) > 0 {
		c.knownSerial = serial
		c.count.Changes++
		c.onChange(serial, servers)
	}
}

// Counters returns a copy of the counters.
func (c *Client) Counters() Counters { return c.count }

// poll sends a query and schedules the next one.
func (c *Client) poll() {
	c.sendQuery()
	c.schedule(c.clock()+time.Duration((1+pollJitter*(2*c.random()-1))*float64(pollInterval)), c.poll)
}

// sendQuery sends a query, and logs once when too many are unanswered.
func (c *Client) sendQuery() {
	c.queryID++
	c.count.Queries++
	if c.unanswered++; c.unanswered == maxUnansweredQueries {
		c.log.Warn().Str("event", "names_stale").Msgf("name service: no answer to the last %d queries", maxUnansweredQueries)
	}
	c.socket.Send(encodeQuery(c.queryID))
}

// handleAnswer parses a datagram and passes its list on if it is newer than the list in use.
func (c *Client) handleAnswer(message []byte) {
	if len(message) < 2 || c.queryID-binary.BigEndian.Uint16(message) > maxUnansweredQueries {
		c.count.Malformed++
		return
	}
	serial, servers, err := parseAnswer(message)
	if err != nil {
		c.count.Malformed++
		c.log.Warn().Str("event", "names_malformed").Msgf("name service: answer ignored: %v", err)
		return
	}
	c.count.Answers++
	c.unanswered = 0
	if int32(serial-c.knownSerial) <= 0 {
		if serial != c.knownSerial {
			c.count.Old++
			if c.lastStaleSerial != serial {
				c.log.Warn().Str("event", "names_old").Uint32("list", serial).Uint32("known", c.knownSerial).
					Msgf("name service: list %d ignored, older than list %d", serial, c.knownSerial)
			}
			c.lastStaleSerial = serial
		}
		return
	}
	c.UpdateIfNewer(serial, servers)
}

// ---- DNS ----

// DNS record types, RFC 1035 and RFC 2782.
const (
	typeA   = 1
	typeSOA = 6
	typeTXT = 16
	typeSRV = 33
)

// encodeQuery encodes a query for the SRV records of the service.
func encodeQuery(id uint16) []byte {
	b := binary.BigEndian.AppendUint16(nil, id)
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(serviceName, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, typeSRV, 0, 1)
}

// errShort is returned for an answer that ends within a field.
var errShort = errors.New("answer ends within a field")

// messageReader reads the fields of an answer in order.
type messageReader struct {
	message []byte
	offset  int
}

// uint16 reads an integer in network byte order.
func (r *messageReader) uint16() (uint16, error) {
	if r.offset+2 > len(r.message) {
		return 0, errShort
	}
	r.offset += 2
	return binary.BigEndian.Uint16(r.message[r.offset-2:]), nil
}

// name reads a domain name, which may be compressed, and returns it in lower case.
func (r *messageReader) name() (string, error) {
	name, next, err := nameAt(r.message, r.offset)
	r.offset = next
	return name, err
}

// nameAt decodes the domain name at an offset, in lower case, and returns it with the offset after it.
func nameAt(message []byte, offset int) (name string, next int, err error) {
	var text strings.Builder
	next = -1
	for limit := offset; ; {
		if offset >= len(message) {
			return "", len(message), errShort
		}
		switch n := int(message[offset]); {
		case n == 0:
			if next < 0 {
				next = offset + 1
			}
			return strings.ToLower(text.String()), next, nil
		case n >= 0xc0:
			if offset+2 > len(message) {
				return "", len(message), errShort
			}
			target := int(binary.BigEndian.Uint16(message[offset:]) & 0x3fff)
			if target >= limit { // pointers must go backwards, so that the loop ends
				return "", len(message), errors.New("compression pointer points forward")
			}
			if next < 0 {
				next = offset + 2
			}
			offset, limit = target, target
		case n > 63 || offset+1+n > len(message) || text.Len()+n > 255:
			return "", len(message), errors.New("malformed name")
		default:
			if text.Len() > 0 {
				text.WriteByte('.')
			}
			text.Write(message[offset+1 : offset+1+n])
			offset += 1 + n
		}
	}
}

// parseAnswer parses a whole answer: the serial of its SOA record, and the servers of its SRV, A and TXT records.
// Priorities other than 0 mark draining servers.
func parseAnswer(message []byte) (serial uint32, servers []sip.Server, err error) {
	if len(message) < 12 {
		return 0, nil, errShort
	}
	flags := binary.BigEndian.Uint16(message[2:])
	switch {
	case flags&0x8000 == 0:
		return 0, nil, errors.New("not an answer")
	case flags&0x0200 != 0:
		return 0, nil, errors.New("answer is truncated (TC flag)")
	case flags&15 != 0:
		return 0, nil, fmt.Errorf("response code %d", flags&15)
	}
	questions := int(binary.BigEndian.Uint16(message[4:]))
	records := int(binary.BigEndian.Uint16(message[6:])) + int(binary.BigEndian.Uint16(message[8:])) +
		int(binary.BigEndian.Uint16(message[10:]))
	r := &messageReader{message, 12}
	question, err := r.name()
	if err != nil || questions != 1 || question != serviceName || r.offset+4 > len(message) ||
		binary.BigEndian.Uint32(message[r.offset:]) != typeSRV<<16|1 {
		return 0, nil, errors.New("answer to another question")
	}
	r.offset += 4
	type target struct {
		name     string
		port     uint16
		priority uint16
	}
	var targets []target
	addresses, textRecords := map[string]netip.Addr{}, map[string]map[string]string{}
	hasSerial := false
	for range records {
		owner, err := r.name()
		if err != nil {
			return 0, nil, err
		}
		kind, err := r.uint16()
		if err != nil {
			return 0, nil, err
		}
		r.offset += 6 // class and time to live
		size, err := r.uint16()
		if err != nil || r.offset+int(size) > len(message) {
			return 0, nil, errShort
		}
		start, data := r.offset, message[r.offset:r.offset+int(size)]
		r.offset += int(size)
		switch kind {
		case typeSRV:
			if len(data) < 7 {
				return 0, nil, errShort
			}
			name, _, err := nameAt(message, start+6)
			if err != nil {
				return 0, nil, err
			}
			if owner == serviceName {
				targets = append(targets, target{name, binary.BigEndian.Uint16(data[4:]), binary.BigEndian.Uint16(data)})
			}
		case typeA:
			if len(data) != 4 {
				return 0, nil, errors.New("malformed A record")
			}
			addresses[owner] = netip.AddrFrom4([4]byte(data))
		case typeTXT:
			textRecords[owner] = parseTXT(data)
		case typeSOA:
			_, offset, err := nameAt(message, start)
			if err == nil {
				_, offset, err = nameAt(message, offset)
			}
			if err != nil || offset+4 > len(message) {
				return 0, nil, errShort
			}
			serial, hasSerial = binary.BigEndian.Uint32(message[offset:]), true
		}
	}
	if !hasSerial {
		return 0, nil, errors.New("answer without an SOA record")
	}
	for _, t := range targets {
		s, err := newServer(t.name, t.port, t.priority, addresses, textRecords)
		if err != nil {
			return 0, nil, err
		}
		servers = append(servers, s)
	}
	return serial, servers, nil
}

// newServer combines the records of a server. The first label of its name is its ID.
func newServer(
	name string, port, priority uint16, addresses map[string]netip.Addr, textRecords map[string]map[string]string,
) (sip.Server, error) {
	addr, known := addresses[name]
	if !known {
		return sip.Server{}, fmt.Errorf("no A record of %s", name)
	}
	id, _, _ := strings.Cut(name, ".")
	cell, err := strconv.Atoi(textRecords[name]["cell"])
	if err != nil {
		return sip.Server{}, fmt.Errorf("TXT record of %s: cell: %w", name, err)
	}
	s := sip.Server{Addr: netip.AddrPortFrom(addr, port), Server: threadglade.Server{ID: id, Number: cell}}
	if started := textRecords[name]["started"]; started != "" {
		ms, err := strconv.ParseInt(started, 10, 64)
		if err != nil {
			return sip.Server{}, fmt.Errorf("TXT record of %s: started: %w", name, err)
		}
		s.Started = time.Duration(ms) * time.Millisecond
	}
	if priority != 0 {
		s.State = threadglade.Draining
	}
	return s, nil
}

// parseTXT reads the strings of a TXT record that have the form name=value; others are ignored.
func parseTXT(data []byte) map[string]string {
	found := map[string]string{}
	for len(data) > 0 && 1+int(data[0]) <= len(data) {
		entry := data[1 : 1+int(data[0])]
		data = data[1+int(data[0]):]
		if name, value, ok := strings.Cut(string(entry), "="); ok {
			found[name] = value
		}
	}
	return found
}
