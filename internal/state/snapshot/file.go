package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A file is a head of 28 bytes and a body: eight letters, the form's version, the body's length, the checksum of
// all else (XXH64), big-endian each, then the value in CBOR (RFC 8949, deterministic encoding).
const (
	letters  = "OTTLEARN"
	headSize = len(letters) + 4 + 8 + 8
	sumAt    = headSize - 8
)

// FormVersion is the version of the form that is written.
const FormVersion = 1

// Bounds of a file.
const (
	MostBytes   = 256 << 20
	mostEntries = 4 << 20
)

// ErrDamaged tells of bytes that are not what a front wrote.
var ErrDamaged = errors.New("damaged")

// ErrVersion tells of a file of a form that this program does not know.
var ErrVersion = errors.New("of an unknown version")

// Encode returns the bytes of a file.
func Encode(s Snapshot) ([]byte, error) {
	body, err := encoder.Marshal(s.form())
	if err != nil {
		return nil, fmt.Errorf("encode what is learned: %w", err)
	}
	if headSize+len(body) > MostBytes {
		return nil, fmt.Errorf("what is learned takes %d bytes, more than the %d that are kept", len(body), MostBytes)
	}
	out := append(make([]byte, 0, headSize+len(body)), letters...)
	out = binary.BigEndian.AppendUint32(out, FormVersion)
	out = binary.BigEndian.AppendUint64(out, uint64(len(body)))
	out = append(out, make([]byte, 8)...)
	out = append(out, body...)
	binary.BigEndian.PutUint64(out[sumAt:], checksum(out))
	return out, nil
}

// checksum covers all of a file but the checksum itself.
func checksum(file []byte) uint64 {
	d := xxhash.New()
	d.Write(file[:sumAt])
	d.Write(file[headSize:])
	return d.Sum64()
}

// Decode checks and reads a file. A file that was written whole by another version is ErrVersion, anything else
// that can't be read ErrDamaged.
func Decode(file []byte) (Snapshot, error) {
	switch {
	case len(file) < headSize:
		return Snapshot{}, fmt.Errorf("%w: %d bytes, its head alone has %d", ErrDamaged, len(file), headSize)
	case string(file[:len(letters)]) != letters:
		return Snapshot{}, fmt.Errorf("%w: it does not begin with %q", ErrDamaged, letters)
	case binary.BigEndian.Uint64(file[len(letters)+4:]) != uint64(len(file)-headSize):
		return Snapshot{}, fmt.Errorf("%w: its length is not the one it names", ErrDamaged)
	case binary.BigEndian.Uint64(file[sumAt:]) != checksum(file):
		return Snapshot{}, fmt.Errorf("%w: its checksum does not hold", ErrDamaged)
	}
	if v := binary.BigEndian.Uint32(file[len(letters):]); v != FormVersion {
		return Snapshot{}, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, v, FormVersion)
	}
	var f fileForm
	if err := decoder.Unmarshal(file[headSize:], &f); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return f.snapshot(), nil
}
