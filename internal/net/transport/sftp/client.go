// Package sftp is the front for SFTP: it serves SFTP version 3 over TCP or TLS to clients, and sends their commands to nodes over TCP.
package sftp

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/limits"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport/nodes"
	"otterturn/scheduler"
)

// errAnswerTooLong reports that a node's answer exceeds the limit on its size.
var errAnswerTooLong = errors.New("node's answer is too long")

// errUnexpectedAnswer reports an answer of a node that has the wrong type for the command.
var errUnexpectedAnswer = errors.New("node's answer does not fit the command")

// Client sends commands to nodes, one at a time per connection.
type Client struct {
	*nodes.Pool[*session]
}

// session is an SFTP session with a node.
type session struct {
	*sftp.Client
	countingConn *countingConn
	dead         atomic.Bool
}

// countingConn counts the bytes of an exchange on a connection and limits those of an answer.
type countingConn struct {
	net.Conn
	maxRead     int64
	written     atomic.Int64 // bytes since the start of the exchange
	read        atomic.Int64
	onFirstByte func() // called after the first byte of the current exchange was written
}

// beginExchange restarts the counts. onFirstByte is called after the first byte was written.
func (c *countingConn) beginExchange(onFirstByte func()) {
	c.onFirstByte = onFirstByte
	c.written.Store(0)
	c.read.Store(0)
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 && c.written.Add(int64(n)) == int64(n) {
		c.onFirstByte()
	}
	return n, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read.Add(int64(n)) > c.maxRead {
		return 0, errAnswerTooLong // an endless listing must not exhaust the memory
	}
	return n, err
}

// NewClient returns a client without nodes.
func NewClient(l limits.Limits) *Client {
	return &Client{Pool: nodes.New(l, nodes.Session[*session]{
		Open: func(c net.Conn) (*session, error) {
			wire := &countingConn{Conn: c, maxRead: l.Files.ResponseBytes, onFirstByte: func() {}}
			client, err := sftp.NewClientPipe(wire, wire)
			if err != nil {
				return nil, fmt.Errorf("open SFTP session: %w", err)
			}
			s := &session{Client: client, countingConn: wire}
			go func() {
				client.Wait()
				s.dead.Store(true)
			}()
			return s, nil
		},
		Alive: func(_ net.Conn, s *session) bool { return !s.dead.Load() },
	})}
}

// Attempt sends a command to a node once and returns the result of the attempt.
func (c *Client) Attempt(ctx context.Context, a routing.Attempt, cmd files.Command) (files.Reply, scheduler.AttemptEnded) {
	conn, err := c.Acquire(a.BeginContext, a.Node, nodes.Running)
	denied := a.CheckPermitted()
	if err == nil && denied != nil { // the permission ended while the connection was established
		c.Release(conn, true)
		err = denied
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.TimedOut}
	case err != nil && denied != nil, errors.Is(err, nodes.ErrNoResources):
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.NotStarted}
	case errors.Is(err, nodes.ErrNotAccepting):
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.QueueFull}
	case err != nil:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Unreachable}
	}
	wire := conn.Session.countingConn
	wire.beginExchange(a.MarkWritten)
	stopClose := context.AfterFunc(ctx, func() { conn.Close() }) // SFTP has no way to cancel a command
	reply, err := execute(conn.Session.Client, cmd)
	nodeErr, broken := files.ClassifyNodeError(err)
	intact := stopClose()
	c.Release(conn, intact && !broken)
	switch {
	case !broken:
		reply.Err = cmp.Or(reply.Err, nodeErr)
		return reply, scheduler.AttemptEnded{Result: scheduler.OK}
	case ctx.Err() != nil:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.TimedOut}
	case wire.written.Load() == 0:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Unreachable}
	}
	return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Reset, Alive: c.Reconnect(a.Node)}
}

