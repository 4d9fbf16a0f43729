package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"threadglade.example/threadglade/fleet/fleetpb"
)

func testSettings() Settings {
	t := DefaultSettings()
	t.Fleet, t.Keepers, t.Members = "f", []string{"k1"}, []string{"r*", "desk"}
	return t
}

// TestMachine checks the invariants of the state machine over random entries: incarnation numbers rise and are
// assigned once, a name has one live incarnation, fenced writers change nothing, a repeated entry is applied once, and
// a machine that starts from a snapshot or follows the messages for members arrives at the same state.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(&fleetpb.State{Fleet: "f"})
		var restored *Machine
		known := NewMachine(&fleetpb.State{Fleet: "f"})
		names := rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"})
		assigned := map[uint64]string{}
		var entries []*fleetpb.Entry
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 60).Draw(t, "n")); index++ {
			name := names.Draw(t, "name")
			number := uint64(rapid.IntRange(0, int(m.LastIncarnation)+1).Draw(t, "number"))
			e := &fleetpb.Entry{Id: uint64(rapid.IntRange(1, 1000).Draw(t, "id"))}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				e.What = &fleetpb.Entry_Begin{Begin: &fleetpb.Begin{
					Name: name, Process: uint64(rapid.IntRange(1, 3).Draw(t, "process")), Address: "a",
					Zone:  rapid.SampledFrom([]string{"", "z1", "z2"}).Draw(t, "zone"),
					After: m.Member(name).GetIncarnation(),
				}}
			case 1:
				e.What = &fleetpb.Entry_End{End: &fleetpb.End{Name: name, Incarnation: number}}
			case 2:
				e.What = &fleetpb.Entry_Put{Put: &fleetpb.Put{
					Key: "a", Value: []byte(name), Expect: m.Fact("a").GetVersion(), Name: name, Incarnation: number,
				}}
			default:
				if len(entries) > 0 {
					e = rapid.SampledFrom(entries).Draw(t, "again")
				}
			}
			_, repeated := m.Result(e.Id)
			before, writer, fact := m.State(), m.Member(name), m.Fact("a").GetVersion()
			result := m.Apply(index, e)
			if restored != nil {
				require.Equal(t, result, restored.Apply(index, e))
			}
			if repeated {
				before.Index = index
				require.True(t, proto.Equal(before, m.State()), "a repeated entry changes nothing")
				continue
			}
			entries = append(entries, e)
			switch {
			case e.GetBegin() != nil && result != 0:
				if assignedTo, ok := assigned[result]; ok {
					require.Equal(t, assignedTo, fmt.Sprint(name, e.GetBegin().Process), "a number is assigned once")
				} else {
					require.Equal(t, before.Incarnations+1, result)
				}
				assigned[result] = fmt.Sprint(name, e.GetBegin().Process)
			case e.GetPut() != nil:
				fenced := number != 0 && (!writer.GetLive() || writer.Incarnation != number)
				require.Equal(t, fenced, result == 0)
				require.Equal(t, fenced, m.Fact("a").GetVersion() == fact)
			}
			for _, member := range m.Members() { // the incarnation of a successor is live, and not the ended one
				for _, p := range append(member.Past, &fleetpb.Past{
					Incarnation: member.Incarnation, Successor: member.Successor,
					SuccessorIncarnation: member.SuccessorIncarnation,
				}) {
					if p.Successor != "" {
						require.False(t, m.IsOver(p.Successor, p.SuccessorIncarnation),
							"the successor of %s.%d has ended", member.Name, p.Incarnation)
						successor, number, over := m.SuccessorOf(member.Name, p.Incarnation)
						require.True(t, over && successor == p.Successor && number == p.SuccessorIncarnation)
					}
				}
				require.False(t, member.Live && member.Successor != "")
			}
			if restored == nil && rapid.IntRange(0, 9).Draw(t, "copy") == 0 {
				b, err := proto.Marshal(m.State())
				require.NoError(t, err)
				s := &fleetpb.State{}
				require.NoError(t, proto.Unmarshal(b, s))
				restored = NewMachine(s)
			}
			if word := m.ChangesSince(known.Index); word != nil && rapid.Bool().Draw(t, "heard") {
				member := &Member{Machine: known, links: map[string]Link{}}
				member.receiveWord(word)
				known = member.Machine
			}
		}
		if restored != nil {
			require.True(t, proto.Equal(m.State(), restored.State()))
		}
		if word := m.ChangesSince(known.Index); word != nil {
			member := &Member{Machine: known, links: map[string]Link{}}
			member.receiveWord(word)
			known = member.Machine
		}
		received, expected := known.State(), m.State()
		require.Equal(t, fmt.Sprint(expected.Members), fmt.Sprint(received.Members))
		require.Equal(t, fmt.Sprint(expected.Facts), fmt.Sprint(received.Facts))
	})
}

