// Package limits holds every size, count and time that bounds the program. They are computed once, at the start.
package limits

import "time"

// Limits bound what the program holds and how long it waits, grouped by the part that keeps to them.
type Limits struct {
	Requests  RequestLimits
	Clients   ClientLimits
	Nodes     NodeLimits
	Discovery DiscoveryLimits
	Stop      StopLimits
	Control   ControlLimits
	Files     FileLimits

	Memory      int64         // soft memory limit of the Go run time, in bytes
	AcceptRetry time.Duration // pause after a connection or datagram could not be accepted
}

// RequestLimits bound the requests that are open in the front, and their messages.
type RequestLimits struct {
	Inbox       int           // events that may be queued for the scheduler
	Open        int           // open requests; more are refused
	Scheduled   int           // open requests past which the scheduler refuses those that are worth least
	PastIDs     int           // ids of finished requests that are remembered, in each of two generations
	IDRetention time.Duration // how long the id of a finished request is remembered
	AnswerGrace time.Duration // behind a request's time its answer is worth nothing, and not lost yet

	HeaderBytes   int   // largest head of a message
	BufferedBytes int64 // largest body that is held whole, of a request or an answer
	StreamedBytes int64 // largest body that is passed on in pieces, in either direction
}

// ClientLimits bound the connections of HTTP clients.
type ClientLimits struct {
	Conns      int // connections
	SpareConns int // further connections while none of the others can be closed; past them clients wait
	KeptConns  int // connections past which the longest idle one is closed for a new one
	ReadAhead  int // bytes that a client may send behind a request that is not answered yet
	Handshakes int // TLS handshakes in progress; past them the oldest is closed

	HandshakeTimeout  time.Duration // for one TLS handshake
	HeaderTimeout     time.Duration // for a request's head, from its first byte or the connection's start
	ChallengeTimeout  time.Duration // for a whole request of a certificate authority for a challenge
	BodySilence       time.Duration // longest pause between two pieces of a request's body
	WriteTimeout      time.Duration // for writing an answer, from the request's head
	IdleTimeout       time.Duration // for which a connection may be idle
	MinIdle           time.Duration // for which a connection stays open when idle, as a request may be on its way
	LastAnswerTimeout time.Duration // for reading the last answer, once the front has closed its side
}

// NodeLimits bound the connections to storage nodes, and attempts on them.
type NodeLimits struct {
	Conns         int // connections, idle ones included
	ResponseHeads int // heads of one answer: informational ones and the final one
	WriteTries    int // connections tried for a request that could not be written whole
	ConnectTries  int // attempts at one connection, beside each other or after a reset
	ProbeTries    int // attempts to probe while the answer can't be parsed

	ConnectTimeout time.Duration // for a connection to be up
	HedgeDelay     time.Duration // after which a further attempt to connect begins beside those that are not up
	IdleTimeout    time.Duration // after which an idle connection is closed
	ReuseDelay     time.Duration // between an answer and the connection's next request
	HeaderTimeout  time.Duration // for an answer's head, from its first byte
	BodySilence    time.Duration // longest pause between two pieces of an answer that is held whole
	BufferTimeout  time.Duration // for which an answer of unknown length is held to see its end
	StreamSilence  time.Duration // longest pause between two pieces of a body that is passed on in pieces
	ProbeTimeout   time.Duration // for the answer to a probe
}

// DiscoveryLimits bound the watch of the node list.
type DiscoveryLimits struct {
	ListBytes     int64         // largest answer
	WatchHold     time.Duration // how long discovery is asked to hold a watch without news
	AnswerTimeout time.Duration // for the answer, beyond WatchHold
	RetryMin      time.Duration // pause after the first watch that failed; it doubles with each further one
	RetryMax      time.Duration // longest pause
	StartSpread   time.Duration // the first watches of all fronts begin within this; 0 where discovery is not shared
}

// StopLimits bound a stop, in time since SIGTERM, and a handover to the next process.
type StopLimits struct {
	Accept          time.Duration // until then clients may connect
	Serve           time.Duration // until then connections may bring requests; then idle ones are closed
	Answer          time.Duration // until then requests that came since are answered
	Kill            time.Duration // the process may be killed from then on
	AtMost          time.Duration // until then the process ends in any case
	MinTime         time.Duration // a request that has less time until Answer is rejected at once
	HoldUp          time.Duration // the process may stand still so long between reading its clock and a write
	ConnsPerRequest int           // connections for each request that may be open meanwhile
	CheckInterval   time.Duration // between two looks at what is still open
	HandoverTimeout time.Duration // for the whole handover to the next process of this front
}

// ControlLimits bound the operators' connections.
type ControlLimits struct {
	Conns         int           // connections without a whole call; past them the oldest is closed
	CallTimeout   time.Duration // for reading a call, and for writing its answer
	BodyBytes     int64         // largest body of a call
	ReportTimeout time.Duration // for collecting the figures of a report
}

// FileLimits bound the SFTP front.
type FileLimits struct {
	Conns         int   // clients
	Handles       int   // files and folders that a client may have open
	Transfers     int   // reads and writes of a client in progress
	PacketBytes   int   // largest packet from a client
	ReadBytes     int   // largest answer to a read
	ResponseBytes int64 // largest answer of a node to a command

	AdmitTimeout      time.Duration // for which a read or write waits for room before it is submitted anyhow
	IdleTimeout       time.Duration // for which a client may be silent, between packets and within one
	LeaveInterval     time.Duration // between two looks at whether a client has left
	LastAnswerTimeout time.Duration // for reading the last answer, once the front has closed its side
}
