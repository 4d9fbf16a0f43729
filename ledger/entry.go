package ledger

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// EntryKind is the type of event that an Entry records.
type EntryKind uint8

// Kinds of entries.
const (
	KindCheckpointBegin EntryKind = iota + 1 // a checkpoint begins; the entries up to its end hold the whole state
	KindName                                 // defines a name: later entries refer to Text by Index
	KindAttempt                              // an attempt is about to be sent to Server; Usage counts earlier ones
	KindAnswer                               // Call is established, in time or not
	KindEnd                                  // Call is over; Usage is everything that it counts
	KindSpilled                              // usage of Count calls that ended in Period while the buffer was full
	KindRemoved                              // Call is no longer open: it is in totals or in another router's ledger
	KindClose                                // the periods from From to Period are closed, as statement number Sequence
	KindCheckpointEnd                        // a checkpoint ends; Period is the end of the last closed period
	KindUsedPeriod                           // only in a checkpoint: calls have ended in Period, which is not closed
)

// Entry is one record of the ledger. Which fields are used depends on Kind.
type Entry struct {
	Kind        EntryKind
	At          int64  // ledger time, in milliseconds since the Unix epoch
	Call        uint64 // the result of CallKey
	Tenant      uint32 // name index, as are Class and Server; 0 means none
	Class       uint32
	Server      uint32
	Attempt     uint32
	Retry       bool
	InTime      bool
	Established bool // KindEnd with an unknown result: the call is known to have been established
	Usage       Usage
	// Period is the start of the period for KindSpilled and KindUsedPeriod, the end of the closed range for KindClose
	// and KindCheckpointEnd, and the length of a period for KindCheckpointBegin.
	Period int64
	// From is the start of the range for KindClose, the time of the last attempt for a KindEnd with an unknown result,
	// the time of an event that is recorded later than it happened for KindAttempt and KindAnswer, and the
	// UnknownTimeout for KindCheckpointBegin.
	From     int64
	Index    uint32
	Text     string // KindName: the name; KindCheckpointBegin: the router's name
	Sequence uint64
	Count    uint64
	Grace    int64 // KindCheckpointBegin: Settings.Grace
}

// CallKey returns the number that identifies a call in the ledger: the value of an ID of 16 hex digits, or a hash of
// any other ID.
func CallKey(id string) uint64 {
	if len(id) == 16 {
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			return n
		}
	}
	return xxhash.Sum64String(id)
}

// FormatCallKey formats a call's key as an ID of 16 hex digits.
func FormatCallKey(key uint64) string { return fmt.Sprintf("%016x", key) }

// Append appends the encoded entry to b: field 1 of the protocol buffer message Entries in docs/formats/ledger.md.
func (e *Entry) Append(b []byte) []byte {
	b = protowire.AppendTag(b, 1, protowire.BytesType)
	start := len(b)
	b = append(b, 0) // placeholder for the length, which nearly always fits in one byte
	appendUint := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
		}
	}
	appendUint(1, uint64(e.Kind))
	appendUint(2, uint64(e.At))
	if e.Call != 0 {
		b = protowire.AppendFixed64(protowire.AppendTag(b, 3, protowire.Fixed64Type), e.Call)
	}
	appendUint(4, uint64(e.Tenant))
	appendUint(5, uint64(e.Class))
	appendUint(6, uint64(e.Server))
	appendUint(7, uint64(e.Attempt))
	appendUint(8, protowire.EncodeBool(e.Retry))
	appendUint(9, protowire.EncodeBool(e.InTime))
	appendUint(10, protowire.EncodeBool(e.Established))
	if e.Usage != (Usage{}) {
		b = protowire.AppendTag(b, 11, protowire.BytesType)
		size := len(b)
		b = append(b, 0)
		for field, n := range e.Usage {
			if n != 0 {
				b = append(b, byte(field))
				b = protowire.AppendVarint(b, protowire.EncodeZigZag(n))
			}
		}
		b = insertLength(b, size)
	}
	appendUint(12, uint64(e.Period))
	appendUint(13, uint64(e.From))
	appendUint(14, uint64(e.Index))
	if e.Text != "" {
		b = protowire.AppendString(protowire.AppendTag(b, 15, protowire.BytesType), e.Text)
	}
	appendUint(16, e.Sequence)
	appendUint(17, e.Count)
	appendUint(18, uint64(e.Grace))
	return insertLength(b, start)
}

// insertLength writes the length of the bytes after b[at], as a varint, at index at. If the varint needs more than the
// one byte that is reserved there, the bytes after it are moved.
func insertLength(b []byte, at int) []byte {
	n := len(b) - at - 1
	if n < 128 {
		b[at] = byte(n)
		return b
	}
	var size [10]byte
	encodedLength := protowire.AppendVarint(size[:0], uint64(n))
	b = append(b, encodedLength[1:]...)
	copy(b[at+len(encodedLength):], b[at+1:at+1+n])
	copy(b[at:], encodedLength)
	return b
}

var errMalformedEntry = errors.New("malformed ledger entry")

// Decode decodes the entries of a payload and passes them to each one by one; an Entry is valid only until each
// returns. It stops at the first error.
func Decode(b []byte, each func(*Entry) error) error {
	var e Entry
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 || n != 1 || t != protowire.BytesType {
			return errMalformedEntry
		}
		b = b[size:]
		message, size := protowire.ConsumeBytes(b)
		if size < 0 {
			return errMalformedEntry
		}
		b = b[size:]
		if err := e.decode(message); err != nil {
			return err
		}
		if err := each(&e); err != nil {
			return err
		}
	}
	return nil
}

// decode decodes one entry. Unknown fields, which a later version may write, are an error: an entry that is only
// partly understood would be counted wrongly.
func (e *Entry) decode(b []byte) error {
	*e = Entry{}
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errMalformedEntry
		}
		b = b[size:]
		switch t {
		case protowire.VarintType:
			v, size := protowire.ConsumeVarint(b)
			if size < 0 {
				return errMalformedEntry
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
				e.Established = protowire.DecodeBool(v)
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
				return errMalformedEntry
			}
		case protowire.Fixed64Type:
			v, size := protowire.ConsumeFixed64(b)
			if size < 0 || n != 3 {
				return errMalformedEntry
			}
			b, e.Call = b[size:], v
		case protowire.BytesType:
			v, size := protowire.ConsumeBytes(b)
			if size < 0 {
				return errMalformedEntry
			}
			b = b[size:]
			switch n {
			case 11:
				for len(v) > 0 {
					f := v[0]
					value, size := protowire.ConsumeVarint(v[1:])
					if size < 0 || f >= byte(FieldCount) {
						return errMalformedEntry
					}
					e.Usage[f] = protowire.DecodeZigZag(value)
					v = v[1+size:]
				}
			case 15:
				e.Text = string(v)
			default:
				return errMalformedEntry
			}
		default:
			return errMalformedEntry
		}
	}
	if e.Kind < KindCheckpointBegin || e.Kind > KindUsedPeriod {
		return fmt.Errorf("%w: kind %d", errMalformedEntry, e.Kind)
	}
	return nil
}
