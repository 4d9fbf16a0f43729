package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"threadglade.example/threadglade/internal/standin"
)

// toldNames stands between a router and the name service and notes when an answer with a list was sent first: from then
// on the router counts as told.
type toldNames struct {
	b     *bench
	names *standin.NameService
	conn  *net.UDPConn
	mu    sync.Mutex
	told  map[uint32]time.Time // by the number of the list's last event
}

// newToldNames starts a name service with a list.
func newToldNames(b *bench, serial uint32, list []standin.Entry) (*toldNames, error) {
	names, err := standin.NewNameService(serial, false)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	names.SetServers(serial, list)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	t := &toldNames{b: b, names: names, conn: conn, told: map[uint32]time.Time{}}
	go t.relay()
	return t, nil
}

func (t *toldNames) addr() string { return t.conn.LocalAddr().String() }

// set replaces the list.
func (t *toldNames) set(serial uint32, list []standin.Entry) {
	t.b.note("name service: list %d", serial)
	t.names.SetServers(serial, list)
}

// toldAt returns when the first answer with a list was sent.
func (t *toldNames) toldAt(serial uint32) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told[serial]
}

// relay passes each query on and its answer back.
func (t *toldNames) relay() {
	up, err := net.Dial("udp4", t.names.Addr())
	if err != nil {
		return
	}
	query, answer := make([]byte, 4096), make([]byte, 9000)
	for {
		n, from, err := t.conn.ReadFromUDP(query)
		if err != nil {
			return
		}
		up.Write(query[:n])
		up.SetReadDeadline(time.Now().Add(time.Second))
		if n, err = up.Read(answer); err != nil || n < 20 {
			continue
		}
		// The number is the first field after the two names of the SOA record, which ends the answer.
		serial := binary.BigEndian.Uint32(answer[n-20:])
		t.conn.WriteToUDP(answer[:n], from)
		t.mu.Lock()
		if t.told[serial].IsZero() {
			t.told[serial] = time.Now()
			t.b.note("name service: first answer with list %d sent", serial)
		}
		t.mu.Unlock()
	}
}
