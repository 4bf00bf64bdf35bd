package limits

import "time"

const (
	inboxPerClient = 4                      // events that may be queued for each client connection
	minPastIDs     = 1024                   // minimum number of remembered ids
	answerGrace    = 350 * time.Millisecond // plus maxStall is 500 ms: an answer that is late by no more is not lost
)

func requestLimits(site Site, available resources) RequestLimits {
	open := available.clients
	if site.Open > 0 {
		open = min(open, site.Open)
	}
	return RequestLimits{
		Inbox:     inboxPerClient * available.clients,
		Open:      open,
		Scheduled: min(open, site.Sockets/scheduledShare),
		PastIDs:   pastIDs(available.runtime),
		// A duplicate of a request arrives while its client waits, or within the deduplication window of the nodes.
		IDRetention:   2 * site.MaxDeadline,
		AnswerGrace:   answerGrace,
		HeaderBytes:   headerBytes,
		HeaderFields:  headerFields,
		BufferedBytes: bufferedBytes,
		StreamedBytes: streamedBytes,
	}
}

// A client that sends an unreadable request must get an error, or its connection must be closed, within 3 s of connecting. So
// the timeouts for a request's header, its body and a challenge are shorter.
const (
	clientHeaderTimeout = 2400 * time.Millisecond
	challengeTimeout    = 2500 * time.Millisecond
	clientBodySilence   = 2500 * time.Millisecond
	clientWriteExtra    = 5 * time.Second // for writing an answer, in addition to twice the longest deadline
	clientIdleTimeout   = 5 * time.Second
	clientMinFirstIdle  = 150 * time.Millisecond
	clientMinIdle       = 20 * time.Millisecond
	clientLastAnswer    = 250 * time.Millisecond
	clientAcceptWait    = 100 * time.Millisecond
	clientEvictionDelay = 150 * time.Millisecond
	clientMinStall      = 250 * time.Millisecond
	clientMemoryWait    = 500 * time.Millisecond
	clientUploadWait    = 2 * time.Second
	readAheadBytes      = 32 << 10
	clientMaxUnread     = 50 * time.Millisecond // an attempt may begin 100 ms behind the end of its client
	clientBodyRate      = 64_000                // bytes per second
	handshakeTimeout    = 3 * time.Second
	handshakeShare      = 8 // 1/handshakeShare of the client connections may be in a handshake
	minHandshakes       = 8
	challengeConns      = 16
)

func clientLimits(site Site, available resources) ClientLimits {
	return ClientLimits{
		Conns:             available.clients,
		SpareConns:        spareConns,
		KeptConns:         min(available.clients, site.Sockets/scheduledShare),
		ReadAhead:         readAheadBytes,
		Handshakes:        available.handshakes,
		ChallengeConns:    challengeConns,
		HandshakeTimeout:  handshakeTimeout,
		HeaderTimeout:     clientHeaderTimeout,
		ChallengeTimeout:  challengeTimeout,
		BodySilence:       clientBodySilence,
		WriteTimeout:      2*site.MaxDeadline + clientWriteExtra,
		IdleTimeout:       clientIdleTimeout,
		MinFirstIdle:      clientMinFirstIdle,
		MinIdle:           clientMinIdle,
		LastAnswerTimeout: clientLastAnswer,
		MinStall:          clientMinStall,
		MaxUnread:         clientMaxUnread,
		MemoryWait:        clientMemoryWait,
		UploadWait:        clientUploadWait,
		MaxAcceptWait:     clientAcceptWait,
		MinEvictionDelay:  clientEvictionDelay,
		MinBodyRate:       clientBodyRate,
	}
}

const (
	responseHeads    = 8
	maxTries         = 3  // for writing, connecting and health checks
	nodeIdlePercent  = 60 // share of the time after which a node closes an idle connection
	nodeReuseDelay   = 5 * time.Millisecond
	nodeMinTimeout   = 250 * time.Millisecond // minimum for an answer's header, and for the next part of its body
	nodeBufferTime   = 250 * time.Millisecond
	streamSilence    = 10 * time.Second
	hedgesPerTimeout = 8  // the hedge delay is the connect timeout divided by this
	uploadPercent    = 75 // share of the connections that may be used for long requests
	connectsPerProbe = 2  // a health check's timeout, in connect timeouts
)

func nodeLimits(site Site, available resources) NodeLimits {
	return NodeLimits{
		Conns:          available.nodes,
		Uploads:        max(1, available.nodes*uploadPercent/100),
		ResponseHeads:  responseHeads,
		WriteTries:     maxTries,
		ConnectTries:   maxTries,
		ProbeTries:     maxTries,
		ConnectTimeout: site.Connect,
		HedgeDelay:     max(site.Connect/hedgesPerTimeout, time.Millisecond),
		IdleTimeout:    site.NodeIdleTimeout * nodeIdlePercent / 100,
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
	filesPacketBytes    = 64<<10 + 1024 // the longest write and the other fields of its packet
	filesReadBytes      = 32 << 10
	filesResponseBytes  = 2 << 20
	filesPathBytes      = 4096
	filesUnsettled      = 1024
	filesLateAnswers    = 4         // 1/filesLateAnswers of the connections to nodes
	filesResponseShare  = 8         // a listing takes four times its bytes on the wire
	filesShare          = 4         // connections of SFTP clients may take 1/filesShare of the live objects
	filesMinResponse    = 256 << 10 // the longest packet
	filesMemoryWait     = time.Second
	filesAdmitTimeout   = 30 * time.Second
	filesIdleTimeout    = 5 * time.Minute
	filesLeaveInterval  = 50 * time.Millisecond
	filesLastAnswerTime = 500 * time.Millisecond
)

func fileLimits(site Site, available resources) FileLimits {
	return FileLimits{
		Enabled:           site.Files,
		Conns:             min(available.clients, available.fileClients),
		Handles:           filesHandles,
		Transfers:         filesTransfers,
		PacketBytes:       filesPacketBytes,
		ReadBytes:         filesReadBytes,
		ResponseBytes:     min(filesResponseBytes, max(filesMinResponse, available.handles/filesResponseShare)),
		PathBytes:         filesPathBytes,
		Unsettled:         filesUnsettled,
		LateAnswers:       max(1, available.nodes/filesLateAnswers),
		MemoryWait:        filesMemoryWait,
		AdmitTimeout:      filesAdmitTimeout,
		IdleTimeout:       filesIdleTimeout,
		LeaveInterval:     filesLeaveInterval,
		LastAnswerTimeout: filesLastAnswerTime,
	}
}