// TestBounds fills every table to its limit and tries one more, and checks the size of the largest snapshot.
func TestBounds(t *testing.T) {
	m := NewMachine(&fleetpb.State{})
	index := uint64(0)
	begin := func(name string) uint64 {
		index++
		return m.Apply(index, &fleetpb.Entry{Id: index, What: &fleetpb.Entry_Begin{
			Begin: &fleetpb.Begin{Name: name, Process: 1, After: m.Member(name).GetIncarnation()},
		}})
	}
	put := func(key string, value int) uint64 {
		index++
		return m.Apply(index, &fleetpb.Entry{Id: index, What: &fleetpb.Entry_Put{
			Put: &fleetpb.Put{Key: key, Value: make([]byte, value)},
		}})
	}
	for i := range maxMembers {
		require.NotZero(t, begin(fmt.Sprintf("r%060d", i)))
	}
	require.Zero(t, begin("one more"), "all are live: none is removed")
	index++
	m.Apply(index, &fleetpb.Entry{Id: index, What: &fleetpb.Entry_End{
		End: &fleetpb.End{Name: fmt.Sprintf("r%060d", 7), Incarnation: 8},
	}})
	require.NotZero(t, begin("one more"), "the ended one is removed")
	require.Nil(t, m.Member(fmt.Sprintf("r%060d", 7)))
	require.Zero(t, begin(fmt.Sprintf("r%064d", 1)), "the name is too long")
	for i := range maxFacts {
		require.NotZero(t, put(fmt.Sprintf("%0128d", i), MaxValueLength))
	}
	require.Zero(t, put("another", 1))
	require.Zero(t, put("large", MaxValueLength+1))
	for range 2 * maxResults {
		index++
		m.Apply(index, &fleetpb.Entry{Id: index})
	}
	require.Len(t, m.results, maxResults)
	require.LessOrEqual(t, len(m.changes), maxChanges)
	b, err := proto.Marshal(m.State())
	require.NoError(t, err)
	require.Less(t, len(b), 3<<20, "a snapshot fits one message")
}

// runAlone drives one keeper without a network until it has no more output, and returns its answers to members.
func runAlone(k *Keeper, now time.Duration) (answers []*fleetpb.Answer) {
	for {
		o, ok := k.Output()
		if !ok {
			return answers
		}
		for _, s := range o.Outbound {
			if a := s.Frame.GetAnswer(); a != nil {
				answers = append(answers, a)
			}
		}
		k.Advance(now)
	}
}

// TestRegrantDelay lets a second process ask for a name at various times around the end of the first one's lease: it
// gets the name soon after K has passed since the grant, and never before.
func TestRegrantDelay(t *testing.T) {
	settings := testSettings()
	for askAt := 2 * time.Second; askAt < 5*time.Second; askAt += 90 * time.Millisecond {
		stored, err := Bootstrap(settings, rand.New(rand.NewPCG(1, 2)))
		require.NoError(t, err)
		k, err := NewKeeper(settings, stored[0], rand.New(rand.NewPCG(3, 4)), 0)
		require.NoError(t, err)
		var granted, first, second time.Duration
		for now := time.Duration(0); now < 12*time.Second && second == 0; now += TickInterval {
			k.Tick(now)
			if now < 2*time.Second || first == 0 {
				k.HandleAsk(now, 1, "r1", &fleetpb.Ask{Seq: 1, Process: 1, Known: ^uint64(0)})
			}
			if now >= askAt {
				k.HandleAsk(now, 2, "r1", &fleetpb.Ask{Seq: 2, Process: 2, Known: ^uint64(0)})
			}
			for _, a := range runAlone(k, now) {
				switch {
				case a.Incarnation != 0 && a.Seq == 1:
					granted, first = now, now
				case a.Incarnation != 0:
					second = now
				}
			}
		}
		require.NotZero(t, first)
		require.NotZero(t, second)
		require.GreaterOrEqual(t, second-granted, settings.RegrantDelay(), "asked at %v", askAt)
		require.LessOrEqual(t, second, max(granted+settings.RegrantDelay(), askAt)+5*TickInterval,
			"asked at %v", askAt)
	}
}

