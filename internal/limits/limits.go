// Package limits computes every size, count and time that bounds the program from the resources and settings of a deployment.
package limits

import "time"

// Limits bounds what the program holds and how long it waits, grouped by the part of the program that enforces them.
type Limits struct {
	Requests  RequestLimits
	Clients   ClientLimits
	Nodes     NodeLimits
	Discovery DiscoveryLimits
	Stop      StopLimits
	Control   ControlLimits
	Files     FileLimits

	Memory      MemoryLimits
	TLS         bool          // clients connect with TLS
	AcceptRetry time.Duration // pause after a connection or datagram could not be accepted
}

// RequestLimits bounds the open requests of the front, and their messages.
type RequestLimits struct {
	Inbox       int           // events that may be queued for the scheduler
	Open        int           // open requests; further ones are rejected
	Scheduled   int           // open requests above which the scheduler sheds load, the least valuable requests first
	PastIDs     int           // ids of finished requests that are remembered, in each of two generations
	IDRetention time.Duration // how long the id of a finished request is remembered
	AnswerGrace time.Duration // time after a request's deadline in which its answer is late but not lost

	HeaderBytes   int   // largest header of a message
	HeaderFields  int   // fields of a header that the front uses, repetitions included
	BufferedBytes int64 // largest body that is buffered completely, of a request or an answer
	StreamedBytes int64 // largest body that is streamed, in either direction
}

// ClientLimits bounds the connections of HTTP clients.
type ClientLimits struct {
	Conns      int // connections
	SpareConns int // further connections while none of the others can be closed; above that clients wait
	KeptConns  int // connections above which the one that has been idle longest is closed for a new one
	ReadAhead  int // bytes that a client may send after a request that is not answered yet

	MinBodyRate int64 // slowest permitted rate of a request's body, in bytes per second

	Handshakes int // TLS handshakes in progress; above that the oldest is closed

	ChallengeConns int // connections of certificate authorities without a complete request; above that the oldest is closed

	HandshakeTimeout  time.Duration // for one TLS handshake
	HeaderTimeout     time.Duration // for a request's header, from its first byte or the connection's start
	ChallengeTimeout  time.Duration // for a complete request for a challenge by a certificate authority
	BodySilence       time.Duration // longest pause between two parts of a request's body
	WriteTimeout      time.Duration // for writing an answer, from the request's header
	IdleTimeout       time.Duration // maximum idle time of a connection
	MinFirstIdle      time.Duration // minimum idle time of a new connection before it is closed, as its client may be slow to write
	MinIdle           time.Duration // minimum idle time of a connection before it is closed, as a request may be in transit
	LastAnswerTimeout time.Duration // for the client to read the last answer after the front has closed its side
	MinStall          time.Duration // time without data from which an incomplete request may be closed for another one
	MaxUnread         time.Duration // time that what exceeds ReadAhead stays unread before it is refused; a client's end may stand behind it
	MemoryWait        time.Duration // time that a body waits for memory
	UploadWait        time.Duration // time that a long request waits for a connection to its node
	MaxAcceptWait     time.Duration // time that a new connection waits for a slot before incomplete requests are closed sooner
	MinEvictionDelay  time.Duration // delay of an incomplete request, compared with MinBodyRate, from which it is closed then
}

// NodeLimits bounds the connections to storage nodes, and the attempts on them.
type NodeLimits struct {
	Conns         int // connections, idle ones included
	Uploads       int // connections that may be used for long requests that are arriving
	ResponseHeads int // headers of one answer: informational ones and the final one
	WriteTries    int // connections tried for a request that could not be written completely
	ConnectTries  int // attempts to establish one connection, hedged or after a reset
	ProbeTries    int // health checks sent while the answer can't be parsed

	ConnectTimeout time.Duration // for connecting
	HedgeDelay     time.Duration // time after which a further attempt to connect begins while the earlier ones are pending
	IdleTimeout    time.Duration // time after which an idle connection is closed
	ReuseDelay     time.Duration // minimum time between an answer and the connection's next request
	HeaderTimeout  time.Duration // for an answer's header, from its first byte
	BodySilence    time.Duration // longest pause between two parts of an answer that is buffered completely
	BufferTimeout  time.Duration // time for which an answer of unknown length is buffered in case it ends
	StreamSilence  time.Duration // longest pause between two parts of a streamed body
	ProbeTimeout   time.Duration // for the answer to a health check
}

// DiscoveryLimits bounds the watch of the endpoint list.
type DiscoveryLimits struct {
	ListBytes     int64         // largest answer
	WatchHold     time.Duration // time for which discovery is asked to hold a watch without changes
	AnswerTimeout time.Duration // for the answer, in addition to WatchHold
	RetryMin      time.Duration // pause after the first failed watch; it doubles with each further one
	RetryMax      time.Duration // longest pause
	StartSpread   time.Duration // time within which the first watches of all fronts begin; 0 if discovery is not shared
}

// StopLimits bounds a graceful shutdown, in time since SIGTERM, and a handover to the next process.
type StopLimits struct {
	Accept          time.Duration // clients may connect until then
	Serve           time.Duration // connections may bring requests until then; idle ones are closed afterwards
	Answer          time.Duration // all requests are answered by then
	Kill            time.Duration // the process may be killed from then on
	Exit            time.Duration // the process exits by then in any case
	MinTime         time.Duration // a request with less time until Answer is rejected at once
	MaxStall        time.Duration // longest stall of the process between reading its clock and a write
	ConnsPerRequest int           // open connections per request that may be open during the shutdown
	CheckInterval   time.Duration // between two checks for open connections and requests
	HandoverTimeout time.Duration // for the complete handover to the next process of this front
}

// ControlLimits bounds the connections of operators.
type ControlLimits struct {
	Conns         int           // connections without a complete request; above that the oldest is closed
	CallTimeout   time.Duration // for reading a request, and for writing its answer
	BodyBytes     int64         // largest body of a request
	ReportTimeout time.Duration // for collecting the metrics of a report
}

// FileLimits bounds the SFTP server.
type FileLimits struct {
	Enabled       bool
	Conns         int   // connections of clients
	Handles       int   // files and folders that a client may have open
	Transfers     int   // reads and writes of a client in progress
	PacketBytes   int   // largest packet from a client
	ReadBytes     int   // largest answer to a read
	ResponseBytes int64 // largest answer of a node to a command
	PathBytes     int   // longest path
	Unsettled     int   // changes of a project that a node may still carry out; above that the project's changes are refused
	LateAnswers   int   // connections to nodes that are kept for the late answers to changes

	MemoryWait        time.Duration // time for which a listing waits for memory before it is rejected
	AdmitTimeout      time.Duration // time for which a read or write waits for capacity before it is submitted anyway
	IdleTimeout       time.Duration // time for which a client may be silent, between packets and within one
	LeaveInterval     time.Duration // between two checks whether a client has disconnected
	LastAnswerTimeout time.Duration // for the client to read the last answer after the front has closed its side
}
