package health

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"

	"otterturn/scheduler"
)

func randomMessage(random *rand.Rand, entries int) Message {
	m := Message{Incarnation: random.Int64N(1 << 52), Sequence: random.Uint32()}
	m.Sent = scheduler.Micros(m.Incarnation) + scheduler.Micros(random.Int64N(1<<40)-1<<30)*milli
	for range entries {
		m.Entries = append(m.Entries, Entry{
			Node: random.Uint64N(1 << keyBits), StartedAt: scheduler.Micros(random.Uint64N(1<<startBits)) * milli,
			State: Reachable + State(random.IntN(3)), Age: scheduler.Micros(random.Uint64N(1<<ageBits)) * milli,
		})
	}
	return m
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	random := newRandom(1)
	for i := range 5000 {
		m := randomMessage(random, i%(entriesPerMessage+1))
		data := m.Encode()
		if len(data) > MaxMessageBytes || len(data) != m.size() || !IsMessage(data) {
			t.Fatalf("encoded %d bytes, size() returns %d", len(data), m.size())
		}
		decoded, err := Decode(data)
		if err != nil || !reflect.DeepEqual(decoded, m) {
			t.Fatalf("error %v, decoded %+v, want %+v", err, decoded, m)
		}
	}
}

// Messages that a Monitor sends are unchanged by encoding and decoding: it rounds all times to milliseconds itself.
func TestSentMessagesRoundTrip(t *testing.T) {
	w := newSimulation(1, zonesOf(1, 5), 30, nil)
	sent := 0
	w.onAction = func(_ *simFront, a Action) {
		if s, ok := a.(SendMessage); ok {
			sent++
			decoded, err := Decode(s.Message.Encode())
			if err != nil || !reflect.DeepEqual(decoded, s.Message) {
				t.Fatalf("error %v, decoded %+v, want %+v", err, decoded, s.Message)
			}
		}
	}
	w.load(2, w.nodes, w.now+4*second)
	w.at(w.now+second+333, func() { w.setAll(true) })
	w.run(w.now + 4*second)
	if sent == 0 {
		t.Error("no message was sent")
	}
}

// Encode omits entries that do not fit and limits ages to their range. Decode rejects the encoding of an invalid state.
func TestEncodeLimitsSizeAndAges(t *testing.T) {
	m := randomMessage(newRandom(2), 200)
	m.Entries[0].Age, m.Entries[1].Age = 10*maxAge, -5
	data := m.Encode()
	if len(data) > MaxMessageBytes || len(data) != m.size() {
		t.Errorf("encoded %d bytes, more than MessageLimit or different from size()", len(data))
	}
	decoded, err := Decode(data)
	if err != nil || decoded.Entries[0].Age != maxAge || decoded.Entries[1].Age != 0 {
		t.Errorf("error %v, or ages out of range are not limited", err)
	}
	m.Entries = []Entry{{State: 9}}
	if _, err := Decode(m.Encode()); !errors.Is(err, ErrState) {
		t.Errorf("error %v, want ErrState", err)
	}
}

func TestDecodeRejectsInvalidMessages(t *testing.T) {
	good := randomMessage(newRandom(3), 3).Encode()
	change := func(at int, to byte) []byte {
		out := bytes.Clone(good)
		out[at] = to
		return out
	}
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"empty":              {nil, ErrNotMessage},
		"other datagram":     {[]byte("ask 1"), ErrNotMessage},
		"magic byte only":    {good[:1], ErrTruncated},
		"cut in incarnation": {good[:5], ErrTruncated},
		"cut in entry":       {good[:len(good)-1], ErrTruncated},
		"another version":    {change(1, 2), ErrVersion},
		"oversized":          {append(bytes.Clone(good), make([]byte, MaxMessageBytes)...), ErrTooLong},
		"invalid state":      {change(len(good)-2, 0), ErrState},
		"sequence too large": {append(bytes.Clone(good[:fixedHeaderBytes]), 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0), ErrHeader},
		"clock too large":    {append(bytes.Clone(good[:fixedHeaderBytes]), 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f), ErrHeader},
		"unending sequence":  {append(bytes.Clone(good[:fixedHeaderBytes]), bytes.Repeat([]byte{0xff}, 11)...), ErrHeader},
	} {
		if _, err := Decode(c.data); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
	for cut := range good { // truncation between entries yields a shorter valid message, elsewhere an error
		if _, err := Decode(good[:cut]); err == nil && (len(good)-cut)%entryBytes != 0 {
			t.Errorf("truncated to %d of %d bytes: no error", cut, len(good))
		}
	}
}

// FuzzDecode checks that no datagram makes Decode panic, or makes a Monitor that receives it avoid nodes for too long.
func FuzzDecode(f *testing.F) {
	random := newRandom(4)
	for entries := range 4 {
		f.Add(randomMessage(random, entries).Encode())
	}
	f.Add(messageAboutA(1, 10*second, Silent, 0).Encode())
	f.Fuzz(func(t *testing.T, data []byte) { deliverDatagram(t, data) })
}

func deliverDatagram(t *testing.T, data []byte) {
	m := newTestMonitor(t, 0, zonesOf(1, 4), 10*second)
	message, err := Decode(data)
	if err != nil {
		m.CountUnreadable()
		return
	}
	if decoded, err := Decode(message.Encode()); err != nil || !reflect.DeepEqual(decoded, message) {
		t.Fatalf("error %v, decoded %+v, want %+v", err, decoded, message)
	}
	for from := range 4 {
		m.Step(10*second+scheduler.Micros(from), []Event{MessageReceived{from, message}})
	}
	if m.avoids("a") && len(message.Entries) == 0 {
		t.Error("node avoided because of a message without entries")
	}
	m.Step(30*second, []Event{TimerFired{}})
	if m.avoids("a") || m.avoids("b") {
		t.Error("node still avoided 20 s later")
	}
}

// Randomly corrupted and truncated datagrams are handled like those of FuzzDecode.
func TestCorruptedMessagesAreHarmless(t *testing.T) {
	random := newRandom(5)
	for range 20_000 {
		data := messageAboutA(1, 10*second, Silent, 0).Encode()
		for range 1 + random.IntN(4) {
			data[random.IntN(len(data))] = byte(random.Uint32())
		}
		deliverDatagram(t, data[:random.IntN(len(data)+1)])
	}
}