// TestSettings checks that invalid settings are rejected, and which routers belong to the fleet.
func TestSettings(t *testing.T) {
	settings := testSettings()
	require.NoError(t, settings.Validate())
	require.Equal(t, 3060606061*time.Nanosecond, settings.RegrantDelay().Round(time.Nanosecond))
	for _, change := range []func(*Settings){
		func(t *Settings) { t.Fleet = "" },
		func(t *Settings) { t.Keepers = []string{"a", "b"} },
		func(t *Settings) { t.Keepers = []string{"a", "a", "b"} },
		func(t *Settings) { t.Members = nil },
		func(t *Settings) { t.RenewInterval = 2 * time.Second },
		func(t *Settings) { t.ClockDrift = 0.5 },
	} {
		changed := testSettings()
		change(&changed)
		require.Error(t, changed.Validate())
	}
	for name, listed := range map[string]bool{
		"r1": true, "r": true, "desk": true, "desk1": false, "x": false, "": false,
	} {
		require.Equal(t, listed, settings.IsListed(name), name)
	}
}

// TestRenounce guards against a router that gets back an incarnation which it has given up: it requests the end until
// the log has ended the incarnation, and only then asks for the next, since an earlier ask would be answered with the
// old one.
func TestRenounce(t *testing.T) {
	m, now := NewMember(testSettings(), "r1", 9), time.Second
	require.False(t, m.Renounce(now), "there is no incarnation to give up")
	m.SetLink(now, "k1", 1)
	asks := func() (list []*fleetpb.Ask) {
		m.Tick(now)
		sends, _ := m.Output()
		for _, s := range sends {
			list = append(list, s.Frame.GetAsk())
		}
		return list
	}
	first := asks()[0]
	m.Receive(now, "k1", &fleetpb.Frame{What: &fleetpb.Frame_Answer{
		Answer: &fleetpb.Answer{Seq: first.Seq, Incarnation: 5, Leader: "k1"},
	}})
	require.True(t, m.Lease().IsHeld(now))
	now += 2 * time.Second
	renewal := asks()[0]
	require.True(t, m.Renounce(now))
	require.Equal(t, Lease{}, m.Lease())
	for range 5 { // the request is lost each time
		leaves := asks()
		require.Len(t, leaves, 1)
		require.True(t, leaves[0].Leave && leaves[0].Incarnation == 5)
		m.Receive(now, "k1", &fleetpb.Frame{What: &fleetpb.Frame_Answer{
			Answer: &fleetpb.Answer{Seq: renewal.Seq, Incarnation: 5, Leader: "k1"},
		}})
		require.Equal(t, Lease{}, m.Lease(), "the answer to an earlier ask does not restore it")
		now += retryInterval
	}
	m.Receive(now, "k1", &fleetpb.Frame{What: &fleetpb.Frame_Word{Word: &fleetpb.Word{
		Index: 9,
		State: &fleetpb.State{
			Index: 9, Fleet: "f", Incarnations: 5,
			Members: []*fleetpb.Member{{Name: "r1", Incarnation: 5, Process: 9, Left: true}},
		},
	}}})
	next := asks()
	require.Len(t, next, 1)
	require.True(t, !next[0].Leave && next[0].Incarnation == 0)
	m.Receive(now, "k1", &fleetpb.Frame{What: &fleetpb.Frame_Answer{
		Answer: &fleetpb.Answer{Seq: next[0].Seq, Incarnation: 6, Leader: "k1"},
	}})
	require.EqualValues(t, 6, m.Lease().Incarnation)
}
