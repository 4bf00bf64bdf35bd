package testsupport

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/pkg/sftp"
)

// FileServer is an SFTP storage node that keeps its files in memory. Before is called at the start of each operation
// and After at its end; if either returns true, the connection is closed.
type FileServer struct {
	Addr          string
	Before, After func(op, path string) (cut bool)
	files         sftp.Handlers
	mu            sync.Mutex
	counts        map[string]int
}

// NewFileServer starts a server that stops when the test ends.
func NewFileServer(t *testing.T) *FileServer {
	s := &FileServer{files: sftp.InMemHandler(), counts: map[string]int{}}
	s.Addr = Peer(t, func(_ int, c net.Conn) {
		h := &fileSession{FileServer: s, conn: c}
		sftp.NewRequestServer(c, sftp.Handlers{FileGet: h, FilePut: h, FileCmd: h, FileList: h}).Serve()
	})
	return s
}

// Count returns how many times an operation on a path was started.
func (s *FileServer) Count(op, path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op+" "+path]
}

type fileSession struct {
	*FileServer
	conn net.Conn
}

// run performs one operation between the two hooks.
func (s *fileSession) run(op, path string, do func() error) error {
	s.mu.Lock()
	s.counts[op+" "+path]++
	s.mu.Unlock()
	if s.Before != nil && s.Before(op, path) {
		s.conn.Close()
		return io.ErrUnexpectedEOF
	}
	err := do()
	if s.After != nil && s.After(op, path) {
		s.conn.Close()
	}
	return err
}

func (s *fileSession) Fileread(r *sftp.Request) (file io.ReaderAt, err error) {
	err = s.run("Open", r.Filepath, func() (err error) {
		file, err = s.files.FileGet.Fileread(r)
		return err
	})
	return file, err
}

func (s *fileSession) Filewrite(r *sftp.Request) (io.WriterAt, error) {
	w := &fileWriter{fileSession: s, path: r.Filepath}
	err := s.run("Create", r.Filepath, func() (err error) {
		w.WriterAt, err = s.files.FilePut.Filewrite(r)
		return err
	})
	return w, err
}

type fileWriter struct {
	*fileSession
	io.WriterAt
	path string
}

func (w *fileWriter) WriteAt(p []byte, offset int64) (n int, err error) {
	err = w.run("Write", w.path, func() (err error) {
		n, err = w.WriterAt.WriteAt(p, offset)
		return err
	})
	return n, err
}

func (s *fileSession) Filecmd(r *sftp.Request) error {
	return s.run(r.Method, r.Filepath, func() error { return s.files.FileCmd.Filecmd(r) })
}

func (s *fileSession) Filelist(r *sftp.Request) (list sftp.ListerAt, err error) {
	err = s.run(r.Method, r.Filepath, func() (err error) {
		list, err = s.files.FileList.Filelist(r)
		return err
	})
	return list, err
}
