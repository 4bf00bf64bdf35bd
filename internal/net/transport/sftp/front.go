package sftp

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/limits"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/routing"
	"otterturn/rules"
)

// Attempter carries out a command at a node once.
type Attempter func(ctx context.Context, node string, cmd files.Command) (files.Reply, rules.Outcome)

// Site is what the operator set up for the front.
type Site struct {
	Projects []files.Project
	Sizes    files.Sizes
	Classes  [files.Roles]int           // the scheduler's class for each role
	Wait     [files.Roles]time.Duration // the longest that a command of the role takes
	Retry    time.Duration              // advice where the front itself is full
}

// Front serves SFTP clients.
type Front struct {
	site    Site
	limits  limits.Limits
	core    *routing.Core
	attempt Attempter
	tallies map[string]*tally // by project
	open    atomic.Int64      // commands taken and not answered
	ids     atomic.Int64
	mu      sync.Mutex
	conns   map[*visitor]struct{}
	closing bool
	hosts   sync.WaitGroup
}

// NewFront returns a front.
func NewFront(site Site, l limits.Limits, core *routing.Core, attempt Attempter) *Front {
	f := &Front{site: site, limits: l, core: core, attempt: attempt, conns: map[*visitor]struct{}{},
		tallies: map[string]*tally{}}
	for _, p := range site.Projects {
		f.tallies[p.Name] = &tally{}
	}
	return f
}

// tally counts a project's commands by how they ended.
type tally struct{ served, refused, failed atomic.Int64 }

// Count is a project's tally at one moment.
type Count struct{ Served, Refused, Failed int64 }

// Count tells how a project's commands ended.
func (f *Front) Count(project string) Count {
	t := f.tallies[project]
	if t == nil {
		return Count{}
	}
	return Count{t.served.Load(), t.refused.Load(), t.failed.Load()}
}

func (t *tally) add(err error) {
	var refused *routing.Refused
	switch {
	case err == nil:
		t.served.Add(1)
	case errors.As(err, &refused):
		t.refused.Add(1)
	case errors.Is(err, errLeft): // nobody was told that it failed
	default:
		t.failed.Add(1)
	}
}

// visitor is one client's connection and what it has open. It implements the handlers of the SFTP library: one
// call for each command.
type visitor struct {
	*guard
	front   *Front
	ctx     context.Context // ends when the client leaves
	handles atomic.Int64
}

// Serve accepts clients until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // no descriptor is left, or the client has gone again
			time.Sleep(f.limits.AcceptAgain)
			continue
		}
		ctx, left := context.WithCancelCause(context.Background())
		v := &visitor{front: f, ctx: ctx, guard: newGuard(c, f.limits, left)}
		if !f.enter(v) {
			c.Close() // SFTP has no word for 'full' ahead of a session
		}
	}
}

// host serves one client until it leaves, breaks the packet format or the front stops.
func (f *Front) host(v *visitor) {
	defer f.leave(v)
	s := sftp.NewRequestServer(v.guard, sftp.Handlers{FileGet: v, FilePut: v, FileCmd: v, FileList: v})
	s.Serve() // its error tells how the client left
}

// enter starts to serve a client, if there is room.
func (f *Front) enter(v *visitor) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing || len(f.conns) >= f.limits.FileConns {
		return false
	}
	f.conns[v] = struct{}{}
	f.hosts.Go(func() { f.host(v) })
	return true
}

func (f *Front) leave(v *visitor) {
	v.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, v)
}

// Stop takes no more clients and commands, lets what it took be answered, and then closes the connections.
func (f *Front) Stop(l net.Listener) {
	l.Close()
	f.mu.Lock()
	f.closing = true
	for v := range f.conns {
		v.stop()
	}
	f.mu.Unlock()
	f.hosts.Wait() // each ends by the limits of its guard
}

// do has one command answered: by the front where no node is needed, else as one request of the core.
func (v *visitor) do(cmd files.Command) (files.Reply, error) {
	f := v.front
	project, ok := files.Find(f.site.Projects, cmd.Path)
	if !ok {
		return files.Reply{}, files.NoSuchFile(cmd.Path)
	}
	if cmd.Target != "" {
		if to, _ := files.Find(f.site.Projects, cmd.Target); to.Name != project.Name {
			return files.Reply{}, files.Unsupported("a rename between projects")
		}
	}
	defer f.open.Add(-1)
	if f.open.Add(1) > int64(f.limits.Open) {
		full := &routing.Refused{RetryAfter: f.site.Retry}
		f.tallies[project.Name].add(full)
		return files.Reply{}, files.Status(full)
	}
	role := cmd.Role(f.site.Sizes)
	reply, err := routing.Do(v.ctx, f.core, rules.Request{
		ID: "sftp-" + strconv.FormatInt(f.ids.Add(1), 10), Class: f.site.Classes[role], Plan: project.Plan,
		Volume: project.Name, Key: cmd.Path, Units: cmd.Units(f.site.Sizes), Shard: project.Shard, Hosts: 1,
		Left: rules.Micros(f.site.Wait[role] / time.Microsecond),
	}, func(ctx context.Context, node string) (files.Reply, rules.Outcome) { return f.attempt(ctx, node, cmd) })
	f.tallies[project.Name].add(err)
	if err != nil {
		return files.Reply{}, files.Status(err)
	}
	return reply, reply.Err
}

// handle is an open file or folder: a path, which needs nothing at a node between two commands.
type handle struct {
	v    *visitor
	path string
	once sync.Once
}

