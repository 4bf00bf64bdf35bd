package program

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"otterturn/internal/handover"
	"otterturn/internal/lifecycle"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport"
	"otterturn/scheduler"
)

// handoverSocket is the socket's file name in $TMPDIR, which the processes of a front share.
const handoverSocket = "handover"

// handoverPath returns the path of the socket on which the serving process accepts handover requests. It is empty unless
// the platform passes the listening socket to the process, since two processes of a front can only share that one.
func handoverPath(accept, folder string) string {
	if accept == "" || folder == "" {
		return ""
	}
	return filepath.Join(folder, handoverSocket)
}

// takeOver takes over the state of a predecessor of this front, if one runs. If that fails before the predecessor has
// released its state, this process starts without state, as after a restart. If the predecessor runs but does not answer
// in time, this process suspends the limits until the predecessor ends.
func (p *platform) takeOver(path string) {
	c, err := handover.Dial(path)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return // no predecessor runs
	}
	if err == nil {
		if err = p.receiveState(c); err == nil {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			p.log.Error("predecessor silent, limits suspended until it ends", "error", err)
			p.core.YieldAll()
			go p.awaitPredecessorEnd(c)
			return
		}
		c.Close()
	}
	p.log.Error("handover failed, starting without state", "error", err)
}

// awaitPredecessorEnd waits for the end of a predecessor that did not hand over. The predecessor may resume at any time, so
// the limits stay suspended until it has ended.
func (p *platform) awaitPredecessorEnd(c *handover.Channel) {
	defer c.Close()
	for err := c.SetTimeout(0); err == nil; {
		var socket *os.File
		if _, _, socket, err = c.Receive(); socket != nil {
			socket.Close()
		}
	}
	if err := p.core.Resume(scheduler.Learned{}, p.peerMessages); err != nil {
		p.log.Error("limits still suspended", "error", err)
		return
	}
	p.log.Info("predecessor ended, limits resumed")
}

func (p *platform) receiveState(c *handover.Channel) error {
	if err := c.SetTimeout(p.limits.Stop.HandoverTimeout); err != nil {
		return err
	}
	encoded, socket, err := c.RequestState()
	if err != nil {
		return err
	}
	if socket != nil {
		defer socket.Close()
	}
	state, err := handover.Decode(encoded, p.config.Settings.Plans)
	if err != nil {
		return err
	}
	if err := c.Confirm(); err != nil {
		return err
	}
	p.roster.RestoreBans(state.Bans)
	change := p.nodes.Apply(p.roster.Update(state.List))
	p.updateMonitor(change)
	p.core.TakeOver(change, state.Core)
	if socket != nil && len(p.config.Peers) > 0 {
		if conn, err := net.FilePacketConn(socket); err == nil {
			p.peers = transport.NewPeers(conn.(*net.UDPConn), p.config.Peers, p.limits, p.log)
		}
	}
	p.log.Info("handover received", "nodes", len(state.List.Hosts), "projects", len(state.Core.Volumes), "by_hand", len(state.Bans))
	p.tookOver = true
	p.otherProcess.Store(c)
	if err := c.SetTimeout(0); err != nil {
		return err
	}
	go p.receiveFromOther(c)
	return nil
}

// listenForSuccessors hands over to each successor that asks, one at a time, until ctx ends. The socket is open when it
// returns: a successor that can't connect would start without state while this process still serves.
func (p *platform) listenForSuccessors(ctx context.Context, path string) {
	l, err := retryStart(func() (*net.UnixListener, error) { return handover.Listen(path) })
	if err != nil {
		p.log.Error("upgrades unavailable", "error", err)
		return
	}
	go p.handOverToSuccessors(ctx, path, l)
}

func (p *platform) handOverToSuccessors(ctx context.Context, path string, l *net.UnixListener) {
	for ctx.Err() == nil {
		c, err := awaitSuccessor(ctx, l, p.limits.AcceptRetry)
		if err == nil {
			cause := p.handOver(c)
			p.log.Warn("upgrade rejected, predecessor continues serving", "error", cause)
			c.Close()
			l, err = retryStart(func() (*net.UnixListener, error) { return handover.Listen(path) })
		}
		if err != nil {
			if ctx.Err() == nil {
				p.log.Error("upgrades unavailable", "error", err)
			}
			return
		}
	}
}

