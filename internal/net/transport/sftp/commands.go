package sftp

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/sftp"

	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/net/routing"
)

// maxEntriesPerAnswer is the maximum number of entries in one answer to a Readdir.
const maxEntriesPerAnswer = 100

// execute runs a command other than a read or a write, while no other command runs, and returns the encoded answer.
func (c *clientConn) execute(r packet.Request) []byte {
	if longest := max(len(r.Path), len(r.Target), len(r.Extension)); longest > c.front.limits.Files.PathBytes {
		return status(r.ID, files.Failure(fmt.Sprintf("a path or name of %d bytes, at most %d are taken", longest, c.front.limits.Files.PathBytes)))
	}
	name := files.Clean(r.Path)
	var err error
	switch r.Kind {
	case packet.Open:
		return c.open(r, name)
	case packet.Opendir:
		return c.opendir(r, name)
	case packet.Readdir:
		return c.readdir(r)
	case packet.Close:
		err = c.closeHandle(r.Handle)
	case packet.Stat, packet.Lstat, packet.Fstat:
		return c.stat(r, name)
	case packet.Realpath:
		return packet.EncodeNames(r.ID, packet.Entry{Name: name})
	case packet.Readlink:
		var reply files.Reply
		if reply, err = c.submit(files.Command{Op: files.Readlink, Path: name}); err == nil {
			return packet.EncodeNames(r.ID, packet.Entry{Name: reply.Text})
		}
	default:
		err = c.modify(r, name)
	}
	return status(r.ID, err)
}

// modify executes a command that changes something other than a file's content.
func (c *clientConn) modify(r packet.Request, name string) error {
	cmd := files.Command{Path: name}
	switch r.Kind {
	case packet.Fsetstat:
		h, ok := c.handles[r.Handle].(*file)
		if !ok {
			return files.Failure("no open file under this handle")
		}
		if err := h.checkWrites(); err != nil {
			return err
		}
		cmd.Op, cmd.Path, cmd.Attrs = files.SetAttr, h.path, r.Attrs
	case packet.Setstat:
		cmd.Op, cmd.Attrs = files.SetAttr, r.Attrs
	case packet.Remove:
		cmd.Op = files.Remove
	case packet.Mkdir:
		cmd.Op = files.Mkdir
	case packet.Rmdir:
		cmd.Op = files.Rmdir
	case packet.Rename:
		cmd.Op, cmd.Target = files.Rename, files.Clean(r.Target)
	case packet.Extended:
		if r.Extension != packet.PosixRename {
			return files.Unsupported(r.Extension + " is not offered")
		}
		cmd.Op, cmd.Target = files.PosixRename, files.Clean(r.Target)
	default:
		return files.Unsupported("packets of kind " + strconv.Itoa(int(r.Kind)) + " are not offered")
	}
	_, err := c.submit(cmd)
	return err
}

// open opens a file, after the command that checks or creates it has been answered.
func (c *clientConn) open(r packet.Request, name string) []byte {
	cmd := files.Command{Op: files.Stat, Path: name}
	if r.Flags&packet.OpenAppend != 0 {
		return status(r.ID, files.Unsupported("append: write at the end's offset instead"))
	}
	if r.Flags&packet.OpenWrite != 0 {
		cmd.Op, cmd.Flags = files.Create, os.O_WRONLY
		for bit, flag := range map[uint32]int{
			packet.OpenCreate: os.O_CREATE, packet.OpenTrunc: os.O_TRUNC,
			packet.OpenExcl: os.O_EXCL,
		} {
			if r.Flags&bit != 0 {
				cmd.Flags |= flag
			}
		}
	}
	if err := c.checkHandleLimit(); err != nil {
		return status(r.ID, err)
	}
	held, err := c.reserveHandle(name)
	if err != nil {
		return status(r.ID, err)
	}
	if _, err := c.submit(cmd); err != nil {
		held.Release()
		return status(r.ID, err)
	}
	return packet.EncodeHandle(r.ID, c.addHandle(newFile(name, held)))
}

func (c *clientConn) checkHandleLimit() error {
	if len(c.handles) >= c.front.limits.Files.Handles {
		return &routing.RejectedError{RetryAfter: c.front.site.RetryAfter}
	}
	return nil
}

