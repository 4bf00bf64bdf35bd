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

// errAnswer reports that a node's answer exceeds the limit on its size.
var errAnswer = errors.New("node's answer is too long")

// errImproper reports an answer of a node that has the wrong type for the command.
var errImproper = errors.New("node's answer does not fit the command")

// Client sends commands to nodes, one at a time per connection.
type Client struct {
	*nodes.Pool[*session]
}

// session is an SFTP session with a node.
type session struct {
	*sftp.Client
	wire *wire
	dead atomic.Bool
}

// wire counts the bytes of an exchange on a connection and limits those of an answer.
type wire struct {
	net.Conn
	bound   int64
	written atomic.Int64 // bytes since the start of the exchange
	read    atomic.Int64
	begun   func() // called after the first byte of the current exchange was written
}

func (w *wire) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	if n > 0 && w.written.Add(int64(n)) == int64(n) {
		w.begun()
	}
	return n, err
}

func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if w.read.Add(int64(n)) > w.bound {
		return 0, errAnswer // an endless listing must not exhaust the memory
	}
	return n, err
}

// NewClient returns a client without nodes.
func NewClient(l limits.Limits) *Client {
	return &Client{Pool: nodes.New(l, nodes.Session[*session]{
		Open: func(c net.Conn) (*session, error) {
			w := &wire{Conn: c, bound: l.Files.ResponseBytes, begun: func() {}}
			client, err := sftp.NewClientPipe(w, w)
			if err != nil {
				return nil, fmt.Errorf("open SFTP session: %w", err)
			}
			s := &session{Client: client, wire: w}
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
	conn, err := c.Acquire(a.MayBegin, a.Node, nodes.Running)
	denied := a.Permitted()
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
	w := conn.Session.wire
	w.begun = a.Written
	w.written.Store(0)
	w.read.Store(0)
	unhook := context.AfterFunc(ctx, func() { conn.Close() }) // SFTP has no way to cancel a command
	reply, err := carryOut(conn.Session.Client, cmd)
	said, broken := files.NodeStatus(err)
	intact := unhook()
	c.Release(conn, intact && !broken)
	switch {
	case !broken:
		reply.Err = cmp.Or(reply.Err, said)
		return reply, scheduler.AttemptEnded{Result: scheduler.OK}
	case ctx.Err() != nil:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.TimedOut}
	case w.written.Load() == 0:
		return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Unreachable}
	}
	return files.Reply{}, scheduler.AttemptEnded{Result: scheduler.Reset, Alive: c.Reconnect(a.Node)}
}

// carryOut executes a command on a session.
func carryOut(s *sftp.Client, cmd files.Command) (reply files.Reply, err error) {
	switch cmd.Op {
	case files.Stat:
		return one(s.Stat(cmd.Path))
	case files.Lstat:
		return one(s.Lstat(cmd.Path))
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
		err = errImproper
	}
	return f, err
}

// one returns the answer for a single file. If a node answers with the status OK instead of attributes, the library returns a nil
// pointer inside info, and the program would panic when it used it.
func one(info os.FileInfo, err error) (files.Reply, error) {
	if err != nil {
		return files.Reply{}, err
	}
	if about, ok := info.Sys().(*sftp.FileStat); !ok || about == nil {
		return files.Reply{}, errImproper
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
	to := cmd.Attrs
	var err error
	if to.Has&packet.HasSize != 0 {
		err = s.Truncate(cmd.Path, int64(to.Size))
	}
	if to.Has&packet.HasMode != 0 && err == nil {
		err = s.Chmod(cmd.Path, os.FileMode(to.Mode).Perm())
	}
	if to.Has&packet.HasTimes != 0 && err == nil {
		err = s.Chtimes(cmd.Path, time.Unix(int64(to.Atime), 0), time.Unix(int64(to.Mtime), 0))
	}
	if to.Has&packet.HasOwner != 0 && err == nil {
		err = s.Chown(cmd.Path, int(to.UID), int(to.GID))
	}
	return err
}

// Probe returns the health check of a node: whether it answers at all. SFTP has no load report.
func (c *Client) Probe(l limits.Limits) func(node string) scheduler.HealthChecked {
	return func(node string) scheduler.HealthChecked {
		out := scheduler.HealthChecked{Node: node, Queue: -1}
		ctx, release := context.WithTimeout(context.Background(), l.Nodes.ProbeTimeout)
		defer release()
		conn, err := c.Acquire(ctx, node, nodes.AnyState)
		if err != nil {
			return out
		}
		unhook := context.AfterFunc(ctx, func() { conn.Close() })
		_, err = conn.Session.RealPath("/")
		_, broken := files.NodeStatus(err)
		out.OK = !broken
		c.Release(conn, unhook() && !broken)
		return out
	}
}