// awaitSuccessor accepts the next successor's connection and closes the listener.
func awaitSuccessor(ctx context.Context, l *net.UnixListener, retry time.Duration) (*handover.Channel, error) {
	defer l.Close()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	c, err := accept.New(l, retry, nil).Accept()
	if err != nil {
		return nil, err
	}
	return handover.NewChannel(c.(*net.UnixConn)), nil
}

// maxQueuedIDs is how many request ids may wait to be announced to the successor.
const maxQueuedIDs = 4096

// newIDAnnouncer returns a function that announces a request's id to the successor until ended is closed. The function never
// blocks, and may be called after ended was closed because a request may still hold it.
func (p *platform) newIDAnnouncer(c *handover.Channel, ended <-chan struct{}) func(id string) {
	ids := make(chan string, maxQueuedIDs)
	go func() {
		for {
			select {
			case id := <-ids:
				c.Send(handover.KindRequestID, []byte(id), nil)
			case <-ended:
				return
			}
		}
	}()
	return func(id string) {
		select {
		case ids <- id:
		default: // the successor is not reading
			p.log.Warn("request id not announced to successor", "request", id)
		}
	}
}

// handOver is the predecessor's side of a handover, from the successor's request to the successor's end. It returns only
// if this process continues to serve, always with an error that names the cause: after a complete handover this process
// shuts down while handOver is still running.
func (p *platform) handOver(c *handover.Channel) error {
	if err := c.SetTimeout(p.limits.Stop.HandoverTimeout); err != nil {
		return err
	}
	if err := c.AwaitRequest(); err != nil {
		return err
	}
	if err := p.guard.Allow(lifecycle.HandOver, time.Time{}); err != nil {
		return err
	}
	coreState, err := p.sendState(c)
	if err != nil {
		p.resumeServing(coreState.Learned)
		return err
	}
	p.otherProcess.Store(c)
	ended := make(chan struct{})
	defer close(ended)
	p.core.AnnounceIDs(p.newIDAnnouncer(c, ended))
	p.front.Yield(func(conn net.Conn) error {
		socket, ok := conn.(syscall.Conn)
		if !ok {
			return errors.ErrUnsupported
		}
		return c.Send(handover.KindConnection, nil, socket)
	})
	p.nodes.CloseIdle()
	p.log.Info("handover sent")
	p.receiveFromOther(c)
	p.resumeServing(scheduler.Learned{})
	return errors.New("successor has ended")
}

// sendState stops this process's use of its limits and grants, pauses accepting, sends the state, and lets the successor
// proceed.
func (p *platform) sendState(c *handover.Channel) (routing.HandoverState, error) {
	var socket syscall.Conn
	if p.peers != nil {
		p.peers.Pause()
		socket = p.peers.Socket()
	}
	p.front.SetAcceptPaused(true)
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.Stop.HandoverTimeout)
	defer cancel()
	coreState, err := p.core.Yield(ctx)
	if err != nil {
		return coreState, err
	}
	p.mu.Lock()
	state := handover.State{Core: coreState, Plans: p.front.PlanNames(), List: p.roster.FullList(), Bans: p.roster.Bans()}
	p.mu.Unlock()
	encoded, err := handover.Encode(state)
	if err != nil {
		return coreState, err
	}
	return coreState, errors.Join(c.SendState(encoded, socket), c.ReleaseSuccessor(), c.SetTimeout(0))
}

// resumeServing makes this process serve again after the successor has ended. unused is state that the successor never used.
func (p *platform) resumeServing(unused scheduler.Learned) {
	p.otherProcess.Store(nil)
	p.core.AnnounceIDs(nil)
	if p.peers != nil {
		p.peers.Resume()
	}
	if err := p.core.Resume(unused, p.peerMessages); err != nil {
		p.log.Error("limits still suspended", "error", err)
	}
	p.front.Resume()
}
