package registry

import (
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/loop"
	"threadglade.example/threadglade/internal/sip"
	"threadglade.example/threadglade/internal/standin"
	"threadglade.example/threadglade/router"
)

// FuzzParse guards the DNS parser against untrusted lengths and compression pointers, which may also form a loop.
func FuzzParse(f *testing.F) {
	f.Add(append(encodeQuery(1), 0xc0, 12))
	f.Add([]byte("\x00\x01\x80\x00\x00\x00\x00\x01\x00\x00\x00\x00\xc0\x0c\x00\x21\x00\x01\x00\x00\x00\x00\x00\x09\x00\x00\x00\x00\x13\xc4\xc0\x0c\x00"))
	f.Add([]byte("\x00\x01\x80\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x06\x00\x01\x00\x00\x00\x00\x00\x16\x00\x00\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, servers, err := parseAnswer(data); err != nil {
			require.Empty(t, servers)
		}
	})
}

// A compression pointer that does not point backwards would make the parser loop forever.
func TestNameCompressionLoop(t *testing.T) {
	b := append(make([]byte, 12), 0xc0, 12)
	_, _, err := nameAt(b, 12)
	require.ErrorContains(t, err, "forward")
}

// Only a newer answer to the client's own question changes the list, whatever the order of arrival. Answers to
// another question, truncated or cut ones, ones with a lower or the same serial and ones of a previous name service
// are ignored.
func TestOnlyNewerAnswersToOwnQuestion(t *testing.T) {
	names, err := standin.NewNameService(7, false) // its answers are used as they are, and corrupted
	require.NoError(t, err)
	defer names.Close()
	ask := func(serial uint32, servers ...string) []byte {
		var list []standin.Entry
		for i, id := range servers {
			list = append(list, standin.Entry{ID: id, Number: i, Addr: netip.MustParseAddrPort("127.0.0.1:9")})
		}
		names.SetServers(serial, list)
		conn, err := net.Dial("udp4", names.Addr())
		require.NoError(t, err)
		defer conn.Close()
		conn.Write(encodeQuery(0))
		b := make([]byte, 1<<12)
		n, err := conn.Read(b)
		require.NoError(t, err)
		return b[:n]
	}
	otherQuestion := ask(50, "x1")
	cut := ask(51, "x2")
	truncated := ask(52, "x3")
	same := ask(7, "x4")
	lower := ask(6, "x5")
	newer := ask(8, "s1", "s2")
	otherQuestion[13]++ // the first letter of the queried name
	cut = cut[:len(cut)-10]
	truncated[2] |= 2
	otherType := append([]byte(nil), ask(53, "x6")...)
	otherType[12+len(encodeQuery(0))-12-3] = typeTXT // the queried type

	firstService, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer firstService.Close()
	eventLoop, err := loop.New()
	require.NoError(t, err)
	type update struct {
		serial  uint32
		servers []sip.Server
	}
	updates := make(chan update, 10)
	var client *Client
	client, err = Watch(eventLoop, netip.MustParseAddrPort(firstService.LocalAddr().String()), 7, router.SystemClock(),
		func(time.Duration, func()) {},
		func() float64 { return 0.5 }, zerolog.Nop(), func(serial uint32, servers []sip.Server) {
			updates <- update{serial, servers}
		})
	require.NoError(t, err)
	ended := make(chan bool)
	go func() { eventLoop.Run(func() time.Duration { return time.Hour }); close(ended) }()
	b := make([]byte, 512)
	_, from, err := firstService.ReadFromUDP(b)
	require.NoError(t, err)
	for _, answer := range [][]byte{
		otherQuestion, otherType, cut, truncated, same, lower, newer, same, newer, otherQuestion,
	} {
		binary.BigEndian.PutUint16(answer, binary.BigEndian.Uint16(b))
		firstService.WriteToUDP(answer, from)
	}
	got := <-updates
	require.Equal(t, uint32(8), got.serial)
	require.Len(t, got.servers, 2)
	require.Eventually(t, func() bool {
		counters := make(chan Counters)
		eventLoop.Post(func() { counters <- client.Counters() })
		n := <-counters
		return n.Malformed == 5 && n.Answers == 5 && n.Changes == 1
	}, time.Second, time.Millisecond)

	// After a switch to another name service, answers of the previous one are ignored and a list of the new one is
	// taken.
	secondService, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer secondService.Close()
	moved := make(chan error)
	eventLoop.Post(func() { moved <- client.SetResolver(netip.MustParseAddrPort(secondService.LocalAddr().String())) })
	require.NoError(t, <-moved)
	_, to, err := secondService.ReadFromUDP(b)
	require.NoError(t, err)
	old, latest := ask(20, "x7"), ask(9, "s3")
	binary.BigEndian.PutUint16(old, binary.BigEndian.Uint16(b))
	binary.BigEndian.PutUint16(latest, binary.BigEndian.Uint16(b))
	firstService.WriteToUDP(old, from)
	firstService.WriteToUDP(old, to)
	secondService.WriteToUDP(latest, to)
	got = <-updates
	require.Equal(t, uint32(9), got.serial)
	eventLoop.Stop()
	<-ended
}
