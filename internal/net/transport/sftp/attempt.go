package sftp

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"

	"github.com/pkg/sftp"

	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport/nodes"
	"otterturn/scheduler"
)

// Attempter sends a command to a node once. mayStillRun reports that the node may carry out a change of the command after the return;
// settled is called if it is known later that the node won't any more.
type Attempter func(ctx context.Context, a routing.Attempt, cmd files.Command, settled func()) (
	reply files.Reply, ended scheduler.AttemptEnded, mayStillRun bool)

// exchange is one command on a session. It knows how far the command has come at the node.
type exchange struct {
	*sftp.Client
	wire       *countingConn
	changed    atomic.Bool // a packet that changes something has been answered
	unanswered atomic.Bool // a packet that changes something may have been sent and has not been answered
}

// change runs a step of a command that changes something at the node.
func (x *exchange) change(step func() error) error {
	x.unanswered.Store(true)
	err := step()
	_, broken := files.ClassifyNodeError(err)
	if !broken {
		x.changed.Store(true)
	}
	// The library sends the packets of a step one by one, each after the answer to the one before.
	if !broken || errors.Is(err, errAbandoned) {
		x.unanswered.Store(false)
	}
	return err
}

// abandon makes sure that nothing more is sent, and reports whether a change may have been sent that has not been answered.
func (x *exchange) abandon() bool {
	x.wire.abandoned.Store(true)
	return x.unanswered.Load()
}

// result is the result of an exchange.
type result struct {
	reply files.Reply
	err   error
}

// Attempt is an Attempter. When ctx ends it returns at once. SFTP has no way to cancel a command, so the connection is closed then,
// unless a change may have been sent: the late answer to a change tells that the node won't carry it out any more.
func (c *Client) Attempt(ctx context.Context, a routing.Attempt, cmd files.Command, settled func()) (files.Reply, scheduler.AttemptEnded, bool) {
	conn, notSent := c.acquire(ctx, a)
	if conn == nil {
		return files.Reply{}, scheduler.AttemptEnded{Result: notSent}, false
	}
	x := &exchange{Client: conn.Session.Client, wire: conn.Session.countingConn}
	x.wire.beginExchange(a.MarkWritten)
	done := make(chan result, 1)
	go func() {
		reply, err := x.execute(cmd)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return c.conclude(ctx, a, cmd, conn, x, r)
	case <-ctx.Done():
	}
	if x.abandon() && c.awaitLate(conn, x, int64(len(cmd.Data)), done, settled) {
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.TimedOut}, true
	}
	conn.Close()
	return c.conclude(ctx, a, cmd, conn, x, <-done)
}

// acquire returns a connection for an attempt, or why the attempt can't be sent.
func (c *Client) acquire(ctx context.Context, a routing.Attempt) (*nodes.Conn[*session], scheduler.Result) {
	conn, err := c.Acquire(a.BeginContext, a.Node, nodes.Running)
	denied := a.CheckPermitted()
	if err == nil && denied != nil { // the permission ended while the connection was established
		c.Release(conn, true)
		err = denied
	}
	switch {
	case err == nil:
		return conn, scheduler.OK
	case ctx.Err() != nil:
		return nil, scheduler.TimedOut
	case denied != nil, errors.Is(err, nodes.ErrNoResources):
		return nil, scheduler.NotStarted
	case errors.Is(err, nodes.ErrNotAccepting):
		return nil, scheduler.QueueFull
	}
	return nil, scheduler.Unreachable
}

// awaitLate keeps a connection until the answer to a change arrives. It reports whether there was room for one more such connection.
func (c *Client) awaitLate(conn *nodes.Conn[*session], x *exchange, size int64, done <-chan result, settled func()) bool {
	if !c.lateData.TryReserve(size) {
		return false
	}
	select {
	case c.lateAnswers <- struct{}{}:
	default:
		c.lateData.Release(size)
		return false
	}
	go func() {
		<-done
		<-c.lateAnswers
		c.lateData.Release(size)
		c.Release(conn, false)
		if !x.unanswered.Load() {
			settled()
		}
	}()
	return true
}

// conclude releases the connection of an exchange that has ended, and returns the result of the attempt.
func (c *Client) conclude(ctx context.Context, a routing.Attempt, cmd files.Command, conn *nodes.Conn[*session], x *exchange, r result) (
	reply files.Reply, ended scheduler.AttemptEnded, mayStillRun bool,
) {
	nodeErr, broken := files.ClassifyNodeError(r.err)
	c.Release(conn, !broken && !x.wire.abandoned.Load())
	mayStillRun = x.unanswered.Load()
	switch {
	case !broken:
		r.reply.Err = cmp.Or(r.reply.Err, nodeErr)
		return r.reply, scheduler.AttemptEnded{Result: scheduler.OK}, false
	case ctx.Err() != nil:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.TimedOut}, mayStillRun
	case x.wire.written.Load() == 0:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Unreachable}, mayStillRun
	}
	alive := c.Reconnect(a.Node)
	switch {
	case !cmd.Changes() || mayStillRun || x.changed.Load():
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Reset, Alive: alive}, mayStillRun
	case alive: // the connection broke before the packet that changes something
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.QueueFull}, false
	}
	return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Unreachable}, false
}
