package limits

import "time"

// Site is what a deployment allows, from which all limits are computed.
type Site struct {
	MemoryMB   int           // memory of the process, in MiB
	Sockets    int           // file descriptors of the process
	Open       int           // open requests at most, 0 for as many as there are clients
	ConnIdle   time.Duration // after which a node closes an idle connection
	Connect    time.Duration // for connecting to a node
	Deadline   time.Duration // the longest of any request
	DrainGrace time.Duration // time in which a drain has to be heeded once it was announced, 0 where unknown
	Askers     int           // fronts that watch one discovery, 0 where each has an agent of its own
}

// For computes the limits of a deployment.
func For(site Site) Limits {
	shares := share(site)
	return Limits{
		Requests:    requestLimits(site, shares),
		Clients:     clientLimits(site, shares),
		Nodes:       nodeLimits(site, shares),
		Discovery:   discoveryLimits(site, shares),
		Stop:        Stop(site.Deadline),
		Control:     controlLimits(),
		Files:       fileLimits(shares),
		Memory:      shares.memory,
		AcceptRetry: acceptRetry,
	}
}

// How the sockets are shared out: clients keep a connection each while their requests are held, and may hold a third
// of all with requests. Nodes get few at a time, but all of a front's requests may go to few nodes or to many.
const (
	reservedSockets = 32 // for listeners, discovery, the console and the run time
	spareConns      = 24 // see ClientLimits.SpareConns
	minShared       = 16 // sockets that are shared out at the least
	nodeShare       = 3  // one in so many of the shared sockets leads to a node
	scheduledShare  = 4  // requests may be open on one in so many of all sockets: clients have a third at most
)

// Memory that is reckoned with, in bytes.
const (
	connBytes      = 32 << 10  // a connection at most, beside a body: its buffers and its goroutines' stacks
	bufferedBytes  = 64 << 10  // the largest body that is held whole
	streamedBytes  = 256 << 20 // the largest body that is passed on in pieces
	headerBytes    = 16 << 10  // the largest head of a message
	idBytes        = 256       // an id that is remembered at most
	memoryPercent  = 60        // of the process's memory that the run time aims to stay under
	memoryFraction = 32        // ids, and the node list, take one in so many bytes of that
)

const acceptRetry = 20 * time.Millisecond

// shares are what the parts get of memory and sockets.
type shares struct {
	memory  int64 // soft limit, in bytes
	clients int   // connections of clients
	nodes   int   // connections to nodes
}

func share(site Site) shares {
	sockets := max(site.Sockets-reservedSockets-spareConns, minShared)
	nodes := sockets / nodeShare
	out := shares{memory: int64(site.MemoryMB) << 20 * memoryPercent / 100, clients: sockets - nodes, nodes: nodes}
	// Every client may send a longest body, and every node answer with one.
	if most := int(out.memory / (connBytes + bufferedBytes)); out.clients+out.nodes > most {
		out.clients, out.nodes = most-most/nodeShare, most/nodeShare
	}
	return out
}
