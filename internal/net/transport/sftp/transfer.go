package sftp

import (
	"context"
	"io"
	"os"
	"slices"
	"sync"

	"otterturn/internal/memory"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// handle is an open file or an open listing of a client.
type handle interface {
	filePath() string
	release() // frees its memory
}

// file is an open file. It consists of a path; no node keeps a state for it between two commands.
type file struct {
	path   string
	memory *memory.Reservation

	mu       sync.Mutex
	writeErr error // error of the first write that failed; it is never cleared
}

// folder is an open listing. next is the index of the first entry that was not yet sent to the client.
type folder struct {
	path   string
	infos  []os.FileInfo
	next   int
	memory *memory.Reservation
}

func (f *file) filePath() string   { return f.path }
func (f *folder) filePath() string { return f.path }
func (f *file) release()           { f.memory.Release() }
func (f *folder) release()         { f.memory.Release() }

func newFile(path string, held *memory.Reservation) *file { return &file{path: path, memory: held} }

// end records the result of a write and returns the error that its client gets. After a write has failed, every later answer on
// this file is a failure too, in whichever order the commands were sent.
func (f *file) end(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.writeErr != nil:
		return files.WriteFailed(f.writeErr)
	case err != nil:
		f.writeErr = err
	}
	return err
}

// checkWrites returns an error if an earlier write failed.
func (f *file) checkWrites() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeErr != nil {
		return files.WriteFailed(f.writeErr)
	}
	return nil
}

// startTransfer starts a read or a write. Clients send dozens of them ahead, and SFTP has no status that asks a client to retry
// later: an upload fails if one of its writes is rejected. A command is therefore read only when the scheduler has room for it, and
// the commands after it wait unread.
func (c *clientConn) startTransfer(r packet.Request, size int) error {
	h, _ := c.handles[r.Handle].(*file)
	cmd := files.Command{Op: files.Read, Offset: int64(r.Offset), Length: min(int(r.Length), c.front.limits.Files.ReadBytes)}
	write := r.Kind == packet.Write
	var err error
	switch {
	case h == nil || cmd.Offset < 0:
		err = files.Failure("no open file under this handle")
	case write:
		cmd.Op, cmd.Length = files.Write, 0
		err = h.checkWrites()
	}
	var request scheduler.Request
	var counts *counters
	if err == nil {
		cmd.Path, cmd.Data = h.path, r.Data
		request, counts, err = c.front.request(cmd)
	}
	var change *pendingChange
	if err == nil {
		if change, err = c.order(cmd, request); c.accepting.Err() != nil {
			change.complete()
			return context.Cause(c.accepting)
		}
		if err != nil {
			counts.add(err)
			err = h.end(err)
		}
	}
	if err != nil { // answered by the front itself
		if broken := c.consume(size); broken != nil {
			return broken
		}
		return c.send(status(r.ID, err))
	}
	release, err := c.reserveTransfer(transferCopies * int64(max(cmd.Length, len(cmd.Data))))
	if err != nil {
		change.complete()
		return err
	}
	cmd.Data = slices.Clone(cmd.Data) // the buffer of the packet is reused
	submission, err := c.front.core.SubmitWhenReady(c.accepting, request, c.front.limits.Files.AdmitTimeout)
	if err == nil {
		_, err = c.in.Discard(lengthBytes + size) // the scheduler has accepted it, even if the connection ends now
	}
	if err != nil {
		change.complete()
		release()
		return err
	}
	c.inProgress.Go(func() {
		defer release()
		reply, err := routing.Complete(c.ctx, submission, c.attemptFunc(cmd, change))
		change.complete()
		counts.add(err)
		if err == nil {
			err = reply.Err
		}
		if write {
			c.send(status(r.ID, h.end(err)))
			return
		}
		if err == nil && len(reply.Data) == 0 && reply.EOF {
			err = io.EOF
		}
		if err != nil {
			c.send(status(r.ID, err))
			return
		}
		c.send(packet.EncodeData(r.ID, reply.Data))
	})
	return nil
}

// order waits until a read or a write may be sent. Nodes execute commands of several connections in any order, while the draft
// guarantees clients the order in which they send them (section 6). For a write it returns the change.
func (c *clientConn) order(cmd files.Command, request scheduler.Request) (*pendingChange, error) {
	if !cmd.Changes() {
		return nil, c.front.changes.awaitInProgress(c.accepting, cmd.Change())
	}
	return c.front.changes.begin(c.accepting, cmd.Change(), request.Volume)
}

// transferCopies is how often the data of a read or a write is in memory at the same time.
const transferCopies = 3

// reserveTransfer waits until both this client and the front have room for one more transfer, and for its memory.
func (c *clientConn) reserveTransfer(size int64) (release func(), err error) {
	for i, slots := range []chan struct{}{c.transferSlots, c.front.slots} {
		select {
		case slots <- struct{}{}:
		case <-c.accepting.Done():
			if i > 0 {
				<-c.transferSlots
			}
			return nil, context.Cause(c.accepting)
		}
	}
	held := c.front.memory.NewReservation()
	release = func() {
		held.Release()
		<-c.front.slots
		<-c.transferSlots
	}
	if held.GrowWait(c.accepting, size, nil) != nil {
		release()
		return nil, context.Cause(c.accepting)
	}
	return release, nil
}

// attemptFunc returns the attempt function of a command.
func (c *clientConn) attemptFunc(cmd files.Command, change *pendingChange) routing.AttemptFunc[files.Reply] {
	return func(ctx context.Context, a routing.Attempt) (files.Reply, scheduler.AttemptEnded) {
		a.ClientGone = func() bool { return peerClosed(c.conn) }
		if change != nil {
			return change.attempt(ctx, a, cmd, c.front.attempt)
		}
		reply, ended, _ := c.front.attempt(ctx, a, cmd, func() {})
		return reply, ended
	}
}

// status encodes the result of a command as a status.
func status(id uint32, err error) []byte {
	s := files.StatusOf(err)
	return packet.EncodeStatus(id, s.Code, s.Text)
}
