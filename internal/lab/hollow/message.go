package hollow

import (
	"cmp"
	"slices"

	"otterturn/scheduler"
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	kindAttempt     messageKind = iota // front to node: a request
	kindReply                          // node to front: result of an attempt
	kindProbe                          // front to node
	kindProbeReply                     // node to front
	kindPeerMessage                    // front to front: protocol.FormatPeerMessage
	kindHealth                         // front to front: health.Encode
	kindListCall                       // front to discovery
	kindListAnswer                     // discovery to front
)

// message is a message from one actor to another. Its kind determines which fields are set.
type message struct {
	at        scheduler.Micros // when it arrives
	from, to  int32            // numbers of the actors
	sequence  uint32           // of the sender's messages, from 1
	kind      messageKind
	result    scheduler.Result // of an attempt or a probe
	number    uint64           // of the request, probe or list call, unique within its front
	attempt   int32            // of the request
	firstCall bool             // whether the call is the first one of a watch
	value     float64          // units of an attempt, queue of a probed node
	version   int64            // of the endpoint list
	maxHold   scheduler.Micros // how long discovery may hold the call
	data      []byte           // encoded peer message or health message
	update    *listUpdate      // of a list answer
}

// compareMessages compares messages by the order in which an actor handles them.
func compareMessages(a, b message) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.from, b.from), cmp.Compare(a.sequence, b.sequence))
}

// maxWindowsAhead bounds the delay of a message: it must arrive fewer windows than this after it is sent.
const maxWindowsAhead = 16

// mailbox holds the messages on their way to an actor, by the window in which they arrive.
type mailbox struct {
	windows [maxWindowsAhead][]message
}

func (m *mailbox) put(in message) {
	w := windowOf(in.at) % maxWindowsAhead
	m.windows[w] = append(m.windows[w], in)
}

// take returns the messages that arrive in a window, in order. The result is valid until a message is put for a later window
// that uses the same element.
func (m *mailbox) take(window int64) []message {
	w := window % maxWindowsAhead
	in := m.windows[w]
	m.windows[w] = in[:0]
	slices.SortFunc(in, compareMessages)
	return in
}

func windowOf(at scheduler.Micros) int64 { return int64((at - startTime) / tick) }

// outbox holds the messages that the actors of one worker sent in a window, by the worker of the receiver.
type outbox [][]message

// sender is the part of an actor that sends.
type sender struct {
	world    *World
	id       int32
	outbox   *outbox
	sequence uint32
}

// send delivers a message after the network's delay, unless the link is cut.
func (s *sender) send(now scheduler.Micros, m message) {
	s.sequence++
	links := &s.world.links
	if links.isCut(s.id, m.to) {
		return
	}
	m.at, m.from, m.sequence = now+links.delay(s.id, m.to), s.id, s.sequence
	worker := s.world.workerOf(m.to)
	(*s.outbox)[worker] = append((*s.outbox)[worker], m)
}
