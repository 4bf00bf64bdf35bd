// Command case3 resets a connection to a node under a write of a file command that has begun.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/sftp"

	"otterturn/review/kit"
)

const (
	usual      = 60 * time.Millisecond   // a write's usual work
	costly     = 1200 * time.Millisecond // work of the first attempt of one write, 20 times the usual
	others     = 48                      // writes to other places in the file: 2% of all writes are costly
	resetAfter = 200 * time.Millisecond  // the connection is reset so long after the write has begun
	file       = "/riverside/index.segment"
	first      = "content of the first write "
	second     = "content of the second write"
)

func main() {
	c := kit.New()
	n := &node{Case: c, files: map[string][]byte{}}
	nodeAddr := n.listen()
	relay := &relay{Case: c, to: nodeAddr}
	n.begun = relay.reset
	other := &node{Case: c, files: map[string][]byte{}}
	listen := c.FreeAddr()
	config := c.Appliance(listen, filepath.Join(c.Temp, "console"), "127.0.0.1:3022", relay.listen(), "127.0.0.1:3023", other.listen(),
		`level = "info" `, `level = "debug"`)
	front := c.StartAppliance("files-1", config)
	conn, err := net.Dial("tcp", listen)
	c.Must(err, "client")
	client, err := sftp.NewClientPipe(conn, conn)
	c.Must(err, "client")
	f, err := client.OpenFile(file, os.O_RDWR|os.O_CREATE)
	c.Must(err, "open")
	var wait sync.WaitGroup
	for i := range others {
		wait.Go(func() {
			c.Must(write(c, f, "content of another place", int64(i+1)*100), "write to another place")
		})
	}
	wait.Wait()
	firstErr := write(c, f, first, 0)
	secondErr := write(c, f, second, 0)
	if firstErr != nil || secondErr != nil || front.Ended() {
		c.Finish(kit.NotRun, "a write was not accepted: %v; %v", firstErr, secondErr)
	}
	before := read(c, f)
	time.Sleep(costly + time.Second)
	after := read(c, f)
	c.Must(f.Close(), "close")
	summary := fmt.Sprintf("both writes were answered with OK in their order; the file read %q right after, and %q later; the node applied %d writes",
		before, after, n.applied())
	if before != second || after != second {
		c.Finish(kit.Broken, "%s", summary)
	}
	c.Finish(kit.Held, "%s", summary)
}

// write writes to the file, and waits for the answer.
func write(c *kit.Case, f *sftp.File, text string, offset int64) error {
	c.Logf("client writes %q at %d", text, offset)
	_, err := f.WriteAt([]byte(text), offset)
	c.Logf("client's write of %q at %d is answered: %v", text, offset, err)
	return err
}

func read(c *kit.Case, f *sftp.File) string {
	data := make([]byte, len(second))
	n, err := f.ReadAt(data, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		c.Finish(kit.NotRun, "read: %v", err)
	}
	c.Logf("client reads %q", data[:n])
	return string(data[:n])
}

// node is a storage node that speaks SFTP. It works on commands of several connections at once, and ends work that it has begun,
// whatever becomes of the connection.
type node struct {
	*kit.Case
	begun func() // called as a costly write has begun

	mu      sync.Mutex
	files   map[string][]byte
	seen    bool // the costly write was begun before
	changes int
}

func (n *node) listen() string {
	l := n.Listen()
	n.OnFinish(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				sftp.NewRequestServer(conn, sftp.Handlers{FileGet: n, FilePut: n, FileCmd: n, FileList: n}).Serve()
			}()
		}
	}()
	return l.Addr().String()
}

func (n *node) applied() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changes
}

// Fileread opens a file for reading.
func (n *node) Fileread(r *sftp.Request) (io.ReaderAt, error) { return openFile{n, r.Filepath}, nil }

// Filewrite opens a file for writing.
func (n *node) Filewrite(r *sftp.Request) (io.WriterAt, error) { return openFile{n, r.Filepath}, nil }

// Filecmd accepts a change of attributes.
func (n *node) Filecmd(*sftp.Request) error { return nil }

// Filelist has no folders.
func (n *node) Filelist(*sftp.Request) (sftp.ListerAt, error) { return nil, os.ErrNotExist }

type openFile struct {
	*node
	path string
}

// ReadAt reads what the file has now.
func (f openFile) ReadAt(p []byte, offset int64) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data := f.files[f.path]
	if offset >= int64(len(data)) {
		return 0, io.EOF
	}
	n := copy(p, data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt does the work of a write and then applies it.
func (f openFile) WriteAt(p []byte, offset int64) (int, error) {
	text, work := string(p), usual
	if text == first {
		f.mu.Lock()
		wasSeen := f.seen
		f.seen = true
		f.mu.Unlock()
		if !wasSeen {
			work = costly
		}
		if !wasSeen && f.Trouble {
			time.AfterFunc(resetAfter, f.begun)
		}
	}
	f.Logf("node begins a write of %q, work of %v", text, work)
	time.Sleep(work)
	f.mu.Lock()
	defer f.mu.Unlock()
	data := f.files[f.path]
	if end := int(offset) + len(text); len(data) < end {
		data = append(data, make([]byte, end-len(data))...)
	}
	copy(data[offset:], text)
	f.files[f.path] = data
	f.changes++
	f.Logf("node has applied the write of %q", text)
	return len(p), nil
}

// relay is a proxy before the node, which can reset its connections.
type relay struct {
	*kit.Case
	to    string
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (r *relay) listen() string {
	l := r.Listen()
	r.OnFinish(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", r.to)
			if err != nil {
				in.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, in.(*net.TCPConn), out.(*net.TCPConn))
			r.mu.Unlock()
			for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
				go func() {
					io.Copy(way[0], way[1])
					way[0].Close()
				}()
			}
		}
	}()
	return l.Addr().String()
}

// reset resets the connections that are open now.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Logf("proxy resets the connections to the node")
	for _, c := range r.conns {
		c.SetLinger(0)
		c.Close()
	}
	r.conns = nil
}
