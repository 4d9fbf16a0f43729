package fleetio

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"threadglade.example/threadglade/fleet"
	"threadglade.example/threadglade/fleet/fleetpb"
	"threadglade.example/threadglade/internal/durable"
)

// A keeper's folder: one durable log whose segments each begin with all that has to be known, docs/formats/fleet.md. What was not synced is never
// answered for; after a write that failed the folder is not written again by this process.

const (
	kindFleet = 6 // of files
	logName   = "fleet"
	lockName  = "fleet.lock"

	frameIdentity = 1
	frameSnapshot = 2 // and no entry from before it counts
	frameEntry    = 3 // in the place of those of its index and after
	frameHard     = 4
)

// ErrNoFiles says that a folder is not a keeper's, or not any more.
var ErrNoFiles = errors.New("no files of a keeper: found a new fleet with 'threadglade fleet found', or bring this keeper's own files back; a keeper without them must not vote")

// Contents is what reading a keeper's folder finds.
type Contents struct {
	fleet.Stored
	durable.Scan
}

// Load reads a keeper's folder. The error names file and place where it is damaged, and wraps ErrNoFiles where it holds nothing.
func Load(fs durable.FS, dir string) (c Contents, err error) {
	c.Scan, err = durable.Read(fs, dir, logName, kindFleet, 0, func(at durable.Place, _ *durable.Reader, kind uint16, b []byte) error {
		if err := c.take(kind, b); err != nil {
			return fmt.Errorf("%s: segment %d, offset %d: %w", dir, at.Segment, at.Offset, err)
		}
		return nil
	})
	if err == nil && (c.Identity == nil || c.Snapshot == nil || c.HardState == nil) {
		err = fmt.Errorf("%s: %w", dir, ErrNoFiles)
	}
	return c, err
}

func (c *Contents) take(kind uint16, b []byte) error {
	switch kind {
	case frameIdentity:
		one := &fleetpb.Identity{}
		if err := proto.Unmarshal(b, one); err != nil {
			return err
		}
		if c.Identity != nil && !proto.Equal(one, c.Identity) {
			return errors.New("another keeper's files stand among these")
		}
		c.Identity = one
	case frameSnapshot:
		one := &raftpb.Snapshot{}
		return errors.Join(proto.Unmarshal(b, one), c.Apply(&fleet.StoreUpdate{Snapshot: one}))
	case frameEntry:
		one := &raftpb.Entry{}
		if err := proto.Unmarshal(b, one); err != nil {
			return err
		}
		return c.Apply(&fleet.StoreUpdate{Entries: []*raftpb.Entry{one}})
	case frameHard:
		one := &raftpb.HardState{}
		return errors.Join(proto.Unmarshal(b, one), c.Apply(&fleet.StoreUpdate{HardState: one}))
	default:
		return fmt.Errorf("a frame of kind %d", kind)
	}
	return nil
}

func frames(s fleet.Stored) (list []durable.Frame, err error) {
	add := func(kind uint16, m proto.Message) {
		b, bad := proto.Marshal(m)
		err = errors.Join(err, bad)
		list = append(list, durable.Frame{Kind: kind, Payload: b})
	}
	if s.Identity != nil {
		add(frameIdentity, s.Identity)
	}
	if s.Snapshot != nil {
		add(frameSnapshot, s.Snapshot)
	}
	for _, e := range s.Entries {
		add(frameEntry, e)
	}
	if s.HardState != nil {
		add(frameHard, s.HardState)
	}
	return list, err
}

// Found writes the folder of a keeper of a new fleet. A folder that holds files already is an error and is not touched.
func Found(fs durable.FS, dir string, s fleet.Stored) error {
	if err := fs.MakeDir(dir); err != nil {
		return err
	}
	numbers, err := durable.Segments(fs, dir, logName)
	if err == nil && len(numbers) > 0 {
		err = fmt.Errorf("%s: holds a keeper's files already", dir)
	}
	if err != nil {
		return err
	}
	list, err := frames(s)
	if err != nil {
		return err
	}
	l, err := durable.Continue(durable.LogConfig{FS: fs, Dir: dir, Name: logName, Kind: kindFleet, Roll: 1 << 20,
		Checkpoint: func() []durable.Frame { return list }}, durable.Scan{})
	if err != nil {
		return err
	}
	return errors.Join(l.Append(), l.Close())
}

// store is a folder that its keeper writes.
type store struct {
	log  *durable.Log
	lock io.Closer
	fs   durable.FS
	dir  string
	have uint64 // segment written last
	bad  error  // why a new segment could not begin with all that has to be known
}

// openStore locks a folder and reads it; the keeper made of it gives the checkpoints.
func openStore(fs durable.FS, dir string) (*store, Contents, error) {
	if err := fs.MakeDir(dir); err != nil {
		return nil, Contents{}, err
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, Contents{}, err
	}
	c, err := Load(fs, dir)
	if err != nil {
		lock.Close()
		return nil, c, err
	}
	return &store{lock: lock, fs: fs, dir: dir, have: 0}, c, nil
}

// begin opens the log for writing; roll is the size in bytes at which a new segment begins.
func (s *store) begin(k *fleet.Keeper, scan durable.Scan, roll int64) (err error) {
	s.log, err = durable.Continue(durable.LogConfig{FS: s.fs, Dir: s.dir, Name: logName, Kind: kindFleet, Roll: roll, Checkpoint: func() []durable.Frame {
		var list []durable.Frame
		c, err := k.Checkpoint()
		if err == nil {
			list, err = frames(c)
		}
		s.bad = err
		return list
	}}, scan)
	return err
}

// write makes what a keeper wants stored last. After an error the keeper has to halt.
func (s *store) write(o *fleet.StoreUpdate) error {
	if fleet.Mutated() == "unwritten" {
		return nil
	}
	list, err := frames(fleet.Stored{Snapshot: o.Snapshot, Entries: o.Entries, HardState: o.HardState})
	if err != nil {
		return err
	}
	if err := errors.Join(s.log.Append(list...), s.bad); err != nil {
		return err
	}
	if o.MustSync {
		if err := s.log.Sync(); err != nil {
			return err
		}
	}
	if now := s.log.Segment(); now != s.have {
		s.have = now
		if _, err := s.log.Drop(now); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) close() error {
	err := error(nil)
	if s.log != nil {
		err = s.log.Close()
	}
	return errors.Join(err, s.lock.Close())
}
