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

func terms() fleet.Settings {
	t := fleet.DefaultSettings()
	t.Fleet, t.Keepers, t.Members = "f", []string{"k1"}, []string{"r*"}
	return t
}

// answered is what a keeper has said to anybody.
type answered map[string]uint64

// life runs a keeper alone on a folder for a while: each router begins once. It ends early where the disk does.
func life(fs *durabletest.FS, seed uint64, told answered) (err error) {
	s, c, err := openStore(fs, "k1")
	if err != nil {
		return err
	}
	defer s.close()
	k, err := fleet.NewKeeper(terms(), c.Stored, rand.New(rand.NewPCG(seed, 1)), 0)
	if err != nil {
		return err
	}
	if err := s.begin(k, c.Scan, 2048); err != nil {
		return err
	}
	for now := time.Duration(0); now < 3*time.Second; now += fleet.TickInterval {
		k.Tick(now)
		name := fmt.Sprintf("r%d-%d", seed, now/fleet.TickInterval)
		k.HandleAsk(now, 1, name, &fleetpb.Ask{Seq: 1, Process: 7, Known: ^uint64(0)})
		k.HandleAsk(now, 1, name, &fleetpb.Ask{Seq: uint64(now), Process: 7, Known: ^uint64(0), Put: &fleetpb.Put{Key: name, Value: make([]byte, 100)}})
		for {
			o, ok := k.Output()
			if !ok {
				break
			}
			if o.Store != nil {
				if err := s.write(o.Store); err != nil {
					k.Halt(err)
					for _, more := range []int{1, 2} { // it never says a word again
						k.Tick(now + time.Duration(more)*10*time.Second)
						k.HandleAsk(now, 1, name, &fleetpb.Ask{Seq: 3, Process: 7})
						if o, _ := k.Output(); len(o.Outbound) > 0 || o.Store != nil {
							return errors.New("a halted keeper speaks")
						}
					}
					return err
				}
			}
			for _, one := range o.Outbound {
				if a := one.Frame.GetAnswer(); a.GetResult() != 0 {
					told[name] = a.Result
				}
			}
			k.Advance(now)
		}
	}
	return nil
}

// TestEveryStep fails, tears or ends the process or the machine at each step of the disk in turn: what was answered for is there afterwards.
func TestEveryStep(t *testing.T) {
	founded, err := fleet.Bootstrap(terms(), rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	fresh := func(seed uint64) *durabletest.FS {
		fs := durabletest.New(seed)
		require.NoError(t, Found(fs, "k1", founded[0]))
		return fs
	}
	fs := fresh(1)
	require.NoError(t, life(fs, 1, answered{}))
	steps := len(fs.Steps())
	require.Greater(t, steps, 100)
	for _, fault := range durabletest.Faults {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			for n := len(fresh(1).Steps()); n < steps; n++ {
				died(t, fresh(uint64(n)), fault, n)
			}
		})
	}
}

// died has a keeper's life end by a fault at a step, and looks for what it had answered for.
func died(t *testing.T, fs *durabletest.FS, fault durabletest.Fault, n int) {
	fs.Plan = func(s durabletest.Step) durabletest.Fault {
		if s.N == n {
			return fault
		}
		return durabletest.None
	}
	told := answered{}
	if err := life(fs, 1, told); err != nil {
		require.NotContains(t, err.Error(), "speaks")
	}
	fs.Plan = nil
	fs.Restart()
	c, err := Load(fs, "k1")
	require.NoError(t, err, "%v at step %d", fault, n)
	k, err := fleet.NewKeeper(terms(), c.Stored, rand.New(rand.NewPCG(9, 9)), 0)
	require.NoError(t, err)
	for now := time.Duration(0); now < 2*time.Second; now += fleet.TickInterval { // alone, it agrees on all that it has written
		k.Tick(now)
		for _, ok := k.Output(); ok; _, ok = k.Output() {
			k.Advance(now)
		}
	}
	for name, version := range told {
		require.Equal(t, version, k.Machine.Fact(name).GetVersion(), "%v at step %d: %s was answered for", fault, n, name)
	}
}

// TestFolders tells apart a folder without files, a damaged one, another keeper's and another fleet's, and leaves them as they are.
func TestFolders(t *testing.T) {
	founded, err := fleet.Bootstrap(terms(), rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	fs := durabletest.New(1)
	_, err = Load(fs, "none")
	require.ErrorIs(t, err, ErrNoFiles)
	require.NoError(t, Found(fs, "k1", founded[0]))
	require.ErrorContains(t, Found(fs, "k1", founded[0]), "already")
	name := filepath.Join("k1", "fleet-00000001.tgl")
	for bit := 0; bit < fs.Size(name)*8; bit += 13 {
		fs.Flip(name, bit)
		_, err := Load(fs, "k1")
		require.Error(t, err, "bit %d", bit)
		fs.Flip(name, bit)
	}
	other := terms()
	other.Fleet = "g"
	_, err = fleet.NewKeeper(other, founded[0], rand.New(rand.NewPCG(1, 1)), 0)
	require.ErrorContains(t, err, `fleet "f"`)
}

// TestSettings names line and field of what is wrong.
func TestSettings(t *testing.T) {
	good := `(threadglade (fleet (name "f") (directory "d") (beacon "127.0.0.1:9") (keeper "k1" (address "127.0.0.1:7101")) (members "r*")))`
	read := func(text string) (Options, error) {
		s, err := settings.Parse("x.edn", text)
		require.NoError(t, err)
		o := Read(s.Sub("fleet"))
		return o, s.Finish()
	}
	o, err := read(good)
	require.NoError(t, err)
	require.True(t, o.Keeper("k1") && !o.Keeper("r1"))
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

// BenchmarkAct measures the look at a lease and the act after it, a datagram to the beacon's hearer: what a stop has to fall into for an act to be late.
func BenchmarkAct(b *testing.B) {
	hearer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	defer hearer.Close()
	t := terms()
	f, err := Open(Config{Options: Options{Terms: t, Addresses: map[string]string{"k1": "127.0.0.1:1"}, Every: time.Nanosecond, Beacon: netip.MustParseAddrPort(hearer.LocalAddr().String())}, Name: "r1", Member: true, Log: zerolog.Nop()})
	require.NoError(b, err)
	defer f.Close()
	f.lease.Store(&fleet.Lease{Incarnation: 7, Until: Clock() + time.Hour})
	for b.Loop() {
		f.Turn()
	}
}
