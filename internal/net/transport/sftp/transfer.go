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

// handle is what a client has open.
type handle interface{ about() string }

// file is an open file: a path, which needs nothing at a node between two commands.
type file struct {
	path string

	mu      sync.Mutex
	spoilt  error         // the first write that was not served, for good
	under   []span        // writes under way
	written chan struct{} // closed, and made anew, as one of them ends
}

// span is a part of a file in bytes.
type span struct{ from, to uint64 }

// folder is an open listing; next is the first entry that the client has not been sent.
type folder struct {
	path  string
	infos []os.FileInfo
	next  int
}

func (f *file) about() string   { return f.path }
func (f *folder) about() string { return f.path }

func newFile(path string) *file { return &file{path: path, written: make(chan struct{})} }

// begin waits until no write is under way to a part of the file that a transfer touches: nodes run what comes
// over several connections in any order, and the draft promises clients that of their sending (section 6).
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

// end tells how a write ended, and what its client is to be told: one that was not served spoils the file, and
// whatever is answered after that fails, in whichever order the two were sent.
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

// intact tells whether every write was served so far.
func (f *file) intact() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.spoilt != nil {
		return files.Spoilt(f.spoilt)
	}
	return nil
}

// move has a read or a write carried out. Clients send dozens ahead, and SFTP has no word for 'come back later':
// one that is refused is an upload that failed. So it is taken only once the decisions have room for it, and the
// rest waits unread.
func (v *visitor) move(r packet.Request, size int) error {
	h, _ := v.handles[r.Handle].(*file)
	cmd := files.Command{Op: files.Read, Offset: int64(r.Offset), Length: min(int(r.Length), v.front.limits.Files.ReadBytes)}
	write := r.Kind == packet.Write
	var err error
	switch {
	case h == nil || cmd.Offset < 0:
		err = files.Failure("no open file under this handle")
	case write:
		cmd.Op, cmd.Length, cmd.Data = files.Write, 0, slices.Clone(r.Data) // the packet's bytes are read over
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
		_, err = v.in.Discard(lengthBytes + size) // the core has taken it, whatever ends meanwhile
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

// reserve waits for the room of one more transfer, of this client and of the front.
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

// tried is the attempt of a command.
func (v *visitor) tried(cmd files.Command) func(context.Context, routing.Attempt) (files.Reply, scheduler.AttemptEnded) {
	return func(ctx context.Context, a routing.Attempt) (files.Reply, scheduler.AttemptEnded) {
		a.ClientGone = func() bool { return hungUp(v.conn) }
		return v.front.attempt(ctx, a, cmd)
	}
}

// status encodes how a command ended.
func status(id uint32, err error) []byte {
	s := files.StatusOf(err)
	return packet.EncodeStatus(id, s.Code, s.Text)
}
