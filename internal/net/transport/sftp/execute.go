package sftp

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/pkg/sftp"

	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/protocol/sftp/packet"
)

// execute runs a command on a session.
func (x *exchange) execute(cmd files.Command) (reply files.Reply, err error) {
	s := x.Client
	switch cmd.Op {
	case files.Stat:
		return singleInfo(s.Stat(cmd.Path))
	case files.Lstat:
		return singleInfo(s.Lstat(cmd.Path))
	case files.Readlink:
		reply.Text, err = s.ReadLink(cmd.Path)
	case files.List:
		reply.Infos, err = s.ReadDir(cmd.Path)
	case files.Read:
		return read(s, cmd)
	case files.Create:
		err = x.create(cmd)
	case files.Write:
		err = x.write(cmd)
	case files.SetAttr:
		err = x.setAttr(cmd)
	case files.Remove:
		return x.remove(cmd)
	case files.Rmdir:
		err = x.change(func() error { return s.RemoveDirectory(cmd.Path) })
	case files.Mkdir:
		err = x.change(func() error { return s.Mkdir(cmd.Path) })
	case files.Rename:
		err = x.change(func() error { return s.Rename(cmd.Path, cmd.Target) })
	case files.PosixRename:
		err = x.change(func() error { return s.PosixRename(cmd.Path, cmd.Target) })
	}
	return reply, err
}

// open opens a file. If a node answers with the status OK instead of a handle, the library returns neither a file nor an error.
func open(s *sftp.Client, path string, flags int) (*sftp.File, error) {
	f, err := s.OpenFile(path, flags)
	if f == nil && err == nil {
		err = errUnexpectedAnswer
	}
	return f, err
}

// singleInfo returns the answer for a single file. If a node answers with the status OK instead of attributes, the library returns a nil
// pointer inside info, and the program would panic when it used it.
func singleInfo(info os.FileInfo, err error) (files.Reply, error) {
	if err != nil {
		return files.Reply{}, err
	}
	if stat, ok := info.Sys().(*sftp.FileStat); !ok || stat == nil {
		return files.Reply{}, errUnexpectedAnswer
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

func (x *exchange) setAttr(cmd files.Command) (err error) {
	s, attrs := x.Client, cmd.Attrs
	for _, step := range []struct {
		attribute uint32
		set       func() error
	}{
		{packet.HasSize, func() error { return s.Truncate(cmd.Path, int64(attrs.Size)) }},
		{packet.HasMode, func() error { return s.Chmod(cmd.Path, os.FileMode(attrs.Mode).Perm()) }},
		{packet.HasTimes, func() error {
			return s.Chtimes(cmd.Path, time.Unix(int64(attrs.Atime), 0), time.Unix(int64(attrs.Mtime), 0))
		}},
		{packet.HasOwner, func() error { return s.Chown(cmd.Path, int(attrs.UID), int(attrs.GID)) }},
	} {
		if attrs.Has&step.attribute != 0 && err == nil {
			err = x.change(step.set)
		}
	}
	return err
}

func (x *exchange) create(cmd files.Command) error {
	var f *sftp.File
	opening := func() (err error) {
		f, err = open(x.Client, cmd.Path, cmd.Flags)
		return err
	}
	var err error
	if cmd.Changes() {
		err = x.change(opening)
	} else {
		err = opening()
	}
	if err != nil {
		return err
	}
	return f.Close()
}

func (x *exchange) write(cmd files.Command) error {
	f, err := open(x.Client, cmd.Path, os.O_WRONLY)
	if err != nil {
		return err
	}
	err = x.change(func() error {
		_, err := f.WriteAt(cmd.Data, cmd.Offset)
		return err
	})
	return errors.Join(err, f.Close())
}

// remove removes a file. The library would also remove a folder of that name.
func (x *exchange) remove(cmd files.Command) (files.Reply, error) {
	info, err := x.Lstat(cmd.Path)
	if err != nil {
		return files.Reply{}, err
	}
	if info.IsDir() {
		return files.Reply{Err: files.Failure(cmd.Path + " is a folder")}, nil
	}
	return files.Reply{}, x.change(func() error { return x.Remove(cmd.Path) })
}
