package health

import (
	"encoding/binary"
	"errors"
	"fmt"

	"otterturn/scheduler"
)

// Message format: magic byte, version byte, incarnation (7 bytes, big-endian), sequence number (unsigned varint), the
// sender's clock in milliseconds since its incarnation began (signed varint), then entries. An entry has 10 bytes: the
// node's key (5 bytes), the node's start in milliseconds (3 bytes, modulo 2^24), and 2 bytes with the state in the upper
// 3 bits and the age in milliseconds in the lower 13 bits.
const (
	MaxMessageBytes = 256 // maximum bytes of a message

	messageMagic     = 0xF1
	messageVersion   = 1
	fixedHeaderBytes = 9 // magic byte, version and incarnation
	maxHeaderBytes   = fixedHeaderBytes + 2*binary.MaxVarintLen64
	entryBytes       = 10
	keyBits          = 40
	startBits        = 24
	ageBits          = 13
	incarnationBits  = 56
	milli            = scheduler.Micros(1000)
	maxAge           = (1<<ageBits - 1) * milli
)

// entriesPerMessage is the number of entries that fit into a message with a header of maximum size.
const entriesPerMessage = (MaxMessageBytes - maxHeaderBytes) / entryBytes

// Errors that Decode wraps.
var (
	ErrNotMessage = errors.New("not a health message")
	ErrVersion    = errors.New("unsupported version of a health message")
	ErrTruncated  = errors.New("health message is truncated")
	ErrTooLong    = errors.New("health message is too long")
	ErrState      = errors.New("health message has an invalid state")
	ErrHeader     = errors.New("health message has an invalid header")
)

// IsMessage reports whether a datagram between fronts is a health message, of any version.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == messageMagic }

// Encode returns the encoded message. Entries beyond MaxMessageBytes bytes are omitted, starting from the last.
func (m Message) Encode() []byte {
	out := make([]byte, 0, MaxMessageBytes)
	out = append(out, messageMagic, messageVersion)
	out = appendBits(out, uint64(m.Incarnation), incarnationBits)
	out = binary.AppendUvarint(out, uint64(m.Sequence))
	out = binary.AppendVarint(out, floorMillis(m.Sent-scheduler.Micros(m.Incarnation)))
	for _, e := range m.Entries {
		if len(out)+entryBytes > MaxMessageBytes {
			break
		}
		out = e.append(out)
	}
	return out
}

// size returns the number of bytes that Encode returns.
func (m Message) size() int {
	var scratch [binary.MaxVarintLen64]byte
	header := fixedHeaderBytes + binary.PutUvarint(scratch[:], uint64(m.Sequence))
	header += binary.PutVarint(scratch[:], floorMillis(m.Sent-scheduler.Micros(m.Incarnation)))
	return header + entryBytes*min(len(m.Entries), (MaxMessageBytes-header)/entryBytes)
}

func (e Entry) append(out []byte) []byte {
	out = appendBits(out, e.Node, keyBits)
	out = appendBits(out, uint64(e.StartedAt/milli), startBits)
	state := uint16(0) // Decode rejects it
	if e.State <= StillSilent {
		state = uint16(e.State)
	}
	age := uint16(min(max(e.Age, 0), maxAge) / milli)
	return binary.BigEndian.AppendUint16(out, state<<ageBits|age)
}

// Decode decodes a message.
func Decode(data []byte) (Message, error) {
	switch {
	case !IsMessage(data):
		return Message{}, ErrNotMessage
	case len(data) > MaxMessageBytes:
		return Message{}, fmt.Errorf("%w: %d bytes", ErrTooLong, len(data))
	case len(data) < 2:
		return Message{}, ErrTruncated
	case data[1] != messageVersion:
		return Message{}, fmt.Errorf("%w: %d", ErrVersion, data[1])
	case len(data) < fixedHeaderBytes:
		return Message{}, ErrTruncated
	}
	out := Message{Incarnation: int64(bits(data[2:fixedHeaderBytes]))}
	rest := data[fixedHeaderBytes:]
	sequence, n := binary.Uvarint(rest)
	if err := varintError(n, sequence > 1<<32-1); err != nil {
		return Message{}, fmt.Errorf("sequence: %w", err)
	}
	rest = rest[n:]
	sent, n := binary.Varint(rest)
	if err := varintError(n, sent > 1<<incarnationBits/1000 || sent < -1<<incarnationBits/1000); err != nil {
		return Message{}, fmt.Errorf("clock: %w", err)
	}
	rest = rest[n:]
	out.Sequence, out.Sent = uint32(sequence), scheduler.Micros(out.Incarnation)+scheduler.Micros(sent)*milli
	if len(rest)%entryBytes != 0 {
		return Message{}, fmt.Errorf("%w: %d bytes of entries", ErrTruncated, len(rest))
	}
	for i := 0; i < len(rest); i += entryBytes {
		entry, err := decodeEntry(rest[i : i+entryBytes])
		if err != nil {
			return Message{}, fmt.Errorf("entry %d: %w", i/entryBytes, err)
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

func decodeEntry(data []byte) (Entry, error) {
	stateAndAge := binary.BigEndian.Uint16(data[8:])
	e := Entry{
		Node:      bits(data[:5]),
		StartedAt: scheduler.Micros(bits(data[5:8])) * milli,
		State:     State(stateAndAge >> ageBits),
		Age:       scheduler.Micros(stateAndAge&(1<<ageBits-1)) * milli,
	}
	if e.State < Reachable || e.State > StillSilent {
		return Entry{}, fmt.Errorf("%w: %d", ErrState, e.State)
	}
	return e, nil
}

// varintError returns the error of decoding a varint, nil if there is none. n is the length that binary.Uvarint returned: 0 for
// truncated input, negative for overflow. outOfRange reports whether the decoded value is out of its range.
func varintError(n int, outOfRange bool) error {
	switch {
	case n == 0:
		return ErrTruncated
	case n < 0 || outOfRange:
		return ErrHeader
	}
	return nil
}

// appendBits appends the lowest bits of v in big-endian order; bits must be a multiple of 8.
func appendBits(out []byte, v uint64, bits int) []byte {
	for shift := bits - 8; shift >= 0; shift -= 8 {
		out = append(out, byte(v>>shift))
	}
	return out
}

// bits decodes a big-endian unsigned integer.
func bits(data []byte) uint64 {
	v := uint64(0)
	for _, b := range data {
		v = v<<8 | uint64(b)
	}
	return v
}

// floorMillis converts a time to whole milliseconds, rounded down.
func floorMillis(t scheduler.Micros) int64 {
	ms := int64(t / milli)
	if t < 0 && t%milli != 0 {
		ms--
	}
	return ms
}

// encodeStart returns a node's start in the encoding of entries: whole milliseconds, modulo 2^24 ms.
func encodeStart(start scheduler.Micros) scheduler.Micros {
	return scheduler.Micros(uint64(floorMillis(start))&(1<<startBits-1)) * milli
}

// startedLater reports whether encoded start a is later than b. The encoding wraps around, so the shorter distance counts.
func startedLater(a, b scheduler.Micros) bool {
	difference := uint64(a/milli-b/milli) & (1<<startBits - 1)
	return difference > 0 && difference < 1<<(startBits-1)
}
