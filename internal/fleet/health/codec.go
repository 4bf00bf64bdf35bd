package health

import (
	"encoding/binary"
	"errors"
	"fmt"

	"otterturn/scheduler"
)

// The form of a message: mark, version, run (7 bytes, big-endian), sequence (unsigned varint), the sender's clock in
// milliseconds since its run (signed varint), then entries. An entry is the key (5 bytes), the node's start in
// milliseconds (3 bytes, modulo 2^24), and two bytes with the state in the upper 3 bits and the age in milliseconds below.
const (
	MessageLimit = 256 // bytes of a message at most

	messageMark    = 0xF1
	messageVersion = 1
	fixedBytes     = 9 // mark, version and run
	longestHeader  = fixedBytes + 2*binary.MaxVarintLen64
	entryBytes     = 10
	keyBits        = 40
	sinceBits      = 24
	ageBits        = 13
	runBits        = 56
	milli          = scheduler.Micros(1000)
	longestAge     = (1<<ageBits - 1) * milli
)

// entriesPerMessage fit into a message whatever its header takes.
const entriesPerMessage = (MessageLimit - longestHeader) / entryBytes

// Why Decode may refuse a message. Errors wrap one of these.
var (
	ErrNotMessage = errors.New("not a health message")
	ErrVersion    = errors.New("health message of another version")
	ErrCut        = errors.New("health message is cut")
	ErrTooLong    = errors.New("health message is too long")
	ErrState      = errors.New("health message has an impossible state")
	ErrHeader     = errors.New("health message has an impossible header")
)

// IsMessage tells a health message, of whichever version, from the other datagrams between fronts.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == messageMark }

// Encode returns the message's bytes. What does not fit into MessageLimit is left out, the last entries first.
func (m Message) Encode() []byte {
	out := make([]byte, 0, MessageLimit)
	out = append(out, messageMark, messageVersion)
	out = appendBits(out, uint64(m.Incarnation), runBits)
	out = binary.AppendUvarint(out, uint64(m.Sequence))
	out = binary.AppendVarint(out, floorMillis(m.Sent-scheduler.Micros(m.Incarnation)))
	for _, e := range m.Entries {
		if len(out)+entryBytes > MessageLimit {
			break
		}
		out = e.append(out)
	}
	return out
}

// size is how many bytes Encode returns.
func (m Message) size() int {
	var scratch [binary.MaxVarintLen64]byte
	header := fixedBytes + binary.PutUvarint(scratch[:], uint64(m.Sequence))
	header += binary.PutVarint(scratch[:], floorMillis(m.Sent-scheduler.Micros(m.Incarnation)))
	return header + entryBytes*min(len(m.Entries), (MessageLimit-header)/entryBytes)
}

func (e Entry) append(out []byte) []byte {
	out = appendBits(out, e.Node, keyBits)
	out = appendBits(out, uint64(e.Since/milli), sinceBits)
	state := uint16(0) // Decode refuses it
	if e.State <= StillSilent {
		state = uint16(e.State)
	}
	age := uint16(min(max(e.Age, 0), longestAge) / milli)
	return binary.BigEndian.AppendUint16(out, state<<ageBits|age)
}

// Decode reads a message.
func Decode(data []byte) (Message, error) {
	switch {
	case !IsMessage(data):
		return Message{}, ErrNotMessage
	case len(data) > MessageLimit:
		return Message{}, fmt.Errorf("%w: %d bytes", ErrTooLong, len(data))
	case len(data) < 2:
		return Message{}, ErrCut
	case data[1] != messageVersion:
		return Message{}, fmt.Errorf("%w: %d", ErrVersion, data[1])
	case len(data) < fixedBytes:
		return Message{}, ErrCut
	}
	out := Message{Incarnation: int64(bits(data[2:fixedBytes]))}
	rest := data[fixedBytes:]
	sequence, n := binary.Uvarint(rest)
	if err := varintError(n, sequence > 1<<32-1); err != nil {
		return Message{}, fmt.Errorf("sequence: %w", err)
	}
	rest = rest[n:]
	sent, n := binary.Varint(rest)
	if err := varintError(n, sent > 1<<runBits/1000 || sent < -1<<runBits/1000); err != nil {
		return Message{}, fmt.Errorf("clock: %w", err)
	}
	rest = rest[n:]
	out.Sequence, out.Sent = uint32(sequence), scheduler.Micros(out.Incarnation)+scheduler.Micros(sent)*milli
	if len(rest)%entryBytes != 0 {
		return Message{}, fmt.Errorf("%w: %d bytes of entries", ErrCut, len(rest))
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
	last := binary.BigEndian.Uint16(data[8:])
	e := Entry{
		Node:  bits(data[:5]),
		Since: scheduler.Micros(bits(data[5:8])) * milli,
		State: State(last >> ageBits),
		Age:   scheduler.Micros(last&(1<<ageBits-1)) * milli,
	}
	if e.State < Reachable || e.State > StillSilent {
		return Entry{}, fmt.Errorf("%w: %d", ErrState, e.State)
	}
	return e, nil
}

// varintError tells why a number of n bytes can't be: cut where n is 0, outside its bounds where told so or below 0.
func varintError(n int, outside bool) error {
	switch {
	case n == 0:
		return ErrCut
	case n < 0 || outside:
		return ErrHeader
	}
	return nil
}

// appendBits appends the lower bits of a number, big-endian; bits is a multiple of 8.
func appendBits(out []byte, v uint64, bits int) []byte {
	for shift := bits - 8; shift >= 0; shift -= 8 {
		out = append(out, byte(v>>shift))
	}
	return out
}

// bits reads a big-endian number.
func bits(data []byte) uint64 {
	v := uint64(0)
	for _, b := range data {
		v = v<<8 | uint64(b)
	}
	return v
}

// floorMillis is a time in whole milliseconds, rounded down.
func floorMillis(t scheduler.Micros) int64 {
	ms := int64(t / milli)
	if t < 0 && t%milli != 0 {
		ms--
	}
	return ms
}

// wireSince is a node's start as entries carry it.
func wireSince(since scheduler.Micros) scheduler.Micros {
	return scheduler.Micros(uint64(floorMillis(since))&(1<<sinceBits-1)) * milli
}

// startedLater tells whether a start, as entries carry it, is later than another one, by the shorter way round.
func startedLater(a, b scheduler.Micros) bool {
	ahead := uint64(a/milli-b/milli) & (1<<sinceBits - 1)
	return ahead > 0 && ahead < 1<<(sinceBits-1)
}
