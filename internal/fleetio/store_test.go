package fleetio

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/durable/durabletest"
	"threadglade.example/threadglade/internal/settings"
)

// testSettings returns the settings of a fleet with the keeper k1.
func testSettings() fleet.Settings {
	s := fleet.DefaultSettings()
	s.Fleet, s.Keepers, s.Members = "f", []string{"k1"}, []string{"r*"}
	return s
}

// acknowledgements has the versions of the facts that a keeper has acknowledged, by key.
type acknowledgements map[string]uint64

// runKeeper runs a single keeper on a directory for 3 s, during which many routers get a lease and write one fact each.
// It ends early if the disk fails.
func runKeeper(fs *durabletest.FS, seed uint64, acknowledged acknowledgements) (err error) {
	opened, contents, err := openStore(fs, "k1")
	if err != nil {
		return err
	}
	defer opened.close()
	keeper, err := fleet.NewKeeper(testSettings(), contents.Stored, rand.New(rand.NewPCG(seed, 1)), 0)
	if err != nil {
		return err
	}
	if err := opened.openLog(keeper, contents.Scan, 2048); err != nil {
		return err
	}
	for now := time.Duration(0); now < 3*time.Second; now += fleet.TickInterval {
		keeper.Tick(now)
		name := fmt.Sprintf("r%d-%d", seed, now/fleet.TickInterval)
		keeper.HandleAsk(now, 1, name, &fleetpb.Ask{Seq: 1, Process: 7, Known: ^uint64(0)})
		keeper.HandleAsk(now, 1, name, &fleetpb.Ask{
			Seq:     uint64(now),
			Process: 7,
			Known:   ^uint64(0),
			Put:     &fleetpb.Put{Key: name, Value: make([]byte, 100)},
		})
		for {
			o, ok := keeper.Output()
			if !ok {
				break
			}
			if o.Store != nil {
				if err := opened.write(o.Store); err != nil {
					keeper.Halt(err)
					for _, more := range []int{1, 2} { // a halted keeper sends and stores nothing
						keeper.Tick(now + time.Duration(more)*10*time.Second)
						keeper.HandleAsk(now, 1, name, &fleetpb.Ask{Seq: 3, Process: 7})
						if o, _ := keeper.Output(); len(o.Outbound) > 0 || o.Store != nil {
							return errors.New("a halted keeper still sends")
						}
					}
					return err
				}
			}
			for _, one := range o.Outbound {
				if a := one.Frame.GetAnswer(); a.GetResult() != 0 {
					acknowledged[name] = a.Result
				}
			}
			keeper.Advance(now)
		}
	}
	return nil
}

// TestDiskFaultAtEveryStep injects each kind of fault at each disk operation in turn: an error, a torn write, a crash
// of the process or of the machine. What the keeper has acknowledged must be there after the restart.
func TestDiskFaultAtEveryStep(t *testing.T) {
	states, err := fleet.Bootstrap(testSettings(), rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	fresh := func(seed uint64) *durabletest.FS {
		fs := durabletest.New(seed)
		require.NoError(t, CreateKeeperFiles(fs, "k1", states[0]))
		return fs
	}
	fs := fresh(1)
	require.NoError(t, runKeeper(fs, 1, acknowledgements{}))
	steps := len(fs.Steps())
	require.Greater(t, steps, 100)
	for _, fault := range durabletest.Faults {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			for n := len(fresh(1).Steps()); n < steps; n++ {
				checkDiskFault(t, fresh(uint64(n)), fault, n)
			}
		})
	}
}

// checkDiskFault injects a fault at the n-th disk operation and checks that everything acknowledged was stored.
func checkDiskFault(t *testing.T, fs *durabletest.FS, fault durabletest.Fault, n int) {
	fs.Plan = func(s durabletest.Step) durabletest.Fault {
		if s.Index == n {
			return fault
		}
		return durabletest.None
	}
	acknowledged := acknowledgements{}
	if err := runKeeper(fs, 1, acknowledged); err != nil {
		require.NotContains(t, err.Error(), "still sends")
	}
	fs.Plan = nil
	fs.Restart()
	contents, err := Load(fs, "k1")
	require.NoError(t, err, "%v at step %d", fault, n)
	keeper, err := fleet.NewKeeper(testSettings(), contents.Stored, rand.New(rand.NewPCG(9, 9)), 0)
	require.NoError(t, err)
	// A single keeper commits all that it has stored.
	for now := time.Duration(0); now < 2*time.Second; now += fleet.TickInterval {
		keeper.Tick(now)
		for _, ok := keeper.Output(); ok; _, ok = keeper.Output() {
			keeper.Advance(now)
		}
	}
	for name, version := range acknowledged {
		require.Equal(t, version, keeper.Machine.Fact(name).GetVersion(),
			"%v at step %d: %s was acknowledged", fault, n, name)
	}
}