// open counts a handle against the client's bound.
func (v *visitor) open(path string) (*handle, error) {
	if v.handles.Add(1) > int64(v.front.limits.FileHandles) {
		v.handles.Add(-1)
		return nil, files.Status(&routing.Refused{RetryAfter: v.front.site.Retry})
	}
	return &handle{v: v, path: path}, nil
}

// opened opens a handle once the command that checks or makes the file has been answered.
func (v *visitor) opened(cmd files.Command) (*handle, error) {
	h, err := v.open(cmd.Path)
	if err != nil {
		return nil, err
	}
	if _, err := v.do(cmd); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *handle) Close() error {
	h.once.Do(func() { h.v.handles.Add(-1) })
	return nil
}

// ReadAt reads from the file.
func (h *handle) ReadAt(p []byte, offset int64) (int, error) {
	reply, err := h.v.do(files.Command{Op: files.Read, Path: h.path, Offset: offset, Length: len(p)})
	if err != nil {
		return 0, err
	}
	n := copy(p, reply.Data)
	if reply.EOF {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt writes to the file.
func (h *handle) WriteAt(p []byte, offset int64) (int, error) {
	if _, err := h.v.do(files.Command{Op: files.Write, Path: h.path, Offset: offset, Data: p}); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Fileread opens a file for reading.
func (v *visitor) Fileread(r *sftp.Request) (io.ReaderAt, error) {
	return v.opened(files.Command{Op: files.Stat, Path: files.Clean(r.Filepath)})
}

// Filewrite opens a file for writing.
func (v *visitor) Filewrite(r *sftp.Request) (io.WriterAt, error) { return v.OpenFile(r) }

// OpenFile opens a file for writing, or for both.
func (v *visitor) OpenFile(r *sftp.Request) (sftp.WriterAtReaderAt, error) {
	is := r.Pflags()
	if is.Append {
		return nil, files.Unsupported("append: write at the end's offset instead")
	}
	cmd := files.Command{Op: files.Create, Path: files.Clean(r.Filepath), Flags: os.O_WRONLY}
	for _, f := range []struct {
		set  bool
		flag int
	}{{is.Creat, os.O_CREATE}, {is.Trunc, os.O_TRUNC}, {is.Excl, os.O_EXCL}} {
		if f.set {
			cmd.Flags |= f.flag
		}
	}
	return v.opened(cmd)
}

var commands = map[string]files.Op{"Setstat": files.SetAttr, "Remove": files.Remove, "Rmdir": files.Rmdir,
	"Mkdir": files.Mkdir, "Rename": files.Rename, "PosixRename": files.PosixRename}

// Filecmd carries out a command that changes something beside a file's content.
func (v *visitor) Filecmd(r *sftp.Request) error {
	op, ok := commands[r.Method]
	if !ok {
		return files.Unsupported(r.Method + " is not offered")
	}
	cmd := files.Command{Op: op, Path: files.Clean(r.Filepath)}
	switch op {
	case files.Rename, files.PosixRename:
		cmd.Target = files.Clean(r.Target)
	case files.SetAttr:
		cmd.Set, cmd.Attrs = r.AttrFlags(), r.Attributes()
		if cmd.Attrs == nil {
			return sftp.ErrSSHFxBadMessage
		}
	}
	_, err := v.do(cmd)
	return err
}

// PosixRename renames over what is there.
func (v *visitor) PosixRename(r *sftp.Request) error { return v.Filecmd(r) }

// Filelist lists a folder or tells of a file.
func (v *visitor) Filelist(r *sftp.Request) (sftp.ListerAt, error) {
	return v.look(map[string]files.Op{"List": files.List, "Stat": files.Stat}[r.Method], r)
}

// Lstat tells of a file, or of a link itself.
func (v *visitor) Lstat(r *sftp.Request) (sftp.ListerAt, error) { return v.look(files.Lstat, r) }

// Readlink tells where a link points.
func (v *visitor) Readlink(path string) (string, error) {
	reply, err := v.do(files.Command{Op: files.Readlink, Path: files.Clean(path)})
	return reply.Text, err
}

func (v *visitor) look(op files.Op, r *sftp.Request) (sftp.ListerAt, error) {
	name := files.Clean(r.Filepath)
	var infos listing
	if _, ok := files.Find(v.front.site.Projects, name); ok {
		reply, err := v.do(files.Command{Op: op, Path: name})
		if err != nil {
			return nil, err
		}
		infos = reply.Infos
	} else if below := files.Above(v.front.site.Projects, name); len(below) == 0 {
		return nil, files.NoSuchFile(name)
	} else if op == files.List {
		for _, b := range below {
			infos = append(infos, folder(b))
		}
	} else {
		infos = listing{folder(name)}
	}
	if op != files.List {
		return infos, nil
	}
	h, err := v.open(name)
	if err != nil {
		return nil, err
	}
	return &openListing{listing: infos, handle: h}, nil
}

// listing is what a node said of a folder, or of one file.
type listing []os.FileInfo

// ListAt copies what comes from an entry on.
func (l listing) ListAt(into []os.FileInfo, from int64) (int, error) {
	if from >= int64(len(l)) {
		return 0, io.EOF
	}
	n := copy(into, l[from:])
	if n < len(into) {
		return n, io.EOF
	}
	return n, nil
}

type openListing struct {
	listing
	*handle
}

// folder is one that stands above projects.
type folder string

func (f folder) Name() string     { return string(f) }
func (folder) Size() int64        { return 0 }
func (folder) Mode() os.FileMode  { return os.ModeDir | 0o555 }
func (folder) ModTime() time.Time { return time.Unix(0, 0) }
func (folder) IsDir() bool        { return true }
func (folder) Sys() any           { return nil }
