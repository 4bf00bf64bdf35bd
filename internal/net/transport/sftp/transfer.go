package sftp

import (
	"context"
	"io"
	"os"
	"slices"
	"sync"

	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// handle is an open file or an open listing of a client.
type handle interface{ about() string }

// file is an open file. It consists of a path; no node keeps a state for it between two commands.
type file struct {
	path string

	mu      sync.Mutex
	spoilt  error         // error of the first write that failed; it is never cleared
	under   []span        // writes in progress
	written chan struct{} // closed and replaced when a write ends
}

// span is a range of bytes in a file; to is not included.
type span struct{ from, to uint64 }

// folder is an open listing. next is the index of the first entry that was not yet sent to the client.
type folder struct {
	path  string
	infos []os.FileInfo
	next  int
}

func (f *file) about() string   { return f.path }
func (f *folder) about() string { return f.path }

func newFile(path string) *file { return &file{path: path, written: make(chan struct{})} }

// begin waits until no write to an overlapping range of the file is in progress. Nodes execute commands of several connections in
// any order, while the draft guarantees clients the order in which they send them (section 6).
func (f *file) begin(ctx context.Context, s span, write bool) error {
	for {
		f.mu.Lock()
		clash := slices.ContainsFunc(f.under, func(u span) bool { return u.from < s.to && s.from < u.to })
		if !clash && write {
			f.under = append(f.under, s)
		}
		written := f.written
		f.mu.Unlock()
		if !clash {
			return nil
		}
		select {
		case <-written:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// end records the result of a write and returns the error that its client gets. After a write has failed, every later answer on
// this file is a failure too, in whichever order the commands were sent.
func (f *file) end(s span, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.under, s); i >= 0 {
		f.under = slices.Delete(f.under, i, i+1)
	}
	close(f.written)
	f.written = make(chan struct{})
	switch {
	case f.spoilt != nil:
		return files.Spoilt(f.spoilt)
	case err != nil:
		f.spoilt = err
	}
	return err
}

// intact returns an error if an earlier write failed.
func (f *file) intact() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.spoilt != nil {
		return files.Spoilt(f.spoilt)
	}
	return nil
}

// move starts a read or a write. Clients send dozens of them ahead, and SFTP has no status that asks a client to retry later: an
// upload fails if one of its writes is rejected. A command is therefore read only when the scheduler has room for it, and the
// commands after it wait unread.
func (v *visitor) move(r packet.Request, size int) error {
	h, _ := v.handles[r.Handle].(*file)
	cmd := files.Command{Op: files.Read, Offset: int64(r.Offset), Length: min(int(r.Length), v.front.limits.Files.ReadBytes)}
	write := r.Kind == packet.Write
	var err error
	switch {
	case h == nil || cmd.Offset < 0:
		err = files.Failure("no open file under this handle")
	case write:
		cmd.Op, cmd.Length, cmd.Data = files.Write, 0, slices.Clone(r.Data) // the buffer of the packet is reused
		err = h.intact()
	}
	var request scheduler.Request
	var count *tally
	if err == nil {
		cmd.Path = h.path
		request, count, err = v.front.request(cmd)
	}
	if err != nil { // answered by the front itself
		if broken := v.take(size); broken != nil {
			return broken
		}
		return v.send(status(r.ID, err))
	}
	touched := span{r.Offset, r.Offset + uint64(max(cmd.Length, len(cmd.Data)))}
	if err := h.begin(v.taking, touched, write); err != nil {
		return err
	}
	release, err := v.reserve()
	if err != nil {
		return err
	}
	entry, err := v.front.core.SubmitWhenReady(v.taking, request, v.front.limits.Files.AdmitTimeout)
	if err == nil {
		_, err = v.in.Discard(lengthBytes + size) // the scheduler has accepted it, even if the connection ends now
	}
	if err != nil {
		release()
		return err
	}
	v.under.Go(func() {
		defer release()
		reply, err := routing.Carry(v.ctx, entry, v.tried(cmd))
		count.add(err)
		if err == nil {
			err = reply.Err
		}
		if write {
			v.send(status(r.ID, h.end(touched, err)))
			return
		}
		if err == nil && len(reply.Data) == 0 && reply.EOF {
			err = io.EOF
		}
		if err != nil {
			v.send(status(r.ID, err))
			return
		}
		v.send(packet.EncodeData(r.ID, reply.Data))
	})
	return nil
}

// reserve waits until both this client and the front have room for one more transfer.
func (v *visitor) reserve() (release func(), err error) {
	for i, room := range []chan struct{}{v.transfer, v.front.room} {
		select {
		case room <- struct{}{}:
		case <-v.taking.Done():
			if i > 0 {
				<-v.transfer
			}
			return nil, context.Cause(v.taking)
		}
	}
	return func() {
		<-v.front.room
		<-v.transfer
	}, nil
}

// tried returns the attempt function of a command.
func (v *visitor) tried(cmd files.Command) func(context.Context, routing.Attempt) (files.Reply, scheduler.AttemptEnded) {
	return func(ctx context.Context, a routing.Attempt) (files.Reply, scheduler.AttemptEnded) {
		a.ClientGone = func() bool { return hungUp(v.conn) }
		return v.front.attempt(ctx, a, cmd)
	}
}

// status encodes the result of a command as a status.
func status(id uint32, err error) []byte {
	s := files.StatusOf(err)
	return packet.EncodeStatus(id, s.Code, s.Text)
}
