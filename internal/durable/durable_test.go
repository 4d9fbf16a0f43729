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

// recordOwner is the owner of a log. Its state is a list of records, all of which are written in each checkpoint.
type recordOwner struct{ records []string }

func (o *recordOwner) load(f durable.FS) (durable.Scan, error) {
	o.records = nil
	return durable.ReadLog(f, "d", "x", 1, 0, func(_ durable.Position, _ *durable.Reader, kind uint16, p []byte) error {
		if kind == 1 { // a checkpoint starts
			o.records = nil
			return nil
		}
		o.records = append(o.records, string(p))
		return nil
	})
}

func (o *recordOwner) open(t *testing.T, f durable.FS) *durable.Log {
	s, err := o.load(f)
	require.NoError(t, err)
	l, err := durable.ContinueLog(durable.LogConfig{FS: f, Dir: "d", Name: "x", Kind: 1, MaxSegmentBytes: 300,
		Checkpoint: func() []durable.Frame {
			list := []durable.Frame{{Kind: 1}}
			for _, s := range o.records {
				list = append(list, durable.Frame{Kind: 2, Payload: []byte(s)})
			}
			return list
		}}, s)
	if err != nil {
		return nil
	}
	return l
}

// runLog appends, syncs and removes segments. It returns the records appended without an error, those of them that
// were synced, and all that were attempted.
func runLog(t *testing.T, f *durabletest.FS, from, n int) (appended, synced, attempted []string) {
	owner := &recordOwner{}
	l := owner.open(t, f)
	if l == nil {
		return
	}
	appended = append(appended, owner.records...)
	attempted = append(attempted, owner.records...)
	for i := from; i < from+n; i++ {
		text := fmt.Sprintf("entry %d", i)
		attempted = append(attempted, text)
		if l.Append(durable.Frame{Kind: 2, Payload: []byte(text)}) == nil {
			owner.records = append(owner.records, text)
			appended = append(appended, text)
		}
		if i%3 == 0 && l.Sync() == nil && len(appended) > 0 && appended[len(appended)-1] == text {
			synced = append([]string(nil), appended...)
		}
		if i%9 == 0 {
			l.RemoveSegments(l.Segment())
		}
	}
	l.Close()
	return
}

// TestFaultAtEveryStep injects each fault at each step of a run. Records that were appended without an error must
// survive, after a power failure only those that were synced. No record may appear twice, and one whose append failed
// must be complete or absent.
func TestFaultAtEveryStep(t *testing.T) {
	plain := durabletest.New(1)
	runLog(t, plain, 0, 20)
	steps := len(plain.Steps())
	require.Greater(t, steps, 60)
	for _, fault := range durabletest.Faults {
		for at := range steps {
			f := durabletest.New(uint64(at))
			f.Plan = func(s durabletest.Step) durabletest.Fault {
				if s.Index == at {
					return fault
				}
				return durabletest.None
			}
			name := fmt.Sprintf("%v at step %d", fault, at)
			appended, synced, attempted := runLog(t, f, 0, 20)
			f.Kill(fault == durabletest.PowerOff)
			f.Restart()
			var owner recordOwner
			_, err := owner.load(f)
			require.NoError(t, err, name)
			want := appended
			if fault == durabletest.PowerOff {
				want = synced
			}
			// All appended records are present in order, and only attempted ones.
			i := 0
			for _, s := range owner.records {
				for i < len(attempted) && attempted[i] != s {
					i++
				}
				require.Less(t, i, len(attempted), "%s: %q is out of order or duplicated: %q", name, s, owner.records)
				i++
			}
			require.Subset(t, owner.records, want, name)
			more, _, _ := runLog(t, f, 100, 5) // the log can be continued
			require.Len(t, more, len(owner.records)+5, name)
			_, err = owner.load(f)
			require.NoError(t, err, name)
			require.Equal(t, more, owner.records, name)
		}
	}
}

// TestBitFlips flips each bit of a log in turn: reading must fail with an error that names the file, and the offset
// unless the version was changed.
func TestBitFlips(t *testing.T) {
	f := durabletest.New(1)
	owner := &recordOwner{}
	l := owner.open(t, f)
	for i := range 6 {
		require.NoError(t, l.Append(durable.Frame{Kind: 2, Payload: fmt.Appendf(nil, "entry %d %0100d", i, 0)}))
		owner.records = append(owner.records, "")
	}
	names, _ := f.List("d")
	require.Greater(t, len(names), 1)
	for _, name := range names {
		path := filepath.Join("d", name)
		for bit := range 8 * f.Size(path) {
			f.FlipBit(path, bit)
			_, err := owner.load(f)
			var damage *durable.DamageError
			require.True(t, errors.As(err, &damage) || errors.Is(err, durable.ErrNewerVersion),
				"%s bit %d: %v", path, bit, err)
			require.ErrorContains(t, err, "d/x-0000000")
			f.FlipBit(path, bit)
		}
	}
	_, err := owner.load(f)
	require.NoError(t, err)
}

// TestTruncation truncates the last segment at each byte: complete frames are read, and the rest is reported as torn.
func TestTruncation(t *testing.T) {
	f := durabletest.New(1)
	owner := &recordOwner{}
	l := owner.open(t, f)
	for i := range 5 {
		require.NoError(t, l.Append(durable.Frame{Kind: 2, Payload: fmt.Appendf(nil, "entry %d", i)}))
	}
	path := "d/x-00000001.tgl"
	const (
		firstRecord = 48 + 16             // after the file header and the checkpoint's frame, which has no payload
		recordSize  = 16 + len("entry 0") // frame header and payload
	)
	for size := f.Size(path) - 1; size > firstRecord; size-- {
		f.Truncate(path, size)
		s, err := owner.load(f)
		require.NoError(t, err)
		complete := (size - firstRecord) / recordSize
		require.Len(t, owner.records, complete)
		require.Equal(t, (size-firstRecord)%recordSize != 0, len(s.Torn) == 1)
	}
}

// TestFileKindAndLock checks that a file of another kind is rejected, that a lock is exclusive until it is
// closed, and that WriteFile fails in a missing directory.
func TestFileKindAndLock(t *testing.T) {
	f := durabletest.New(1)
	l := (&recordOwner{}).open(t, f)
	require.NoError(t, l.Append(durable.Frame{Kind: 2}))
	_, err := durable.Open(f, "d/x-00000001.tgl", 2)
	require.ErrorContains(t, err, "file is of kind 1, want kind 2")
	lock, err := f.Lock("d/lock")
	require.NoError(t, err)
	_, err = f.Lock("d/lock")
	require.ErrorIs(t, err, durable.ErrLocked)
	require.NoError(t, lock.Close())
	dir := t.TempDir()
	osLock, err := durable.OS{}.Lock(filepath.Join(dir, "lock"))
	require.NoError(t, err)
	_, err = durable.OS{}.Lock(filepath.Join(dir, "lock"))
	require.ErrorIs(t, err, durable.ErrLocked)
	require.NoError(t, osLock.Close())
	require.Error(t, durable.WriteFile(durable.OS{}, filepath.Join(dir, "none", "f"),
		func(io.Writer) error { return nil }))
}
