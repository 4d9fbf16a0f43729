package durable_test

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/durable/durabletest"
)

// book is a log's owner: it counts, and its checkpoint is the list of what it has counted.
type book struct{ seen []string }

func (b *book) load(f durable.FS) (durable.Scan, error) {
	b.seen = nil
	return durable.Read(f, "d", "x", 1, 0, func(_ durable.Place, _ *durable.Reader, kind uint16, p []byte) error {
		if kind == 1 { // the checkpoint begins anew
			b.seen = nil
			return nil
		}
		b.seen = append(b.seen, string(p))
		return nil
	})
}

func (b *book) open(t *testing.T, f durable.FS) *durable.Log {
	s, err := b.load(f)
	require.NoError(t, err)
	l, err := durable.Continue(durable.LogConfig{FS: f, Dir: "d", Name: "x", Kind: 1, Roll: 300, Checkpoint: func() []durable.Frame {
		list := []durable.Frame{{Kind: 1}}
		for _, s := range b.seen {
			list = append(list, durable.Frame{Kind: 2, Payload: []byte(s)})
		}
		return list
	}}, s)
	if err != nil {
		return nil
	}
	return l
}

// work appends, syncs and drops; it returns what was appended for certain, and what was tried.
func work(t *testing.T, f *durabletest.FS, from, n int) (sure, synced, tried []string) {
	b := &book{}
	l := b.open(t, f)
	if l == nil {
		return
	}
	sure = append(sure, b.seen...)
	tried = append(tried, b.seen...)
	for i := from; i < from+n; i++ {
		text := fmt.Sprintf("entry %d", i)
		tried = append(tried, text)
		if l.Append(durable.Frame{Kind: 2, Payload: []byte(text)}) == nil {
			b.seen = append(b.seen, text)
			sure = append(sure, text)
		}
		if i%3 == 0 && l.Sync() == nil && len(sure) > 0 && sure[len(sure)-1] == text {
			synced = append([]string(nil), sure...)
		}
		if i%9 == 0 {
			l.Drop(l.Segment())
		}
	}
	l.Close()
	return
}

// TestEveryStep has each single step of a run fail, tear and crash in turn: what was appended is there afterwards, nothing
// is there twice, and what was not appended is either whole or absent. After a loss of power this holds for what was
// synced.
func TestEveryStep(t *testing.T) {
	plain := durabletest.New(1)
	work(t, plain, 0, 20)
	steps := len(plain.Steps())
	require.Greater(t, steps, 60)
	for _, fault := range durabletest.Faults {
		for at := range steps {
			f := durabletest.New(uint64(at))
			f.Plan = func(s durabletest.Step) durabletest.Fault {
				if s.N == at {
					return fault
				}
				return durabletest.None
			}
			name := fmt.Sprintf("%v at step %d", fault, at)
			sure, synced, tried := work(t, f, 0, 20)
			f.Kill(fault == durabletest.PowerOff)
			f.Restart()
			var b book
			_, err := b.load(f)
			require.NoError(t, err, name)
			want := sure
			if fault == durabletest.PowerOff {
				want = synced
			}
			// All that is sure is there, in order, and nothing but what was tried.
			i := 0
			for _, s := range b.seen {
				for i < len(tried) && tried[i] != s {
					i++
				}
				require.Less(t, i, len(tried), "%s: %q is out of order or there twice: %q", name, s, b.seen)
				i++
			}
			require.Subset(t, b.seen, want, name)
			more, _, _ := work(t, f, 100, 5) // and it goes on
			require.Len(t, more, len(b.seen)+5, name)
			_, err = b.load(f)
			require.NoError(t, err, name)
			require.Equal(t, more, b.seen, name)
		}
	}
}

// TestFlip flips every bit of a log in turn: the file and the offset are named, or the bit stood in what a later segment
// says was cut off.
func TestFlip(t *testing.T) {
	f := durabletest.New(1)
	b := &book{}
	l := b.open(t, f)
	for i := range 6 {
		require.NoError(t, l.Append(durable.Frame{Kind: 2, Payload: fmt.Appendf(nil, "entry %d %0100d", i, 0)}))
		b.seen = append(b.seen, "")
	}
	names, _ := f.List("d")
	require.Greater(t, len(names), 1)
	for _, name := range names {
		path := filepath.Join("d", name)
		for bit := range 8 * f.Size(path) {
			f.Flip(path, bit)
			_, err := b.load(f)
			var damage *durable.Damage
			require.True(t, errors.As(err, &damage) || errors.Is(err, durable.ErrNewer), "%s bit %d: %v", path, bit, err)
			require.ErrorContains(t, err, "d/x-0000000")
			f.Flip(path, bit)
		}
	}
	_, err := b.load(f)
	require.NoError(t, err)
}

// TestCut cuts the last segment off at every byte: whole frames before the cut are read, the rest is noted as torn.
func TestCut(t *testing.T) {
	f := durabletest.New(1)
	b := &book{}
	l := b.open(t, f)
	for i := range 5 {
		require.NoError(t, l.Append(durable.Frame{Kind: 2, Payload: fmt.Appendf(nil, "entry %d", i)}))
	}
	path := "d/x-00000001.tgl"
	for size := f.Size(path) - 1; size > 64; size-- {
		f.Cut(path, size)
		s, err := b.load(f)
		require.NoError(t, err)
		frame := (size - 64) / (16 + 7)
		require.Len(t, b.seen, frame)
		require.Equal(t, (size-64)%(16+7) != 0, len(s.Torn) == 1)
	}
}

// TestNewer: a file of a later version is refused by name, and no other process may write beside this one.
func TestNewer(t *testing.T) {
	f := durabletest.New(1)
	l := (&book{}).open(t, f)
	require.NoError(t, l.Append(durable.Frame{Kind: 2}))
	_, err := durable.Open(f, "d/x-00000001.tgl", 2)
	require.ErrorContains(t, err, "kind 1 stands where kind 2 is wanted")
	lock, err := f.Lock("d/lock")
	require.NoError(t, err)
	_, err = f.Lock("d/lock")
	require.ErrorIs(t, err, durable.ErrLocked)
	require.NoError(t, lock.Close())
	dir := t.TempDir()
	real, err := durable.OS{}.Lock(filepath.Join(dir, "lock"))
	require.NoError(t, err)
	_, err = durable.OS{}.Lock(filepath.Join(dir, "lock"))
	require.ErrorIs(t, err, durable.ErrLocked)
	require.NoError(t, real.Close())
	require.Error(t, durable.WriteFile(durable.OS{}, filepath.Join(dir, "none", "f"), func(io.Writer) error { return nil }))
}
