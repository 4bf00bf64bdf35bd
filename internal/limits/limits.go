// Package limits holds every size, count and time that bounds the program, filled once at its start.
package limits

import "time"

// Limits bound what the program holds and how long it waits.
type Limits struct {
	Memory      int64 // bytes that the run time aims to stay under
	Inbox       int   // events that may wait for the scheduler
	Open        int   // requests open at once; more are refused
	ClientConns int   // client connections that are served; those past it are told 503
	SpareConns  int   // connections past ClientConns, held just long enough to be told so
	NodeConns   int   // connections to storage nodes, idle ones included
	Body        int64 // bytes of a message's body
	Header      int   // bytes of a message's head

	ReadRequest  time.Duration // a whole request must have come
	WriteAnswer  time.Duration // an answer must be written, counted from the request's head
	ClientIdle   time.Duration // a client's connection may stand idle
	Connect      time.Duration // a connection to a node must be up
	NodeIdle     time.Duration // a node's connection is dropped once idle for so long
	Probe        time.Duration // a probe must be answered
	WatchHold    time.Duration // discovery may hold a watch
	WatchSilence time.Duration // and answers within this after it
	WatchAgain   time.Duration // pause before the next watch after one that failed
	AcceptAgain  time.Duration // pause after a client could not be accepted
	StopAccept   time.Duration // after SIGTERM clients use the front as before for so long
	StopCheck    time.Duration // then idle connections are closed, looked for this often
	StopLinger   time.Duration // a client may take so long to read the last answer
	StopAtMost   time.Duration // and the front ends at the latest after this

	FileConns   int           // SFTP clients at a time
	FileHandles int           // files and folders that each may have open
	FilePacket  int           // bytes of a packet from a client
	FileAnswer  int64         // bytes that a node may answer to a command
	FileIdle    time.Duration // a client may be silent, between packets and within one
}

// Site are the figures of a deployment that the limits follow from.
type Site struct {
	MemoryMB, Sockets, Open int
	ConnIdle, Connect       time.Duration
	Deadline                time.Duration // the longest of any request
}

// Share of the sockets: clients keep a connection each while their requests are held, nodes get few at a time.
const (
	reserved   = 64 // sockets for listeners, discovery, the console and the run time
	spareConns = 64 // see Limits.SpareConns
	toNodes    = 4  // one in so many of the others leads to a node
)

// For fills the limits of a deployment.
func For(s Site) Limits {
	rest := max(s.Sockets-reserved-spareConns, 16)
	nodes := rest / toNodes
	clients := rest - nodes
	open := clients
	if s.Open > 0 {
		open = min(open, s.Open)
	}
	return Limits{
		Memory: int64(s.MemoryMB) << 20 * 6 / 10,
		Inbox:  4 * clients, Open: open, ClientConns: clients, SpareConns: spareConns, NodeConns: nodes,
		Body: 64 << 10, Header: 16 << 10,
		// net/http takes the end of the read time for the client's leaving, so it must outlast any deadline.
		ReadRequest: 2*s.Deadline + 10*time.Second, WriteAnswer: 2*s.Deadline + 15*time.Second,
		ClientIdle: 2 * time.Minute, Connect: s.Connect, NodeIdle: s.ConnIdle * 6 / 10,
		Probe: 2 * s.Connect, WatchHold: time.Second, WatchSilence: time.Second,
		AcceptAgain: 20 * time.Millisecond, WatchAgain: 50 * time.Millisecond,
		StopAccept: 500 * time.Millisecond, StopCheck: 50 * time.Millisecond, StopLinger: 500 * time.Millisecond,
		StopAtMost: s.Deadline + 2*time.Second,
		FileConns:  min(clients, 32), FileHandles: 256, FilePacket: 64<<10 + 1024, FileAnswer: 2 << 20,
		FileIdle: 5 * time.Minute,
	}
}
