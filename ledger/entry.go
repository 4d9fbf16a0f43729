package ledger

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// EntryKind says what an Entry records.
type EntryKind uint8

// Kinds of entries.
const (
	Begin   EntryKind = iota + 1 // a checkpoint begins: what was known is told anew by the entries up to Mark
	Name                         // Index stands for Text from now on
	Intent                       // an attempt of Call is about to leave for Server; Usage is that of the attempts before
	Answer                       // Call stands, in time or not
	End                          // Call is over; Usage is all that it counts
	Spilled                      // Usage of calls that ended in Period while single entries could not be kept; Count of them
	Gone                         // Call is over and counted in Spilled
	Close                        // the periods from From to Period are closed, as the Sequence-th statement
	Mark                         // the checkpoint ends: the time, the last closed period and Sequence
	Used                         // of a checkpoint: calls have ended in Period, which is not closed
)

// Entry is one record of the book. Which fields count depends on Kind.
type Entry struct {
	Kind     EntryKind
	At       int64  // ledger time, in milliseconds since the Unix epoch
	Call     uint64 // as CallKey makes it
	Tenant   uint32 // by Name; so Class and Server
	Class    uint32
	Server   uint32
	Attempt  uint32
	Retry    bool
	InTime   bool
	Stood    bool // of an End whose outcome is unknown: that the call stood is known
	Usage    Usage
	Period   int64 // of Spilled: its beginning; of Close: the end of what is closed; of Begin: the length
	From     int64 // of Close: the beginning; of End: since when the attempt was out
	Index    uint32
	Text     string // of Begin: the router's name
	Sequence uint64
	Count    uint64
	Grace    int64 // of Begin
}

// CallKey is the number that stands for a call in the books: the value of its 16 hex digits, or a hash of any other id.
func CallKey(id string) uint64 {
	if len(id) == 16 {
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			return n
		}
	}
	return xxhash.Sum64String(id)
}

// CallText writes a call's number as its id.
func CallText(key uint64) string { return fmt.Sprintf("%016x", key) }

// Append writes an entry behind others, as a protocol buffer of docs/formats/ledger.md: field 1 of the message Entries.
func (e *Entry) Append(b []byte) []byte {
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	at := len(b)
	b = append(b, 0) // the length, of one byte in nearly all cases
	num := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
		}
	}
	num(1, uint64(e.Kind))
	num(2, uint64(e.At))
	if e.Call != 0 {
		b = protowire.AppendFixed64(protowire.AppendTag(b, 3, protowire.Fixed64Type), e.Call)
	}
	num(4, uint64(e.Tenant))
	num(5, uint64(e.Class))
	num(6, uint64(e.Server))
	num(7, uint64(e.Attempt))
	num(8, protowire.EncodeBool(e.Retry))
	num(9, protowire.EncodeBool(e.InTime))
	num(10, protowire.EncodeBool(e.Stood))
	if e.Usage != (Usage{}) {
		b = protowire.AppendTag(b, 11, protowire.BytesType)
		size := len(b)
		b = append(b, 0)
		for f, n := range e.Usage {
			if n != 0 {
				b = append(b, byte(f))
				b = protowire.AppendVarint(b, protowire.EncodeZigZag(n))
			}
		}
		b = fit(b, size)
	}
	num(12, uint64(e.Period))
	num(13, uint64(e.From))
	num(14, uint64(e.Index))
	if e.Text != "" {
		b = protowire.AppendString(protowire.AppendTag(b, 15, protowire.BytesType), e.Text)
	}
	num(16, e.Sequence)
	num(17, e.Count)
	num(18, uint64(e.Grace))
	return fit(b, at)
}

// fit puts the length of all that follows the byte at into it, moving what follows where one byte is too few.
func fit(b []byte, at int) []byte {
	n := len(b) - at - 1
	if n < 128 {
		b[at] = byte(n)
		return b
	}
	var size [10]byte
	head := protowire.AppendVarint(size[:0], uint64(n))
	b = append(b, head[1:]...)
	copy(b[at+len(head):], b[at+1:at+1+n])
	copy(b[at:], head)
	return b
}

var errEntry = errors.New("an entry that cannot be read")

// Decode reads all entries of a payload.
func Decode(b []byte, each func(*Entry) error) error {
	var e Entry
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 || n != 1 || t != protowire.BytesType {
			return errEntry
		}
		b = b[size:]
		one, size := protowire.ConsumeBytes(b)
		if size < 0 {
			return errEntry
		}
		b = b[size:]
		if err := e.read(one); err != nil {
			return err
		}
		if err := each(&e); err != nil {
			return err
		}
	}
	return nil
}

// read takes one entry. Fields of later programs are an error: an entry that is understood in part would count wrongly.
func (e *Entry) read(b []byte) error {
	*e = Entry{}
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errEntry
		}
		b = b[size:]
		switch t {
		case protowire.VarintType:
			v, size := protowire.ConsumeVarint(b)
			if size < 0 {
				return errEntry
			}
			b = b[size:]
			switch n {
			case 1:
				e.Kind = EntryKind(v)
			case 2:
				e.At = int64(v)
			case 4:
				e.Tenant = uint32(v)
			case 5:
				e.Class = uint32(v)
			case 6:
				e.Server = uint32(v)
			case 7:
				e.Attempt = uint32(v)
			case 8:
				e.Retry = protowire.DecodeBool(v)
			case 9:
				e.InTime = protowire.DecodeBool(v)
			case 10:
				e.Stood = protowire.DecodeBool(v)
			case 12:
				e.Period = int64(v)
			case 13:
				e.From = int64(v)
			case 14:
				e.Index = uint32(v)
			case 16:
				e.Sequence = v
			case 17:
				e.Count = v
			case 18:
				e.Grace = int64(v)
			default:
				return errEntry
			}
		case protowire.Fixed64Type:
			v, size := protowire.ConsumeFixed64(b)
			if size < 0 || n != 3 {
				return errEntry
			}
			b, e.Call = b[size:], v
		case protowire.BytesType:
			v, size := protowire.ConsumeBytes(b)
			if size < 0 {
				return errEntry
			}
			b = b[size:]
			switch n {
			case 11:
				for len(v) > 0 {
					f := v[0]
					figure, size := protowire.ConsumeVarint(v[1:])
					if size < 0 || f >= byte(Fields) {
						return errEntry
					}
					e.Usage[f] = protowire.DecodeZigZag(figure)
					v = v[1+size:]
				}
			case 15:
				e.Text = string(v)
			default:
				return errEntry
			}
		default:
			return errEntry
		}
	}
	if e.Kind < Begin || e.Kind > Used {
		return fmt.Errorf("%w: kind %d", errEntry, e.Kind)
	}
	return nil
}