// TestKeeperDirectories checks that a directory without files, a damaged one and one of another fleet are refused.
func TestKeeperDirectories(t *testing.T) {
	states, err := fleet.Bootstrap(testSettings(), rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	fs := durabletest.New(1)
	_, err = Load(fs, "none")
	require.ErrorIs(t, err, ErrNoFiles)
	require.NoError(t, CreateKeeperFiles(fs, "k1", states[0]))
	require.ErrorContains(t, CreateKeeperFiles(fs, "k1", states[0]), "already")
	name := filepath.Join("k1", "fleet-00000001.tgl")
	for bit := 0; bit < fs.Size(name)*8; bit += 13 {
		fs.FlipBit(name, bit)
		_, err := Load(fs, "k1")
		require.Error(t, err, "bit %d", bit)
		fs.FlipBit(name, bit)
	}
	other := testSettings()
	other.Fleet = "g"
	_, err = fleet.NewKeeper(other, states[0], rand.New(rand.NewPCG(1, 1)), 0)
	require.ErrorContains(t, err, `fleet "f"`)
}

// TestSettings checks that errors in the settings name the line and the field.
func TestSettings(t *testing.T) {
	good := `(threadglade (fleet (name "f") (directory "d") (beacon "127.0.0.1:9") (keeper "k1" (address "127.0.0.1:7101")) (members "r*")))`
	read := func(text string) (Options, error) {
		s, err := settings.Parse("x.edn", text)
		require.NoError(t, err)
		o := ReadSettings(s.Sub("fleet"))
		return o, s.Finish()
	}
	o, err := read(good)
	require.NoError(t, err)
	require.True(t, o.IsKeeper("k1") && !o.IsKeeper("r1"))
	for text, want := range map[string]string{
		`(threadglade (fleet (name "f") (keeper "k1" (address "8.8.8.8:1")) (members "r*")))`:                                        "loopback or private",
		`(threadglade (fleet (name "f") (keeper "k1") (members "r*")))`:                                                              "address: is missing",
		`(threadglade (fleet (name "f") (keeper "k1" (address "127.0.0.1:1")) (keeper "k2" (address "127.0.0.1:2")) (members "r")))`: "1, 3 or 5 keepers",
		`(threadglade (fleet (name "f") (keeper "k1" (address "127.0.0.1:1"))))`:                                                     "lists its members",
		`(threadglade (fleet (name "f") (lease "1s") (renew "900ms") (keeper "k1" (address "127.0.0.1:1")) (members "r")))`:          "renewed at least twice",
		`(threadglade (fleet (name "f") (colour "red") (keeper "k1" (address "127.0.0.1:1")) (members "r")))`:                        `unknown field "colour"`,
	} {
		_, err := read(text)
		require.ErrorContains(t, err, want)
		require.ErrorContains(t, err, "x.edn:1")
	}
}

// BenchmarkAct measures the check of the lease and the beacon datagram after it: a stop of the process has to fall
// between the two for an act to be late.
func BenchmarkAct(b *testing.B) {
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	defer listener.Close()
	s := testSettings()
	f, err := Open(Config{
		Options: Options{
			Settings:       s,
			Addresses:      map[string]string{"k1": "127.0.0.1:1"},
			BeaconInterval: time.Nanosecond,
			Beacon:         netip.MustParseAddrPort(listener.LocalAddr().String()),
		},
		Name:   "r1",
		Member: true,
		Log:    zerolog.Nop(),
	})
	require.NoError(b, err)
	defer f.Close()
	f.lease.Store(&fleet.Lease{Incarnation: 7, Until: Clock() + time.Hour})
	for b.Loop() {
		f.Update()
	}
}
