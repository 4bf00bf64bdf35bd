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

// handoverSocket stands in $TMPDIR, which the processes of a front share.
const handoverSocket = "handover"

// handoverPath is where the process that serves is asked to hand over, "" where the platform holds no clients' socket
// that two could serve.
func handoverPath(accept, folder string) string {
	if accept == "" || folder == "" {
		return ""
	}
	return filepath.Join(folder, handoverSocket)
}

// takeOver takes over from a predecessor of this front, where there is one. On a fault before the predecessor has let go
// this process begins as after a restart, and promises no more than that allows; beside one that lives and says nothing
// it promises nothing.
func (p *platform) takeOver(path string) {
	c, err := handover.Dial(path)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return // none runs
	}
	if err == nil {
		if err = p.receive(c); err == nil {
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

// awaitPredecessorEnd waits for the end of a predecessor that did not hand over, and may go on at any time: until then this one
// promises nothing.
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

func (p *platform) receive(c *handover.Channel) error {
	if err := c.SetTimeout(p.limits.Stop.HandoverTimeout); err != nil {
		return err
	}
	text, socket, err := c.RequestState()
	if err != nil {
		return err
	}
	if socket != nil {
		defer socket.Close()
	}
	state, err := handover.Decode(text, p.config.Settings.Plans)
	if err != nil {
		return err
	}
	if err := c.Confirm(); err != nil {
		return err
	}
	p.roster.RestoreBans(state.Bans)
	news := p.nodes.Apply(p.roster.Update(state.List))
	p.updateMonitor(news)
	p.core.TakeOver(news, state.Given)
	if socket != nil && len(p.config.Peers) > 0 {
		if conn, err := net.FilePacketConn(socket); err == nil {
			p.peers = transport.PeersOn(conn.(*net.UDPConn), p.config.Peers, p.limits, p.log)
		}
	}
	p.log.Info("handover received", "nodes", len(state.List.Hosts), "projects", len(state.Given.Volumes), "by_hand", len(state.Bans))
	p.succeeded = true
	p.otherProcess.Store(c)
	if err := c.SetTimeout(0); err != nil {
		return err
	}
	go p.receiveFromOther(c)
	return nil
}

// listenForSuccessors hands over to each successor that asks, one at a time, until ctx ends. The first may ask from its return
// on: one that found nobody to ask would begin as after a restart beside this one.
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

// awaitSuccessor takes the one successor that asks next.
func awaitSuccessor(ctx context.Context, l *net.UnixListener, retry time.Duration) (*handover.Channel, error) {
	defer l.Close()
	defer context.AfterFunc(ctx, func() { l.Close() })()
	c, err := accept.New(l, retry, nil).Accept()
	if err != nil {
		return nil, err
	}
	return handover.NewChannel(c.(*net.UnixConn)), nil
}

// queuedIDs is how many ids of requests may wait to be announced to the successor.
const queuedIDs = 4096

// announcer returns a function that tells the successor of a request's id, until ended. No request waits for it. It may be called
// behind the end: a request may still hold it then.
func (p *platform) announcer(c *handover.Channel, ended <-chan struct{}) func(id string) {
	ids := make(chan string, queuedIDs)
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
		default: // the successor stands still
			p.log.Warn("request id not announced to successor", "request", id)
		}
	}
}

// handOver is the predecessor's part, from the successor's question to its end. It returns while this process serves,
// with the cause, never nil: where the successor did take over, this process ends meanwhile.
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
	given, err := p.sendState(c)
	if err != nil {
		p.takeBack(given.Learned)
		return err
	}
	p.otherProcess.Store(c)
	ended := make(chan struct{})
	defer close(ended)
	p.core.AnnounceIDs(p.announcer(c, ended))
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
	p.takeBack(scheduler.Learned{})
	return errors.New("it has ended")
}

// sendState stops promising and gives the state, until the successor may go on.
func (p *platform) sendState(c *handover.Channel) (routing.HandoverState, error) {
	var socket syscall.Conn
	if p.peers != nil {
		p.peers.Pause()
		socket = p.peers.Socket()
	}
	p.front.Pause(true)
	ctx, end := context.WithTimeout(context.Background(), p.limits.Stop.HandoverTimeout)
	defer end()
	given, err := p.core.Yield(ctx)
	if err != nil {
		return given, err
	}
	p.mu.Lock()
	state := handover.State{Given: given, Plans: p.front.PlanNames(), List: p.roster.FullList(), Bans: p.roster.Bans()}
	p.mu.Unlock()
	text, err := handover.Encode(state)
	if err != nil {
		return given, err
	}
	return given, errors.Join(c.SendState(text, socket), c.ReleaseSuccessor(), c.SetTimeout(0))
}

// takeBack has this process serve again, as the successor is gone. unused is what that one never used.
func (p *platform) takeBack(unused scheduler.Learned) {
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
