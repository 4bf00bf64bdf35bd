// Package headfilter removes the fields that nobody uses from the head of an HTTP/1.1 message while it arrives. net/http parses each
// field into strings and an entry of a map, which take up to 50 times the bytes of a short field, and keeps them for as long as the
// message is incomplete or unanswered. Behind a Filter the memory of a head depends on the used fields alone. The package does no I/O.
package headfilter

import (
	"bytes"
	"errors"
)

// Errors of a head. After an error the message can't be read, and the filter returns the same error again.
var (
	ErrMalformed = errors.New("malformed header field")
	ErrTooLarge  = errors.New("header too large")
)

// Fields is a set of field names.
type Fields struct {
	names   [][]byte // in lower case
	longest int
}

// NewFields returns a set of field names, which are compared without regard to case.
func NewFields(names ...string) *Fields {
	f := &Fields{}
	for _, name := range names {
		f.names = append(f.names, bytes.ToLower([]byte(name)))
		f.longest = max(f.longest, len(name))
	}
	return f
}

func (f *Fields) contains(name []byte) bool {
	for _, n := range f.names {
		if len(n) == len(name) && bytes.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// Limits bounds a head.
type Limits struct {
	Bytes  int // of the whole head, removed fields included
	Fields int // fields that are kept, repetitions included
}

// state is the position in a head.
type state int

const (
	inStartLine    state = iota // request line or status line, or an empty line before it
	atLineStart                 // first byte of a line after the start line
	inName                      // name of a field
	inKeptValue                 // value of a field that is kept
	inRemovedValue              // value of a field that is removed
	inEmptyLine                 // after the CR of the line that ends the head
	ended
)

// Filter removes fields from one head after another. Reset begins a new head.
type Filter struct {
	used   *Fields
	limits Limits

	state     state
	name      []byte // beginning of the field name that has arrived, while it may be the name of a used field
	longName  bool   // the name is longer than any used one
	lineEmpty bool   // nothing of the start line has arrived
	previous  state  // state of the value before this line, in which a folded line continues; atLineStart if there is none
	afterCR   bool   // the last byte of a removed value was a CR
	bytes     int
	fields    int
	err       error
}

// New returns a filter that keeps the used fields.
func New(used *Fields, limits Limits) *Filter {
	f := &Filter{used: used, limits: limits}
	f.Reset()
	return f
}

// Reset begins a new head.
func (f *Filter) Reset() {
	*f = Filter{used: f.used, limits: f.limits, lineEmpty: true, previous: atLineStart}
}

// Ended reports whether the head has ended.
func (f *Filter) Ended() bool { return f.state == ended }

// Pending returns how many bytes of earlier input the next call of Append may append.
func (f *Filter) Pending() int { return len(f.name) }

// Append appends to dst what is kept of the next bytes of the head, and returns how many bytes of src belong to the head: all, unless
// it ends in src. If Pending is 0, dst may be src[:0].
func (f *Filter) Append(dst, src []byte) (out []byte, consumed int, err error) {
	out = dst
	for f.err == nil && f.state != ended && consumed < len(src) {
		n := f.skipValue(src[consumed:])
		if n == 0 {
			out = f.appendByte(out, src[consumed])
			n = 1
		}
		consumed += n
		if f.bytes += n; f.bytes > f.limits.Bytes {
			f.err = ErrTooLarge
		}
	}
	return out, consumed, f.err
}

// skipValue returns how many bytes at the beginning of src are ordinary bytes of a removed value.
func (f *Filter) skipValue(src []byte) int {
	if f.state != inRemovedValue || f.afterCR {
		return 0
	}
	n := 0
	for n < len(src) && src[n] >= ' ' && src[n] != 0x7f {
		n++
	}
	return n
}

func (f *Filter) appendByte(out []byte, b byte) []byte {
	switch f.state {
	case inStartLine:
		f.lineEmpty = f.lineEmpty && (b == '\r' || b == '\n')
		if b == '\n' && !f.lineEmpty {
			f.state = atLineStart
		}
		return append(out, b)
	case atLineStart:
		return f.beginLine(out, b)
	case inName:
		return f.continueName(out, b)
	case inKeptValue:
		if b == '\n' {
			f.endValue()
		}
		return append(out, b)
	case inRemovedValue:
		f.skipValueByte(b)
	case inEmptyLine:
		if b != '\n' {
			f.err = ErrMalformed
		}
		f.state = ended
		return append(out, b)
	}
	return out
}

// beginLine handles the first byte of a line after the start line: it ends the head, continues a folded value or begins a name.
func (f *Filter) beginLine(out []byte, b byte) []byte {
	switch {
	case b == '\n':
		f.state = ended
		return append(out, b)
	case b == '\r':
		f.state = inEmptyLine
		return append(out, b)
	case b == ' ' || b == '\t':
		if f.state = f.previous; f.state == atLineStart {
			f.err = ErrMalformed
		}
		if f.state == inKeptValue {
			out = append(out, b)
		}
		return out
	}
	f.state = inName
	return f.continueName(out, b)
}

func (f *Filter) continueName(out []byte, b byte) []byte {
	switch {
	case b == ':' && (f.longName || len(f.name) > 0):
		kept := !f.longName && f.used.contains(f.name)
		if kept {
			out = append(append(out, f.name...), b)
			f.fields++
		}
		if f.fields > f.limits.Fields {
			f.err = ErrTooLarge
		}
		f.name, f.longName = f.name[:0], false
		f.state = inRemovedValue
		if kept {
			f.state = inKeptValue
		}
	case !isToken[b]:
		f.err = ErrMalformed
	case f.longName:
	case len(f.name) == f.used.longest:
		f.name, f.longName = f.name[:0], true
	default:
		f.name = append(f.name, b)
	}
	return out
}

// skipValueByte checks a byte of a removed value as net/http would.
func (f *Filter) skipValueByte(b byte) {
	switch {
	case b == '\n':
		f.endValue()
	case f.afterCR || b < ' ' && b != '\t' && b != '\r' || b == 0x7f:
		f.err = ErrMalformed
	}
	f.afterCR = b == '\r'
}

func (f *Filter) endValue() { f.previous, f.state = f.state, atLineStart }

// isToken has the characters of a field name (RFC 9110, section 5.6.2).
var isToken = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()
