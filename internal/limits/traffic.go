package limits

import "time"

const (
	inboxPerClient = 4                      // events that may be queued for each client connection
	minPastIDs     = 1024                   // ids that are remembered at the least
	answerGrace    = 350 * time.Millisecond // with holdUp, the half second within which a late answer is not lost
)

func requestLimits(site Site, got shares) RequestLimits {
	open := got.clients
	if site.Open > 0 {
		open = min(open, site.Open)
	}
	return RequestLimits{
		Inbox:     inboxPerClient * got.clients,
		Open:      open,
		Scheduled: min(open, site.Sockets/scheduledShare),
		PastIDs:   max(minPastIDs, int(got.memory/memoryFraction/idBytes)),
		// A copy of a request comes within the time that its client waits, or its nodes drop repeats for.
		IDRetention:   2 * site.Deadline,
		AnswerGrace:   answerGrace,
		HeaderBytes:   headerBytes,
		BufferedBytes: bufferedBytes,
		StreamedBytes: streamedBytes,
	}
}

// A client that sends what can't be read is owed an error or a close within 3 s of connecting: the timeouts for a
// request's head, body and challenge stay under that.
const (
	clientHeaderTimeout = 2400 * time.Millisecond
	challengeTimeout    = 2500 * time.Millisecond
	clientBodySilence   = 2500 * time.Millisecond
	clientWriteExtra    = 5 * time.Second // for writing an answer, beyond twice the longest deadline
	clientIdleTimeout   = 5 * time.Second
	clientMinIdle       = 20 * time.Millisecond
	clientLastAnswer    = 250 * time.Millisecond
	handshakeTimeout    = 3 * time.Second
	handshakeShare      = 8 // one in so many client connections may be in a handshake
	minHandshakes       = 8
)

func clientLimits(site Site, got shares) ClientLimits {
	return ClientLimits{
		Conns:             got.clients,
		SpareConns:        spareConns,
		KeptConns:         min(got.clients, site.Sockets/scheduledShare),
		ReadAhead:         connBytes,
		Handshakes:        max(minHandshakes, got.clients/handshakeShare),
		HandshakeTimeout:  handshakeTimeout,
		HeaderTimeout:     clientHeaderTimeout,
		ChallengeTimeout:  challengeTimeout,
		BodySilence:       clientBodySilence,
		WriteTimeout:      2*site.Deadline + clientWriteExtra,
		IdleTimeout:       clientIdleTimeout,
		MinIdle:           clientMinIdle,
		LastAnswerTimeout: clientLastAnswer,
	}
}

const (
	responseHeads    = 8
	attemptTries     = 3  // for writing, connecting and probing alike
	nodeIdlePercent  = 60 // of the time after which a node closes an idle connection
	nodeReuseDelay   = 5 * time.Millisecond
	nodeMinTimeout   = 250 * time.Millisecond // for an answer's head, and between its pieces, at the least
	nodeBufferTime   = 250 * time.Millisecond
	streamSilence    = 10 * time.Second
	hedgesPerTimeout = 8 // so many delays before a further attempt make the time for connecting
	connectsPerProbe = 2 // a probe takes as long as so many connections may
)

func nodeLimits(site Site, got shares) NodeLimits {
	return NodeLimits{
		Conns:          got.nodes,
		ResponseHeads:  responseHeads,
		WriteTries:     attemptTries,
		ConnectTries:   attemptTries,
		ProbeTries:     attemptTries,
		ConnectTimeout: site.Connect,
		HedgeDelay:     max(site.Connect/hedgesPerTimeout, time.Millisecond),
		IdleTimeout:    site.ConnIdle * nodeIdlePercent / 100,
		ReuseDelay:     nodeReuseDelay,
		HeaderTimeout:  max(site.Connect, nodeMinTimeout),
		BodySilence:    max(site.Connect, nodeMinTimeout),
		BufferTimeout:  nodeBufferTime,
		StreamSilence:  streamSilence,
		ProbeTimeout:   connectsPerProbe * site.Connect,
	}
}

const (
	filesMaxConns       = 32
	filesHandles        = 256
	filesTransfers      = 8
	filesPacketBytes    = 64<<10 + 1024 // the longest write and the packet's other fields
	filesReadBytes      = 32 << 10
	filesResponseBytes  = 2 << 20
	filesAdmitTimeout   = 30 * time.Second
	filesIdleTimeout    = 5 * time.Minute
	filesLeaveInterval  = 50 * time.Millisecond
	filesLastAnswerTime = 500 * time.Millisecond
)

func fileLimits(got shares) FileLimits {
	return FileLimits{
		Conns:             min(got.clients, filesMaxConns),
		Handles:           filesHandles,
		Transfers:         filesTransfers,
		PacketBytes:       filesPacketBytes,
		ReadBytes:         filesReadBytes,
		ResponseBytes:     filesResponseBytes,
		AdmitTimeout:      filesAdmitTimeout,
		IdleTimeout:       filesIdleTimeout,
		LeaveInterval:     filesLeaveInterval,
		LastAnswerTimeout: filesLastAnswerTime,
	}
}
