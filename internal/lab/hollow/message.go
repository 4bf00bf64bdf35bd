package hollow

import (
	"cmp"
	"slices"

	"otterturn/scheduler"
)

// kind tells what a message is.
type kind uint8

const (
	kindAttempt    kind = iota // front to node: a request
	kindReply                  // node to front: how an attempt ended
	kindProbe                  // front to node
	kindProbeReply             // node to front
	kindNote                   // front to front: protocol.FormatNote
	kindHealth                 // front to front: health.Encode
	kindListCall               // front to discovery
	kindListAnswer             // discovery to front
)

// message is what one actor sends another. Which fields count goes by its kind.
type message struct {
	at       scheduler.Micros // when it arrives
	from, to int32            // actors
	sequence uint32           // counts what the sender sent
	kind     kind
	result   scheduler.Result // of an attempt or a probe
	number   uint64           // of the request, probe or call, at its front
	attempt  int32            // of the request
	opens    bool             // a watch that begins
	value    float64          // units of an attempt, queue of a probed node
	version  int64            // of the list
	hold     scheduler.Micros // for so long discovery may hold a call
	data     []byte           // text of a note or a health message
	news     *news            // of the list
}

// before is the order in which an actor handles messages.
func before(a, b message) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.from, b.from), cmp.Compare(a.sequence, b.sequence))
}

// ahead is how many windows ahead a message may arrive at most.
const ahead = 16

// mailbox holds what is on its way to an actor, by the window in which it arrives.
type mailbox struct {
	windows [ahead][]message
}

func (m *mailbox) put(in message) {
	w := windowOf(in.at) % ahead
	m.windows[w] = append(m.windows[w], in)
}

// take returns what arrives in a window, in order, until the next call of take for a window of the same place.
func (m *mailbox) take(window int64) []message {
	w := window % ahead
	in := m.windows[w]
	m.windows[w] = in[:0]
	slices.SortFunc(in, before)
	return in
}

func windowOf(at scheduler.Micros) int64 { return int64((at - begin) / tick) }

// outbox holds what the actors of one worker sent in a window, by the worker of the receiver.
type outbox [][]message

// sender is the part of an actor that sends.
type sender struct {
	world    *World
	id       int32
	out      *outbox
	sequence uint32
}

// send has a message arrive after the network's delay, unless the link is cut.
func (s *sender) send(now scheduler.Micros, m message) {
	s.sequence++
	links := &s.world.links
	if links.cut(s.id, m.to) {
		return
	}
	m.at, m.from, m.sequence = now+links.delay(s.id, m.to), s.id, s.sequence
	shard := s.world.shard(m.to)
	(*s.out)[shard] = append((*s.out)[shard], m)
}
