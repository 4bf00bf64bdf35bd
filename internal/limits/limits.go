// Package limits holds every size, count and time that bounds the program, filled once at its start.
package limits

import "time"

// Limits bound what the program holds and how long it waits.
type Limits struct {
	Memory      int64 // bytes that the run time aims to stay under
	Inbox       int   // events that may wait for the scheduler
	IDs         int   // ids of requests that are over, which are remembered, in either half
	Open        int   // requests open at once; more are refused
	Hold        int   // requests open at once, past which the scheduler refuses those that earn least
	ClientKeep  int   // client connections past which those without a request make room for others
	ClientConns int   // client connections
	SpareConns  int   // connections past ClientConns where none does; more wait
	NodeConns   int   // connections to storage nodes, idle ones included
	Body        int64 // bytes of a request's body
	Ahead       int   // bytes that a client may send behind a request while that is owed its answer
	Long        int64 // bytes of a body that is passed on as it comes, in either direction
	Header      int   // bytes of a message's head
	List        int64 // bytes of an answer of discovery

	Informational int // heads of a node's answer, informational ones and its own
	WriteTries    int // connections that a request is written to, while it was not written whole
	ConnectTries  int // as often a connection is opened that is reset as it comes up
	ProbeTries    int // a probe is sent so often while its answers can't be read

	IDKeep       time.Duration // the id of a request that is over is remembered for so long
	ReadHead     time.Duration // a request's head must have come, counted from its first byte or the connection's start
	ReadRequest  time.Duration // a request of an authority, which asks for a challenge, must have come
	WriteAnswer  time.Duration // an answer must be written, counted from the request's head
	ClientIdle   time.Duration // a client's connection may stand idle
	ClientLinger time.Duration // a client over HTTP may take so long to read its last answer
	ClientSettle time.Duration // a client's connection stands idle for so long in any case, for a request that is under way
	Connect      time.Duration // a connection to a node must be up
	ConnectAgain time.Duration // one that is not up after this is tried beside a further one
	NodeIdle     time.Duration // a node's connection is dropped once idle for so long
	AnswerHead   time.Duration // the head of a node's answer must have come, counted from its first byte
	AnswerRest   time.Duration // and each further piece, of what is held
	AnswerHold   time.Duration // an answer whose length is not told is held for so long for its end
	LongSilence  time.Duration // each further piece of what is passed on as it comes
	BodySilence  time.Duration // each further piece of a client's body
	NodeSettle   time.Duration // a node's connection is not used again so soon
	Probe        time.Duration // a probe must be answered
	WatchHold    time.Duration // discovery may hold a watch
	WatchSilence time.Duration // and answers within this after it
	WatchAgain   time.Duration // pause before the next watch after one that failed, which doubles
	WatchMost    time.Duration // up to this
	WatchSpread  time.Duration // and within this the first watches of all fronts begin, 0 where none shares discovery
	AcceptAgain  time.Duration // pause after a client could not be accepted
	StopAccept   time.Duration // after SIGTERM clients may still come for so long
	StopServe    time.Duration // and use their connections for so long; then idle ones are closed
	StopShare    int           // meanwhile one request may be open for so many connections
	StopAnswer   time.Duration // what comes meanwhile is answered within this
	StopCheck    time.Duration // a stop looks so often how far it is
	StopLinger   time.Duration // an SFTP client may take so long to read the last answer
	StopAtMost   time.Duration // and the front ends at the latest after this

	Handover time.Duration // one process of a front has handed over to the next within this, or does not

	Calls    int           // operators' connections without a whole call; past them the oldest gives way
	Call     time.Duration // a call must have come, and its answer gone, within this
	CallBody int64         // bytes of a call's body
	Figures  time.Duration // figures are put together within this

	Handshakes int           // TLS handshakes under way; past them the oldest gives way
	Handshake  time.Duration // and each has so long

	FileConns     int           // SFTP clients at a time
	FileHandles   int           // files and folders that each may have open
	FilePacket    int           // bytes of a packet from a client
	FileRead      int           // bytes that a read is answered with
	FileTransfers int           // reads and writes of a client under way
	FileTake      time.Duration // a read or write waits so long for room before it is taken, room or not
	FileAnswer    int64         // bytes that a node may answer to a command
	LeaveCheck    time.Duration // whether a client has left is looked at so often
	FileIdle      time.Duration // a client may be silent, between packets and within one
}

// Site are the figures of a deployment that the limits follow from.
type Site struct {
	MemoryMB, Sockets, Open int
	ConnIdle, Connect       time.Duration
	Deadline                time.Duration // the longest of any request
	DrainGrace              time.Duration // so long after it was told a drain has to be heeded, 0 where that is not told
	Askers                  int           // fronts that ask one discovery, 0 where each has its own agent
}

// Share of the sockets: clients keep a connection each while their requests are held, and may hold a third of all
// with requests. Nodes get few at a time, but all of a front's requests may go to few nodes or to many.
const (
	reserved   = 32 // sockets for listeners, discovery, the console and the run time
	spareConns = 24 // see Limits.SpareConns
	toNodes    = 3  // one in so many of the others leads to a node
	toHold     = 4  // one in so many of all is for requests that are open: clients have a third at most
)

