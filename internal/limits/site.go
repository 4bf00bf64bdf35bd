package limits

import "time"

// Site describes a deployment, from which all limits are computed.
type Site struct {
	MemoryMB        int           // memory of the process, in MiB
	Sockets         int           // file descriptors of the process
	Open            int           // maximum number of open requests, 0 for one per client connection
	NodeIdleTimeout time.Duration // time after which a node closes an idle connection
	Connect         time.Duration // timeout for connecting to a node
	MaxDeadline     time.Duration // the longest deadline of any request
	DrainGrace      time.Duration // time after its announcement within which a drain has to take effect, 0 if unknown
	TLS             bool          // clients connect with TLS
	Files           bool          // the SFTP front is enabled
	DiscoveryFronts int           // fronts that watch one shared discovery, 0 if each front has its own agent
}

// New computes the limits of a deployment.
func New(site Site) Limits {
	available := divideResources(site)
	return Limits{
		Requests:  requestLimits(site, available),
		Clients:   clientLimits(site, available),
		Nodes:     nodeLimits(site, available),
		Discovery: discoveryLimits(site, available),
		Stop:      NewStopLimits(site.MaxDeadline),
		Control:   controlLimits(),
		Files:     fileLimits(site, available),
		Memory: MemoryLimits{
			Process: available.process, Runtime: available.runtime, Shared: available.shared, Handles: available.handles,
			Changes: available.changes, Late: available.late, Free: freeBytes,
		},
		TLS:         site.TLS,
		AcceptRetry: acceptRetry,
	}
}

// Division of the sockets. Each client keeps a connection while its request is open, and clients may use a third of all sockets
// for open requests. A node has few requests at a time, but all requests of a front may go to few nodes or to many.
const (
	reservedSockets = 32 // for listeners, discovery, the console and the Go runtime
	spareConns      = 24 // see ClientLimits.SpareConns
	minConns        = 16 // minimum of the sockets for clients and nodes
	nodeShare       = 3  // nodes get 1/nodeShare of the sockets for clients and nodes
	scheduledShare  = 4  // open requests may use 1/scheduledShare of all sockets, as clients may use at most a third
)

// Sizes of messages, in bytes.
const (
	bufferedBytes = 64 << 10  // largest body that is buffered completely
	streamedBytes = 256 << 20 // largest body that is streamed
	headerBytes   = 16 << 10  // largest header of a message
	headerFields  = 64        // used fields of a header
)

// memoryFraction is the share of the Go runtime's memory, as 1/memoryFraction, that remembered ids may take, and likewise the endpoint list.
const memoryFraction = 32

const acceptRetry = 20 * time.Millisecond
