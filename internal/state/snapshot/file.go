package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A file is a header of 28 bytes and a body. The header has the magic string of 8 bytes, the format version (4 bytes), the
// body's length (8 bytes) and the XXH64 checksum of everything else (8 bytes), all big-endian. The body is the snapshot in CBOR
// (RFC 8949, deterministic encoding).
const (
	magic          = "OTTLEARN"
	headerSize     = len(magic) + 4 + 8 + 8
	checksumOffset = headerSize - 8
)

// FormatVersion is the version of the file format that Encode writes.
const FormatVersion = 1

// Bounds of a file's size and of the entries in one list.
const (
	MaxBytes   = 256 << 20
	maxEntries = 4 << 20
)

// ErrDamaged is returned for a file that is not exactly as a front wrote it.
var ErrDamaged = errors.New("damaged")

// ErrVersion is returned for an intact file whose format version this program does not know.
var ErrVersion = errors.New("of an unknown version")

// Encode returns the contents of a snapshot file.
func Encode(s Snapshot) ([]byte, error) {
	body, err := encoder.Marshal(s.encoded())
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if headerSize+len(body) > MaxBytes {
		return nil, fmt.Errorf("snapshot body has %d bytes, a file may have at most %d", len(body), MaxBytes)
	}
	out := append(make([]byte, 0, headerSize+len(body)), magic...)
	out = binary.BigEndian.AppendUint32(out, FormatVersion)
	out = binary.BigEndian.AppendUint64(out, uint64(len(body)))
	out = append(out, make([]byte, 8)...)
	out = append(out, body...)
	binary.BigEndian.PutUint64(out[checksumOffset:], checksum(out))
	return out, nil
}

// checksum returns the checksum of a file, without the checksum field itself.
func checksum(file []byte) uint64 {
	digest := xxhash.New()
	digest.Write(file[:checksumOffset])
	digest.Write(file[headerSize:])
	return digest.Sum64()
}

// Decode checks and decodes a file. The error is ErrVersion for an intact file of another format version, and ErrDamaged
// for any other file that can't be decoded.
func Decode(file []byte) (Snapshot, error) {
	switch {
	case len(file) < headerSize:
		return Snapshot{}, fmt.Errorf("%w: file has %d bytes, its header alone needs %d", ErrDamaged, len(file), headerSize)
	case string(file[:len(magic)]) != magic:
		return Snapshot{}, fmt.Errorf("%w: file does not begin with %q", ErrDamaged, magic)
	case binary.BigEndian.Uint64(file[len(magic)+4:]) != uint64(len(file)-headerSize):
		return Snapshot{}, fmt.Errorf("%w: file length differs from the length in its header", ErrDamaged)
	case binary.BigEndian.Uint64(file[checksumOffset:]) != checksum(file):
		return Snapshot{}, fmt.Errorf("%w: checksum does not match", ErrDamaged)
	}
	if v := binary.BigEndian.Uint32(file[len(magic):]); v != FormatVersion {
		return Snapshot{}, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, v, FormatVersion)
	}
	var f encodedSnapshot
	if err := decoder.Unmarshal(file[headerSize:], &f); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return f.snapshot(), nil
}
