package transport

import (
	"math"
	"strings"
)

// Names of the fields that tell where a body ends, in lower case.
const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	maxFramingName       = len(transferEncodingName)
)

// framingFields finds the fields of a head that tell where its body ends, as the head arrives. It reads each form of Content-Length that
// net/http reads: with any space around the number, on a continued line, with leading zeros, and repeated.
type framingFields struct {
	state    fieldState
	began    bool // a byte of the first line has arrived
	name     [maxFramingName]byte
	nameSize int // bytes of the name, also where they are more than fit
	value    lengthValue

	hasLength           bool
	length              int64 // of the body, in bytes
	invalidLength       bool  // net/http can't read the length either, or reads another one
	hasTransferEncoding bool
}

// fieldState is the position in a head.
type fieldState int

const (
	inFirstLine fieldState = iota // of the head, or in empty lines before it
	atFieldStart
	inFieldName
	inLengthValue
	inOtherValue
)

// areAmbiguous reports whether the fields name two framings, or a length that can't be read.
func (f *framingFields) areAmbiguous() bool {
	return f.invalidLength || f.hasLength && f.hasTransferEncoding
}

// read parses further bytes of the head.
func (f *framingFields) read(p []byte) {
	for _, b := range p {
		f.readByte(b)
	}
}

func (f *framingFields) readByte(b byte) {
	if f.state == atFieldStart && (b == ' ' || b == '\t') && f.value.open { // the value goes on in this line
		f.state = inLengthValue
	}
	switch f.state {
	case inFirstLine:
		f.began = f.began || b != '\r' && b != '\n'
		if b == '\n' && f.began {
			f.state = atFieldStart
		}
	case atFieldStart:
		f.endField()
		f.nameSize, f.state = 0, inFieldName
		f.readName(b)
	case inFieldName:
		f.readName(b)
	case inLengthValue:
		f.value.read(b)
		f.endLine(b)
	case inOtherValue:
		f.endLine(b)
	}
}

func (f *framingFields) endLine(b byte) {
	if b == '\n' {
		f.state = atFieldStart
	}
}

func (f *framingFields) readName(b byte) {
	switch {
	case b == '\n': // the empty line that ends the head, or the continued value of another field
		f.state = atFieldStart
	case b == ':':
		f.beginValue()
	default:
		if f.nameSize < maxFramingName {
			f.name[f.nameSize] = b
		}
		f.nameSize++
	}
}

func (f *framingFields) beginValue() {
	f.state = inOtherValue
	if f.nameSize > maxFramingName {
		return
	}
	switch name := string(f.name[:f.nameSize]); {
	case strings.EqualFold(name, contentLengthName):
		f.value, f.state = lengthValue{open: true}, inLengthValue
	case strings.EqualFold(name, transferEncodingName):
		f.hasTransferEncoding = true
	}
}

// endField takes the value of a Content-Length over, if the field that ends is one.
func (f *framingFields) endField() {
	if !f.value.open {
		return
	}
	n, ok := f.value.number()
	f.invalidLength = f.invalidLength || !ok || f.hasLength && n != f.length
	f.hasLength, f.length = true, n
	f.value = lengthValue{}
}

// lengthValue reads the value of a Content-Length.
type lengthValue struct {
	open      bool // the value of a field is being read
	n         int64
	hasDigits bool
	ended     bool // space has followed the digits
	invalid   bool
}

func (v *lengthValue) read(b byte) {
	switch {
	case b == ' ' || b == '\t' || b == '\r' || b == '\n':
		v.ended = v.hasDigits
	case b < '0' || b > '9' || v.ended || v.n > (math.MaxInt64-int64(b-'0'))/10:
		v.invalid = true
	default:
		v.n = 10*v.n + int64(b-'0')
		v.hasDigits = true
	}
}

func (v *lengthValue) number() (n int64, ok bool) { return v.n, v.hasDigits && !v.invalid }
