package limits

// MemoryLimits divides the memory of the process. Account lists what each part may take at most.
type MemoryLimits struct {
	Process int64 // limit of the process
	Runtime int64 // soft limit of the Go runtime
	Shared  int64 // for bodies, answers, large heads and other things without a fixed size, all together
	Handles int64 // for the files and listings that SFTP clients have open
	Changes int64 // for the changes over SFTP that are in progress or may still be carried out by a node
	Late    int64 // for the data of changes over SFTP that a node has not answered in time
	Free    int64 // bytes of a body, a head or an answer that are part of its connection's fixed memory
}

// Memory of the process outside the Go runtime, in bytes, and what the Go runtime needs beside live objects.
const (
	programBytes   = 12 << 20 // pages of the program and of the C library
	marginShare    = 32       // 1/marginShare of the process's memory is left over
	garbagePercent = 25       // share of the Go runtime's memory for garbage and its own structures
)

// Maximum memory of one thing of fixed size, in bytes, as live objects.
const (
	baseBytes       = 3 << 20  // scheduler, settings, log lines, addresses of operators and authorities
	clientBytes     = 28 << 10 // connection of a client: buffers, stacks, parsed request, state in the scheduler
	nodeBytes       = 12 << 10 // connection to a node: buffers and the state of an exchange
	tlsBytes        = 40 << 10 // further memory of a connection with TLS
	handshakeBytes  = 160 << 10
	fileClientBytes = 128 << 10 // connection of an SFTP client: the largest packet, its stacks, and its commands in progress
	idBytes         = 256       // remembered id
	freeBytes       = 2 << 10   // see MemoryLimits.Free
	minSharedBytes  = 1 << 20
	idGenerations   = 2
)

// connectionShare is the share of the live objects, beside those of fixed number, that connections may take.
const connectionShare = 2

// handleShare is the share of the memory without a fixed size, as 1/handleShare, that open files and listings may take.
const handleShare = 2

// changeShare is the share of the memory for open files and listings, as 1/changeShare, that changes in progress take from it, and late
// changes once more.
const changeShare = 8

// Item is one line of the memory account.
type Item struct {
	Name  string
	Each  int64 // bytes of one at most
	Count int64 // how many at most
}

// Bytes returns the memory of the item.
func (i Item) Bytes() int64 { return i.Each * i.Count }

// Account returns what each part of the program takes at most. The sum is at most MemoryLimits.Process.
func (l Limits) Account() []Item {
	garbage := l.Memory.Runtime - liveBytes(l.Memory.Runtime)
	items := []Item{
		{"pages of the program", programBytes, 1},
		{"garbage and structures of the Go runtime", garbage, 1},
		{"scheduler, settings, logs, operators' addresses", baseBytes, 1},
		{"endpoint list while it is read", l.Discovery.ListBytes, 1},
		{"remembered request ids", idBytes, int64(idGenerations * l.Requests.PastIDs)},
		{"connections of clients", clientBytes, int64(l.Clients.Conns + l.Clients.SpareConns)},
		{"connections to nodes", nodeBytes, int64(l.Nodes.Conns)},
	}
	if l.TLS {
		items = append(items, Item{"TLS of clients' connections", tlsBytes, int64(l.Clients.Conns + l.Clients.SpareConns)},
			Item{"TLS handshakes in progress", handshakeBytes, int64(l.Clients.Handshakes)})
	}
	if l.Files.Enabled {
		items = append(items, Item{"connections of SFTP clients", fileClientBytes, int64(l.Files.Conns)},
			Item{"open files and listings of SFTP clients", l.Memory.Handles, 1},
			Item{"changes over SFTP in progress", l.Memory.Changes, 1}, Item{"data of late changes over SFTP", l.Memory.Late, 1})
	}
	return append(items, Item{"bodies, answers, large heads, data of files", l.Memory.Shared, 1})
}

func liveBytes(runtime int64) int64 { return runtime * (100 - garbagePercent) / 100 }

// resources holds the memory and the numbers of connections that the parts of the program get.
type resources struct {
	runtime     int64 // soft limit of the Go runtime, in bytes
	process     int64
	clients     int // connections of clients
	nodes       int // connections to nodes
	handshakes  int
	fileClients int
	shared      int64
	handles     int64
	changes     int64
	late        int64
}

func divideResources(site Site) resources {
	sockets := max(site.Sockets-reservedSockets-spareConns, minConns)
	nodes := sockets / nodeShare
	out := resources{process: int64(site.MemoryMB) << 20, clients: sockets - nodes, nodes: nodes}
	out.runtime = max(out.process-out.process/marginShare-programBytes, out.process/2)
	live := liveBytes(out.runtime) - baseBytes - listBytes(out.runtime) - idGenerations*idBytes*int64(pastIDs(out.runtime))
	if site.Files {
		out.fileClients = max(1, min(filesMaxConns, int(live/filesShare/fileClientBytes)))
		live -= int64(out.fileClients) * fileClientBytes
	}
	each := int64(clientBytes)
	if site.TLS {
		each += tlsBytes + handshakeBytes/handshakeShare
	}
	// A share of the connections' memory is for those to nodes, in proportion to the numbers of both.
	pair := each + nodeBytes/(nodeShare-1)
	if maxClients := int(live / connectionShare / pair); out.clients+spareConns > maxClients {
		out.clients = max(maxClients-spareConns, minConns)
		out.nodes = min(out.nodes, max(out.clients/(nodeShare-1), minConns/nodeShare))
	}
	out.handshakes = max(minHandshakes, out.clients/handshakeShare)
	live -= int64(out.clients+spareConns) * clientBytes
	live -= int64(out.nodes) * nodeBytes
	if site.TLS {
		live -= int64(out.clients+spareConns)*tlsBytes + int64(out.handshakes)*handshakeBytes
	}
	out.shared = max(live, minSharedBytes)
	if site.Files {
		out.handles = out.shared / handleShare
		out.shared -= out.handles
		out.changes, out.late = out.handles/changeShare, out.handles/changeShare
		out.handles -= out.changes + out.late
	}
	return out
}

func pastIDs(runtime int64) int { return max(minPastIDs, int(runtime/memoryFraction/idBytes)) }

func listBytes(runtime int64) int64 { return max(minListBytes, runtime/memoryFraction) }
