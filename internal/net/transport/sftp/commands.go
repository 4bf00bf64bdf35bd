package sftp

import (
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/sftp"

	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/net/routing"
)

// listed is the maximum number of entries in one answer to a Readdir.
const listed = 100

// answer executes a command other than a read or a write, while no other command runs, and returns the encoded answer.
func (v *visitor) answer(r packet.Request) []byte {
	name := files.Clean(r.Path)
	var err error
	switch r.Kind {
	case packet.Open:
		return v.open(r, name)
	case packet.Opendir:
		return v.opendir(r, name)
	case packet.Readdir:
		return v.readdir(r)
	case packet.Close:
		err = v.forget(r.Handle)
	case packet.Stat, packet.Lstat, packet.Fstat:
		return v.stat(r, name)
	case packet.Realpath:
		return packet.EncodeNames(r.ID, packet.Entry{Name: name})
	case packet.Readlink:
		var reply files.Reply
		if reply, err = v.do(files.Command{Op: files.Readlink, Path: name}); err == nil {
			return packet.EncodeNames(r.ID, packet.Entry{Name: reply.Text})
		}
	default:
		err = v.change(r, name)
	}
	return status(r.ID, err)
}

// change executes a command that changes something other than a file's content.
func (v *visitor) change(r packet.Request, name string) error {
	cmd := files.Command{Path: name}
	switch r.Kind {
	case packet.Fsetstat:
		h, ok := v.handles[r.Handle].(*file)
		if !ok {
			return files.Failure("no open file under this handle")
		}
		if err := h.intact(); err != nil {
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
	_, err := v.do(cmd)
	return err
}

// open opens a file, after the command that checks or creates it has been answered.
func (v *visitor) open(r packet.Request, name string) []byte {
	cmd := files.Command{Op: files.Stat, Path: name}
	if r.Flags&packet.OpenAppend != 0 {
		return status(r.ID, files.Unsupported("append: write at the end's offset instead"))
	}
	if r.Flags&packet.OpenWrite != 0 {
		cmd.Op, cmd.Flags = files.Create, os.O_WRONLY
		for is, flag := range map[uint32]int{
			packet.OpenCreate: os.O_CREATE, packet.OpenTrunc: os.O_TRUNC,
			packet.OpenExcl: os.O_EXCL,
		} {
			if r.Flags&is != 0 {
				cmd.Flags |= flag
			}
		}
	}
	if err := v.handleRoom(); err != nil {
		return status(r.ID, err)
	}
	if _, err := v.do(cmd); err != nil {
		return status(r.ID, err)
	}
	return packet.EncodeHandle(r.ID, v.keep(newFile(name)))
}

func (v *visitor) handleRoom() error {
	if len(v.handles) >= v.front.limits.Files.Handles {
		return &routing.RejectedError{RetryAfter: v.front.site.Retry}
	}
	return nil
}

func (v *visitor) keep(h handle) string {
	v.opened++
	id := strconv.Itoa(v.opened)
	v.handles[id] = h
	return id
}

// forget closes a handle. All writes on it have been answered by then, because a close runs only after all earlier commands.
func (v *visitor) forget(id string) error {
	h, ok := v.handles[id]
	if !ok {
		return files.Failure("no open file under this handle")
	}
	delete(v.handles, id)
	if f, ok := h.(*file); ok {
		return f.intact()
	}
	return nil
}

// stat returns the attributes of a file, or of a link itself.
func (v *visitor) stat(r packet.Request, name string) []byte {
	op := files.Stat
	switch r.Kind {
	case packet.Lstat:
		op = files.Lstat
	case packet.Fstat:
		h, ok := v.handles[r.Handle]
		if !ok {
			return status(r.ID, files.Failure("nothing is open under this handle"))
		}
		name = h.about()
	}
	infos, err := v.inspect(op, name)
	if err != nil {
		return status(r.ID, err)
	}
	return packet.EncodeAttrs(r.ID, entry(infos[0]).Attrs)
}

func (v *visitor) opendir(r packet.Request, name string) []byte {
	if err := v.handleRoom(); err != nil {
		return status(r.ID, err)
	}
	infos, err := v.inspect(files.List, name)
	if err != nil {
		return status(r.ID, err)
	}
	return packet.EncodeHandle(r.ID, v.keep(&folder{path: name, infos: infos}))
}

func (v *visitor) readdir(r packet.Request) []byte {
	h, ok := v.handles[r.Handle].(*folder)
	if !ok {
		return status(r.ID, files.Failure("no open folder under this handle"))
	}
	part := h.infos[h.next:min(h.next+listed, len(h.infos))]
	if len(part) == 0 {
		return status(r.ID, io.EOF)
	}
	h.next += len(part)
	var entries []packet.Entry
	for _, info := range part {
		entries = append(entries, entry(info))
	}
	return packet.EncodeNames(r.ID, entries...)
}

// inspect asks a node about a file or a folder. It describes the parent folders of projects itself, as these exist on no node.
func (v *visitor) inspect(op files.Op, name string) ([]os.FileInfo, error) {
	if _, ok := files.Find(v.front.site.Projects, name); ok {
		reply, err := v.do(files.Command{Op: op, Path: name})
		return reply.Infos, err
	}
	below := files.Above(v.front.site.Projects, name)
	switch {
	case len(below) == 0:
		return nil, files.NoSuchFile(name)
	case op != files.List:
		return []os.FileInfo{above(name)}, nil
	}
	var infos []os.FileInfo
	for _, b := range below {
		infos = append(infos, above(b))
	}
	return infos, nil
}

// entry converts the description of a file, by a node or by the front itself, to an entry of a listing.
func entry(info os.FileInfo) packet.Entry {
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

// above is a folder that is a parent of projects and exists on no node.
type above string

func (f above) Name() string     { return string(f) }
func (above) Size() int64        { return 0 }
func (above) Mode() os.FileMode  { return os.ModeDir | 0o555 }
func (above) ModTime() time.Time { return time.Unix(0, 0) }
func (above) IsDir() bool        { return true }
func (above) Sys() any           { return nil }
