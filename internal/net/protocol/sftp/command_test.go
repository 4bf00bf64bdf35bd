package sftp

import (
	"os"
	"slices"
	"testing"

	"otterturn/internal/net/protocol/sftp/packet"
)

// Guards against the retry of a change that may have run, which no node can recognize over SFTP: every command that may change
// something, and no other, has the role whose class is never repeated.
func TestRolesAndUnits(t *testing.T) {
	sizes := Sizes{UnitBytes: 100, BulkBytes: 1000, MaxUnits: 4}
	for _, c := range []struct {
		cmd   Command
		role  Role
		units float64
	}{
		{Command{Op: Stat}, RoleRead, 1},
		{Command{Op: Read, Length: 250}, RoleRead, 3},
		{Command{Op: Read, Length: 1000}, RoleBulkRead, 4},
		{Command{Op: List}, RoleBulkRead, 2},
		{Command{Op: Write, Data: make([]byte, 100)}, RoleWrite, 2},
		{Command{Op: Create, Flags: os.O_WRONLY}, RoleRead, 1},
		{Command{Op: Create, Flags: os.O_WRONLY | os.O_TRUNC}, RoleWrite, 1},
		{Command{Op: Create, Flags: os.O_WRONLY | os.O_CREATE}, RoleWrite, 1},
		{Command{Op: Create, Flags: os.O_WRONLY | os.O_CREATE | os.O_TRUNC}, RoleWrite, 1},
		{Command{Op: Create, Flags: os.O_WRONLY | os.O_CREATE | os.O_EXCL}, RoleWrite, 1},
		{Command{Op: SetAttr, Attrs: packet.Attrs{Has: packet.HasMode}}, RoleWrite, 1},
		{Command{Op: SetAttr, Attrs: packet.Attrs{Has: packet.HasSize}}, RoleWrite, 1},
		{Command{Op: Remove}, RoleWrite, 1},
		{Command{Op: PosixRename}, RoleWrite, 1},
	} {
		if role, units := c.cmd.Role(sizes), c.cmd.Units(sizes); role != c.role || units != c.units {
			t.Errorf("%+v: role %v, %v units; want %v, %v", c.cmd, role, units, c.role, c.units)
		}
	}
}

func TestProjectsByPrefix(t *testing.T) {
	projects := []Project{{Name: "a", Prefix: "/x/a"}, {Name: "deep", Prefix: "/x/a/deep"}, {Name: "b", Prefix: "/x/b"}}
	for path, want := range map[string]string{
		"/x/a": "a", "/x/a/f": "a", "/x/ab": "", "/x": "", "/x/a/deep/f": "deep",
		"/x/a/deeper": "a", Clean("/x/a/../../x/b/f"): "b", Clean("../../x/a"): "a",
	} {
		if got, _ := FindProject(projects, path); got.Name != want {
			t.Errorf("%s belongs to project %q, want %q", path, got.Name, want)
		}
	}
	for path, want := range map[string][]string{"/": {"x"}, "/x": {"a", "b"}, "/y": nil} {
		if got := VirtualSubfolders(projects, path); !slices.Equal(got, want) {
			t.Errorf("subfolders of %s: %v, want %v", path, got, want)
		}
	}
}
