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

// A keeper's directory holds one durable log. Each of its segments begins with a checkpoint of the whole state, see
// docs/formats/fleet.md. A keeper acknowledges only what has been synced; after a failed write this process doesn't
// write to the directory again.

const (
	kindFleet = 6 // file kind in the header of each segment
	logName   = "fleet"
	lockName  = "fleet.lock"

	frameIdentity  = 1
	frameSnapshot  = 2 // supersedes all earlier entries
	frameEntry     = 3 // replaces earlier entries of the same and higher index
	frameHardState = 4
)

// ErrNoFiles is returned for a directory without a keeper's complete state.
var ErrNoFiles = errors.New("no files of a keeper: create a new fleet with 'threadglade fleet found', " +
	"or restore this keeper's own files; a keeper without them must not vote")

// Contents is the state read from a keeper's directory, and where its log ends.
type Contents struct {
	fleet.Stored
	durable.Scan
}

// Load reads a keeper's directory without locking or changing it. If it is damaged, the error names the segment and
// the offset; if the state is missing or incomplete, the error wraps ErrNoFiles.
func Load(fs durable.FS, dir string) (c Contents, err error) {
	c.Scan, err = durable.ReadLog(fs, dir, logName, kindFleet, 0, func(
		at durable.Position, _ *durable.Reader, kind uint16, b []byte,
	) error {
		if err := c.addFrame(kind, b); err != nil {
			return fmt.Errorf("%s: segment %d, offset %d: %w", dir, at.Segment, at.Offset, err)
		}
		return nil
	})
	if err == nil && (c.Identity == nil || c.Snapshot == nil || c.HardState == nil) {
		err = fmt.Errorf("%s: %w", dir, ErrNoFiles)
	}
	return c, err
}

// addFrame decodes one frame of the log and applies it to the state.
func (c *Contents) addFrame(kind uint16, b []byte) error {
	switch kind {
	case frameIdentity:
		one := &fleetpb.Identity{}
		if err := proto.Unmarshal(b, one); err != nil {
			return err
		}
		if c.Identity != nil && !proto.Equal(one, c.Identity) {
			return errors.New("the directory contains files of several keepers")
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
	case frameHardState:
		one := &raftpb.HardState{}
		return errors.Join(proto.Unmarshal(b, one), c.Apply(&fleet.StoreUpdate{HardState: one}))
	default:
		return fmt.Errorf("unknown frame kind %d", kind)
	}
	return nil
}

// encodeFrames returns the frames that represent a state, in the order in which Load expects them.
func encodeFrames(s fleet.Stored) (list []durable.Frame, err error) {
	add := func(kind uint16, m proto.Message) {
		b, marshalErr := proto.Marshal(m)
		err = errors.Join(err, marshalErr)
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
		add(frameHardState, s.HardState)
	}
	return list, err
}

// CreateKeeperFiles writes the directory of a keeper of a new fleet. It returns an error if the directory already
// holds a keeper's files, and then leaves them unchanged.
func CreateKeeperFiles(fs durable.FS, dir string, s fleet.Stored) error {
	if err := fs.MakeDir(dir); err != nil {
		return err
	}
	numbers, err := durable.ListSegments(fs, dir, logName)
	if err == nil && len(numbers) > 0 {
		err = fmt.Errorf("%s: already contains a keeper's files", dir)
	}
	if err != nil {
		return err
	}
	list, err := encodeFrames(s)
	if err != nil {
		return err
	}
	l, err := durable.ContinueLog(durable.LogConfig{FS: fs, Dir: dir, Name: logName, Kind: kindFleet,
		MaxSegmentBytes: 1 << 20,
		Checkpoint:      func() []durable.Frame { return list }}, durable.Scan{})
	if err != nil {
		return err
	}
	return errors.Join(l.Append(), l.Close())
}

// store is a keeper's directory, locked and open for writing.
type store struct {
	log           *durable.Log // nil until openLog
	lock          io.Closer
	fs            durable.FS
	dir           string
	lastSegment   uint64 // segment of the last write; older ones have been deleted
	checkpointErr error  // why the checkpoint at the start of a new segment failed
}

// openStore locks a directory and reads it. openLog has to be called before the first write.
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
	return &store{lock: lock, fs: fs, dir: dir, lastSegment: 0}, c, nil
}

// openLog opens the log for writing, with checkpoints from the keeper; a new segment begins at maxSegmentBytes.
func (s *store) openLog(k *fleet.Keeper, scan durable.Scan, maxSegmentBytes int64) (err error) {
	s.log, err = durable.ContinueLog(durable.LogConfig{FS: s.fs, Dir: s.dir, Name: logName, Kind: kindFleet,
		MaxSegmentBytes: maxSegmentBytes,
		Checkpoint: func() []durable.Frame {
			var list []durable.Frame
			c, err := k.Checkpoint()
			if err == nil {
				list, err = encodeFrames(c)
			}
			s.checkpointErr = err
			return list
		}}, scan)
	return err
}

// write appends a keeper's update, and syncs it if MustSync is set. Older segments are deleted once a new one has
// begun. After an error the keeper has to halt.
func (s *store) write(update *fleet.StoreUpdate) error {
	if fleet.Mutated() == "unwritten" {
		return nil
	}
	list, err := encodeFrames(fleet.Stored{
		Snapshot: update.Snapshot, Entries: update.Entries, HardState: update.HardState})
	if err != nil {
		return err
	}
	if err := errors.Join(s.log.Append(list...), s.checkpointErr); err != nil {
		return err
	}
	if update.MustSync {
		if err := s.log.Sync(); err != nil {
			return err
		}
	}
	if segment := s.log.Segment(); segment != s.lastSegment {
		s.lastSegment = segment
		if _, err := s.log.RemoveSegments(segment); err != nil {
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
