package standin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Entry is a case server in the list of the name service.
type Entry struct {
	ID       string
	Number   int
	Addr     netip.AddrPort
	Draining bool
	Started  string // start time of its process in Unix milliseconds; empty: long past
}

// NameService is a name service: a DNS server on UDP that answers every query with its list of case servers. Its
// methods may be called from several goroutines.
type NameService struct {
	conn    *net.UDPConn
	mu      sync.Mutex
	serial  uint32
	servers []Entry
	lossy   bool
	queries uint64
	answers uint64
	closed  bool
	down    bool
}

// NewNameService starts a name service on loopback that runs until Close. With lossy, it ignores every other query.
func NewNameService(serial uint32, lossy bool) (*NameService, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	n := &NameService{conn: conn, serial: serial, lossy: lossy}
	go n.serve()
	return n, nil
}

// Addr returns the address at which the service answers.
func (n *NameService) Addr() string { return n.conn.LocalAddr().String() }

// Close stops the service.
func (n *NameService) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.conn.Close()
}

// SetServers replaces the list. A serial of 0 stands for the current one plus 1.
func (n *NameService) SetServers(serial uint32, list []Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if serial == 0 {
		serial = n.serial + 1
	}
	n.serial, n.servers = serial, list
}

// SetDown makes the service ignore all queries, or answer again.
func (n *NameService) SetDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

// Serial returns the serial of the current list.
func (n *NameService) Serial() uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serial
}

// Counts returns the number of queries received and answered, and whether the service is still open.
func (n *NameService) Counts() (asked, answered uint64, open bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queries, n.answers, !n.closed
}

func (n *NameService) serve() {
	b := make([]byte, 1024)
	for dropped := n.lossy; ; dropped = n.lossy && !dropped {
		size, from, err := n.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		n.mu.Lock()
		answer, silent := n.encodeAnswer(b[:size]), dropped || n.down
		n.mu.Unlock()
		if !silent {
			n.conn.WriteToUDP(answer, from)
		}
		n.mu.Lock()
		n.queries++
		if !silent {
			n.answers++
		}
		n.mu.Unlock()
	}
}

// encodeLabels encodes DNS labels, each preceded by its length.
func encodeLabels(names ...string) (b []byte) {
	for _, n := range names {
		b = append(append(b, byte(len(n))), n...)
	}
	return b
}

// encodeAnswer encodes the answer to a query: an SRV, an A and a TXT record for each case server, and an SOA record
// with the serial. Owner names are compressed to pointers to the question or to the host name of the SRV record.
func (n *NameService) encodeAnswer(query []byte) []byte {
	b := append([]byte(nil), query...)
	if len(b) < 12 {
		return b
	}
	b[2] |= 0x80
	records := 0
	add := func(owner []byte, kind uint16, data []byte) {
		b = append(b, owner...)
		b = binary.BigEndian.AppendUint16(b, kind)
		b = append(b, 0, 1, 0, 0, 0, 0)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
		records++
	}
	question := []byte{0xc0, 12}
	for _, e := range n.servers {
		priority := uint16(0)
		if e.Draining {
			priority = 1
		}
		data := binary.BigEndian.AppendUint16(nil, priority)
		data = binary.BigEndian.AppendUint16(append(data, 0, 40), e.Addr.Port())
		host := len(b) + 2 + 10 + 6
		add(question, 33, append(append(data, encodeLabels(e.ID, "east", "hosts")...), 0))
		ref := []byte{0xc0 | byte(host>>8), byte(host)}
		add(ref, 1, e.Addr.Addr().AsSlice())
		add(ref, 16, encodeLabels("kind=std", fmt.Sprintf("cell=%d", e.Number), "started="+e.Started))
	}
	soa := append([]byte{0xc0, 12, 0xc0, 12}, binary.BigEndian.AppendUint32(nil, n.serial)...)
	add(question, 6, append(soa, make([]byte, 16)...))
	binary.BigEndian.PutUint16(b[6:], uint16(records))
	return b
}

// RouterConfig returns the configuration of a router in JSON: its name, the address for callers, the address of the
// name service, and the list of case servers at start.
func RouterConfig(name, listen, resolver string, serial uint32, list []Entry) []byte {
	var members []map[string]any
	cells := make([]int, len(list))
	for i, e := range list {
		cells[i] = i
		members = append(members, map[string]any{"id": e.ID, "host_port": e.Addr.String(), "cell": i,
			"phase": "in_service", "up_since_ms": 0})
	}
	class := func(name string) map[string]any {
		return map[string]any{"name": name, "aimMs": 1000, "deadlineMs": 5000, "gain": 1, "lateWorth": 0.5,
			"repeat": "free"}
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "resolver": resolver,
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"cursor": serial, "cmds": []any{
			map[string]any{"cursor": serial, "nodes": map[string]any{"complete": true, "members": members}},
		}},
		"settings": map[string]any{
			"me": 0, "replicasOfMe": 1, "classes": []any{class("voice"), class("data")},
			"domain": map[string]any{"allowedPools": [][]int{cells, cells}, "clearWaitMs": 200,
				"holdingMs": []int{200, 200}, "networkForm": "skills"},
			"limits": map[string]any{"maxAttempts": 6, "cancel": true, "retryAfter": true, "maxRetryAfterMs": 2000,
				"connectTimeoutMs": 500},
			"report": map[string]any{"fields": []string{"idle", "circuits"}},
			"rules": map[string]any{"coldFrom": 0.37, "warmWithinMs": 9000, "fallMultiple": 3, "overloadForMs": 2000,
				"drainGraceMs": 1000},
		},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	return text
}
