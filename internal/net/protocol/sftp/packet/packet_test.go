package packet

import (
	"encoding/binary"
	"errors"
	"os"
	"testing"
	"time"

	"golang.org/x/crypto/cryptobyte"
)

func openPacket(path string, a Attrs) []byte {
	b := cryptobyte.NewBuilder([]byte{byte(Open), 0, 0, 0, 7})
	addString(b, path)
	b.AddUint32(OpenWrite | OpenCreate)
	addAttrs(b, a)
	return b.BytesOrPanic()
}

func TestParseRejectsTruncatedPackets(t *testing.T) {
	want := Attrs{Has: HasSize | HasOwner | HasMode | HasTimes, Size: 1 << 40, UID: 1, GID: 2, Mode: 0o100644, Atime: 3, Mtime: 4}
	whole := openPacket("/a/f", want)
	r, err := Parse(whole)
	if err != nil || r.Kind != Open || r.ID != 7 || r.Path != "/a/f" || r.Flags != OpenWrite|OpenCreate || r.Attrs != want {
		t.Fatalf("%+v, %v", r, err)
	}
	for n := range whole {
		if _, err := Parse(whole[:n]); !errors.Is(err, ErrMalformed) {
			t.Errorf("truncated to %d bytes: error %v, want ErrMalformed", n, err)
		}
	}
	if r, err := Parse([]byte{99, 0, 0, 0, 1, 2}); err != nil || r.ID != 1 {
		t.Errorf("an unknown kind must parse, so that it gets a status: %+v, %v", r, err)
	}
}

// Guards against bytes of a client that end the program or that make it allocate more than it received.
func FuzzParse(f *testing.F) {
	f.Add(openPacket("/a", Attrs{Has: HasSize}))
	f.Add([]byte{byte(Write), 0, 0, 0, 1, 0, 0, 0, 1, 'h', 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{byte(Setstat), 0, 0, 0, 1, 0, 0, 0, 0, 0x80, 0, 0, 0, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Parse(body)
		if err == nil && len(r.Data)+len(r.Path)+len(r.Handle)+len(r.Target) > len(body) {
			t.Errorf("%d bytes were parsed as %+v", len(body), r)
		}
	})
}

func TestAnswersHaveCorrectLength(t *testing.T) {
	for kind, answer := range map[Kind][]byte{
		VersionReply: EncodeVersion(Pair{PosixRename, "1"}), StatusReply: EncodeStatus(1, Failure, "no"),
		HandleReply: EncodeHandle(1, "9"), DataReply: EncodeData(1, make([]byte, 1000)),
		NameReply: EncodeNames(1, Entry{Name: "f"}), AttrsReply: EncodeAttrs(1, Attrs{Has: HasSize}),
	} {
		if n := binary.BigEndian.Uint32(answer); int(n) != len(answer)-4 || Kind(answer[4]) != kind {
			t.Errorf("kind %d: length field %d, actual length %d", kind, n, len(answer)-4)
		}
	}
}

func TestListingLine(t *testing.T) {
	at := uint32(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC).Unix())
	for mode, want := range map[os.FileMode]string{
		os.ModeDir | 0o755:               "drwxr-xr-x    1 1        2               3 Dec  1  2026 x",
		0o640 | os.ModeSetuid:            "-rw-r-----    1 1        2               3 Dec  1  2026 x",
		os.ModeSymlink | 0o777:           "lrwxrwxrwx    1 1        2               3 Dec  1  2026 x",
		os.ModeDir | os.ModeSticky | 0o7: "d------rwx    1 1        2               3 Dec  1  2026 x",
	} {
		e := Entry{Name: "x", Mode: mode, Attrs: Attrs{Size: 3, UID: 1, GID: 2, Mtime: at}}
		if got := e.line(); got != want {
			t.Errorf("%v: %q, want %q", mode, got, want)
		}
	}
	if got := Mode(os.ModeDir | os.ModeSticky | 0o777); got != 0o041777 {
		t.Errorf("POSIX mode %o, want 41777", got)
	}
}