// Memory that a connection takes at most, beside a body: its buffers and the stacks of those who work on it.
const perConn = 32 << 10

// Memory that an id takes at most while it is remembered.
const perID = 256

// How long after SIGTERM the process is killed at the earliest: see For.
const (
	stopDeadline = 3 * time.Second
	stopMore     = 700 * time.Millisecond
)

// Bodies: up to body they are held, longer ones pass through in pieces.
const (
	body = 64 << 10
	long = 256 << 20
)

// A front's own agent answers at once and at no cost, or not at all while discovery is down, and what it has counts as
// told: so a call that is not answered is given up, and the next one made, within the time in which a drain has to be
// heeded. Three of these parts of it are gone then at the latest, and an eighth.
const agentParts = 4

// What one discovery answers, for all fronts that ask it: as 80 fronts began to ask together it answered one watch that
// begins in 30 ms, and nothing was seen of one that goes on. Half of it is left to it, as far as that can be waited for:
// whether it hears of it or not, a front counts as told 6 s behind the news, and 4 s behind SIGHUP. The longest way to news
// is a watch that falls silent, and the pause before the next call, or a call that fails, and that pause.
const (
	watchEach    = 60 * time.Millisecond
	sharedSpread = 3 * time.Second         // first watches begin within this, whatever the number of fronts
	sharedHold   = 2 * time.Second         // a watch that goes on is asked anew as seldom as this
	sharedQueue  = 2 * time.Second         // and one that begins may wait in turn for so long
	sharedMost   = 1300 * time.Millisecond // a pause is one and a half times as long at most
)

// list is the room for discovery's answer at least: 2,000 nodes take 400 KiB, and twice that while it is read.
const list = 1 << 20

// For fills the limits of a deployment.
func For(s Site) Limits {
	rest := max(s.Sockets-reserved-spareConns, 16)
	nodes := rest / toNodes
	clients := rest - nodes
	memory := int64(s.MemoryMB) << 20 * 6 / 10
	// Every client may send a longest body, and every node answer with one.
	if most := int(memory / (perConn + body)); clients+nodes > most {
		clients, nodes = most-most/toNodes, most/toNodes
	}
	open := clients
	if s.Open > 0 {
		open = min(open, s.Open)
	}
	// A stop may take the longest deadline, counted as stopDeadline where it is longer, and stopMore.
	grace := min(s.Deadline, stopDeadline) + stopMore
	hold := min(max(s.DrainGrace, 200*time.Millisecond), 2*time.Second) / agentParts
	silence, most := hold, hold
	if s.Askers > 0 {
		hold, silence, most = sharedHold, sharedQueue, sharedMost
	}
	return Limits{
		Memory: memory,
		// A copy of a request comes within the time that its client waits, or its nodes drop repeats for.
		Inbox: 4 * clients, IDs: max(1024, int(memory/32/perID)), IDKeep: 2 * s.Deadline, Open: open, Hold: min(open, s.Sockets/toHold), ClientKeep: min(clients, s.Sockets/toHold), ClientConns: clients, SpareConns: spareConns, NodeConns: nodes,
		Body: body, Ahead: perConn, Long: long, Header: 16 << 10, List: max(list, memory/32), Informational: 8, WriteTries: 3, ConnectTries: 3, ProbeTries: 3,
		// Who sends what can't be read is owed an error or a close within 3 s of connecting.
		ReadHead: 2400 * time.Millisecond, ReadRequest: 2500 * time.Millisecond,
		WriteAnswer: 2*s.Deadline + 5*time.Second,
		ClientIdle:  5 * time.Second, ClientLinger: 250 * time.Millisecond, ClientSettle: 20 * time.Millisecond, Connect: s.Connect, ConnectAgain: max(s.Connect/8, time.Millisecond), NodeIdle: s.ConnIdle * 6 / 10, NodeSettle: 5 * time.Millisecond,
		AnswerHead: max(s.Connect, 250*time.Millisecond), AnswerRest: max(s.Connect, 250*time.Millisecond), AnswerHold: 250 * time.Millisecond, LongSilence: 10 * time.Second, BodySilence: 2500 * time.Millisecond, Probe: 2 * s.Connect, WatchHold: hold, WatchSilence: silence,
		AcceptAgain: 20 * time.Millisecond, WatchAgain: 50 * time.Millisecond, WatchMost: most, WatchSpread: min(time.Duration(s.Askers)*watchEach, sharedSpread),
		StopAccept: 500 * time.Millisecond, StopServe: grace - 350*time.Millisecond,
		StopShare: 2, StopAnswer: grace - 100*time.Millisecond, StopCheck: 50 * time.Millisecond, StopLinger: 500 * time.Millisecond,
		StopAtMost: s.Deadline + 2*time.Second,
		Handover:   2 * time.Second, Calls: 16, Call: 5 * time.Second, CallBody: 4 << 10, Figures: 700 * time.Millisecond,
		Handshakes: max(8, clients/8), Handshake: 3 * time.Second,
		FileConns: min(clients, 32), FileHandles: 256, FilePacket: 64<<10 + 1024, FileRead: 32 << 10, FileTransfers: 8, FileTake: 30 * time.Second, FileAnswer: 2 << 20,
		LeaveCheck: 50 * time.Millisecond, FileIdle: 5 * time.Minute,
	}
}