// execute runs a command on a session.
func execute(s *sftp.Client, cmd files.Command) (reply files.Reply, err error) {
	switch cmd.Op {
	case files.Stat:
		return singleInfo(s.Stat(cmd.Path))
	case files.Lstat:
		return singleInfo(s.Lstat(cmd.Path))
	case files.Readlink:
		reply.Text, err = s.ReadLink(cmd.Path)
	case files.List:
		reply.Infos, err = s.ReadDir(cmd.Path)
	case files.Read:
		return read(s, cmd)
	case files.Create:
		var f *sftp.File
		if f, err = open(s, cmd.Path, cmd.Flags); err == nil {
			err = f.Close()
		}
	case files.Write:
		var f *sftp.File
		if f, err = open(s, cmd.Path, os.O_WRONLY); err == nil {
			_, err = f.WriteAt(cmd.Data, cmd.Offset)
			err = errors.Join(err, f.Close())
		}
	case files.SetAttr:
		err = setAttr(s, cmd)
	case files.Remove:
		// The library also removes a folder of that name, but this command must remove only files.
		var info os.FileInfo
		if info, err = s.Lstat(cmd.Path); err == nil && info.IsDir() {
			reply.Err = files.Failure(cmd.Path + " is a folder")
		} else if err == nil {
			err = s.Remove(cmd.Path)
		}
	case files.Rmdir:
		err = s.RemoveDirectory(cmd.Path)
	case files.Mkdir:
		err = s.Mkdir(cmd.Path)
	case files.Rename:
		err = s.Rename(cmd.Path, cmd.Target)
	case files.PosixRename:
		err = s.PosixRename(cmd.Path, cmd.Target)
	}
	return reply, err
}

// open opens a file. If a node answers with the status OK instead of a handle, the library returns neither a file nor an error.
func open(s *sftp.Client, path string, flags int) (*sftp.File, error) {
	f, err := s.OpenFile(path, flags)
	if f == nil && err == nil {
		err = errUnexpectedAnswer
	}
	return f, err
}

// singleInfo returns the answer for a single file. If a node answers with the status OK instead of attributes, the library returns a nil
// pointer inside info, and the program would panic when it used it.
func singleInfo(info os.FileInfo, err error) (files.Reply, error) {
	if err != nil {
		return files.Reply{}, err
	}
	if stat, ok := info.Sys().(*sftp.FileStat); !ok || stat == nil {
		return files.Reply{}, errUnexpectedAnswer
	}
	return files.Reply{Infos: []os.FileInfo{info}}, nil
}

func read(s *sftp.Client, cmd files.Command) (files.Reply, error) {
	f, err := open(s, cmd.Path, os.O_RDONLY)
	if err != nil {
		return files.Reply{}, err
	}
	data := make([]byte, cmd.Length)
	n, err := f.ReadAt(data, cmd.Offset)
	reply := files.Reply{Data: data[:n], EOF: errors.Is(err, io.EOF)}
	if reply.EOF {
		err = nil
	}
	return reply, errors.Join(err, f.Close())
}

func setAttr(s *sftp.Client, cmd files.Command) error {
	attrs := cmd.Attrs
	var err error
	if attrs.Has&packet.HasSize != 0 {
		err = s.Truncate(cmd.Path, int64(attrs.Size))
	}
	if attrs.Has&packet.HasMode != 0 && err == nil {
		err = s.Chmod(cmd.Path, os.FileMode(attrs.Mode).Perm())
	}
	if attrs.Has&packet.HasTimes != 0 && err == nil {
		err = s.Chtimes(cmd.Path, time.Unix(int64(attrs.Atime), 0), time.Unix(int64(attrs.Mtime), 0))
	}
	if attrs.Has&packet.HasOwner != 0 && err == nil {
		err = s.Chown(cmd.Path, int(attrs.UID), int(attrs.GID))
	}
	return err
}

// Probe returns the health check of a node: whether it answers at all. SFTP has no load report.
func (c *Client) Probe(l limits.Limits) func(node string) scheduler.HealthChecked {
	return func(node string) scheduler.HealthChecked {
		out := scheduler.HealthChecked{Node: node, Queue: -1}
		ctx, cancel := context.WithTimeout(context.Background(), l.Nodes.ProbeTimeout)
		defer cancel()
		conn, err := c.Acquire(ctx, node, nodes.AnyState)
		if err != nil {
			return out
		}
		conn.Session.countingConn.beginExchange(func() {})
		stopClose := context.AfterFunc(ctx, func() { conn.Close() })
		_, err = conn.Session.RealPath("/")
		_, broken := files.ClassifyNodeError(err)
		out.OK = !broken
		c.Release(conn, stopClose() && !broken)
		return out
	}
}
