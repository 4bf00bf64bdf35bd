package sockets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/pkg/sftp"

	"otterturn/internal/lab/model"
	"otterturn/internal/lab/world"
	"otterturn/internal/net/protocol"
)

// Emulated describes a node that Emulate serves. A protocol with an empty address is not served. The node's file system
// starts with the given folders.
type Emulated struct {
	Name, HTTP, SFTP string
	Folders          []string
}

// Work of file commands, in microseconds of a core of speed 1.
const (
	commandWork = 2_000
	readWork    = 5_000 // per started unitBytes
	writeWork   = 9_000
	unitBytes   = 16 << 10
)

// Emulate serves nodes until ctx ends, each with its own model of the given parameters and with files in memory. cost returns
// the work of a request of the platform's protocol.
func Emulate(ctx context.Context, nodes []Emulated, figures model.Parameters, set protocol.Settings, cost func(protocol.Request) model.Job) error {
	var models []*model.Node
	for range nodes {
		models = append(models, model.New(figures))
	}
	w := world.New(set.Scheduler, models, 1, 0, 1)
	var servers []*node
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
		for _, s := range servers {
			s.stop()
		}
	}()
	w.Live()
	for i, e := range nodes {
		n := w.Nodes[i]
		n.Name = e.Name
		if e.HTTP != "" {
			s := &node{world: w, node: n, set: set, cost: cost}
			if err := s.listen(e.HTTP); err != nil {
				return err
			}
			servers = append(servers, s)
		}
		if e.SFTP != "" {
			l, err := net.Listen("tcp", e.SFTP)
			if err != nil {
				return fmt.Errorf("%s: %w", e.Name, err)
			}
			listeners = append(listeners, l)
			files := sftp.InMemHandler()
			for _, folder := range e.Folders {
				if err := files.FileCmd.Filecmd(sftp.NewRequest("Mkdir", folder)); err != nil {
					return fmt.Errorf("%s: %s: %w", e.Name, folder, err)
				}
			}
			go serveFiles(l, w, n, files)
		}
	}
	go func() {
		<-ctx.Done()
		w.Halt()
	}()
	w.Run(forever)
	return nil
}

// forever is a run time without an end, in microseconds.
const forever = 1 << 60

// serveFiles accepts SFTP sessions. All sessions of a node share its files.
func serveFiles(l net.Listener, w *world.World, n *world.Node, files sftp.Handlers) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			s := &session{conn: c, world: w, node: n, files: files}
			sftp.NewRequestServer(c, sftp.Handlers{FileGet: s, FilePut: s, FileCmd: s, FileList: s}).Serve()
		}()
	}
}

// session is one SFTP session. The model decides when each command is done. If the model breaks a command, the session ends.
type session struct {
	conn  net.Conn
	world *world.World
	node  *world.Node
	files sftp.Handlers
}

var errQueueFull = errors.New("node queue is full")

// runJob waits until the model has done some work.
func (s *session) runJob(j model.Job) error {
	reply := make(chan world.Reply, 1)
	s.world.Do(func() { s.world.Arrive(s.node, j, func(r world.Reply) { reply <- r }) })
	switch <-reply {
	case world.Answer:
		return nil
	case world.QueueFull:
		return errQueueFull
	}
	s.conn.Close()
	return io.ErrUnexpectedEOF
}

func units(bytes int) float64 { return float64(1 + bytes/unitBytes) }

func (s *session) Fileread(r *sftp.Request) (io.ReaderAt, error) {
	if err := s.runJob(model.Job{Work: commandWork}); err != nil {
		return nil, err
	}
	file, err := s.files.FileGet.Fileread(r)
	return &reader{s, file, r.Filepath}, err
}

func (s *session) Filewrite(r *sftp.Request) (io.WriterAt, error) {
	if err := s.runJob(model.Job{Work: commandWork, Write: true}); err != nil {
		return nil, err
	}
	file, err := s.files.FilePut.Filewrite(r)
	return &writer{s, file}, err
}

func (s *session) Filecmd(r *sftp.Request) error {
	if err := s.runJob(model.Job{Work: commandWork, Write: true}); err != nil {
		return err
	}
	return s.files.FileCmd.Filecmd(r)
}

func (s *session) Filelist(r *sftp.Request) (sftp.ListerAt, error) {
	if err := s.runJob(model.Job{Work: commandWork}); err != nil {
		return nil, err
	}
	return s.files.FileList.Filelist(r)
}

type reader struct {
	*session
	io.ReaderAt
	path string
}

func (r *reader) ReadAt(p []byte, at int64) (int, error) {
	if err := r.runJob(model.Job{Work: readWork * units(len(p)), Object: fmt.Sprint(r.path, at)}); err != nil {
		return 0, err
	}
	return r.ReaderAt.ReadAt(p, at)
}

type writer struct {
	*session
	io.WriterAt
}

func (w *writer) WriteAt(p []byte, at int64) (int, error) {
	if err := w.runJob(model.Job{Work: writeWork * units(len(p)), Write: true}); err != nil {
		return 0, err
	}
	return w.WriterAt.WriteAt(p, at)
}