func (c *clientConn) addHandle(h handle) string {
	c.handleCount++
	id := strconv.Itoa(c.handleCount)
	c.handles[id] = h
	return id
}

// closeHandle closes a handle. All writes on it have been answered by then, because a close runs only after all earlier commands.
func (c *clientConn) closeHandle(id string) error {
	h, ok := c.handles[id]
	if !ok {
		return files.Failure("no open file under this handle")
	}
	delete(c.handles, id)
	h.release()
	if h, ok := h.(*file); ok {
		return h.checkWrites()
	}
	return nil
}

// stat returns the attributes of a file, or of a link itself.
func (c *clientConn) stat(r packet.Request, name string) []byte {
	op := files.Stat
	switch r.Kind {
	case packet.Lstat:
		op = files.Lstat
	case packet.Fstat:
		h, ok := c.handles[r.Handle]
		if !ok {
			return status(r.ID, files.Failure("nothing is open under this handle"))
		}
		name = h.filePath()
	}
	infos, err := c.inspect(op, name)
	if err != nil {
		return status(r.ID, err)
	}
	return packet.EncodeAttrs(r.ID, newEntry(infos[0]).Attrs)
}

func (c *clientConn) opendir(r packet.Request, name string) []byte {
	if err := c.checkHandleLimit(); err != nil {
		return status(r.ID, err)
	}
	opened, err := c.fetchListing(name)
	if err != nil {
		return status(r.ID, err)
	}
	return packet.EncodeHandle(r.ID, c.addHandle(opened))
}

func (c *clientConn) readdir(r packet.Request) []byte {
	h, ok := c.handles[r.Handle].(*folder)
	if !ok {
		return status(r.ID, files.Failure("no open folder under this handle"))
	}
	part := h.infos[h.next:min(h.next+maxEntriesPerAnswer, len(h.infos))]
	if len(part) == 0 {
		return status(r.ID, io.EOF)
	}
	h.next += len(part)
	var entries []packet.Entry
	for _, info := range part {
		entries = append(entries, newEntry(info))
	}
	return packet.EncodeNames(r.ID, entries...)
}

// inspect asks a node about a file or a folder. It describes the parent folders of projects itself, as these exist on no node.
func (c *clientConn) inspect(op files.Op, name string) ([]os.FileInfo, error) {
	if _, ok := files.FindProject(c.front.site.Projects, name); ok {
		reply, err := c.submit(files.Command{Op: op, Path: name})
		return reply.Infos, err
	}
	names := files.VirtualSubfolders(c.front.site.Projects, name)
	switch {
	case len(names) == 0:
		return nil, files.NoSuchFile(name)
	case op != files.List:
		return []os.FileInfo{virtualFolder(name)}, nil
	}
	var infos []os.FileInfo
	for _, child := range names {
		infos = append(infos, virtualFolder(child))
	}
	return infos, nil
}

// newEntry converts the description of a file, by a node or by the front itself, to an entry of a listing.
func newEntry(info os.FileInfo) packet.Entry {
	e := packet.Entry{Name: info.Name(), Mode: info.Mode()}
	e.Attrs = packet.Attrs{
		Has: packet.HasSize | packet.HasMode | packet.HasTimes, Size: uint64(info.Size()),
		Mode: packet.Mode(info.Mode()), Atime: uint32(info.ModTime().Unix()), Mtime: uint32(info.ModTime().Unix()),
	}
	if s, ok := info.Sys().(*sftp.FileStat); ok && s != nil {
		e.Attrs.Has |= packet.HasOwner
		e.Attrs.UID, e.Attrs.GID, e.Attrs.Atime = s.UID, s.GID, s.Atime
	}
	return e
}

// virtualFolder is a folder that is a parent of projects and exists on no node.
type virtualFolder string

func (f virtualFolder) Name() string     { return string(f) }
func (virtualFolder) Size() int64        { return 0 }
func (virtualFolder) Mode() os.FileMode  { return os.ModeDir | 0o555 }
func (virtualFolder) ModTime() time.Time { return time.Unix(0, 0) }
func (virtualFolder) IsDir() bool        { return true }
func (virtualFolder) Sys() any           { return nil }
