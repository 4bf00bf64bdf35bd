package transport

// chunkFraming finds the end of a chunked body (RFC 9112, section 7.1) as it arrives. It is as strict as net/http or stricter: where the body
// is in another form, its end counts as unknown.
type chunkFraming struct {
	state  chunkState
	left   uint64 // bytes of the current chunk that have not arrived; while its size is read, the size
	digits int    // of its size
}

// chunkState is the position in a chunked body.
type chunkState int

const (
	inChunkSize    chunkState = iota
	afterChunkSize            // space or an extension
	atChunkSizeLF
	inChunkData
	atChunkDataCR
	atChunkDataLF
	atTrailerStart
	inTrailerLine
	atTrailerLineLF
	atLastLF
	chunksEnded
	chunksUnknown // in a form that is not known here
)

// maxChunkDigits is the largest number of hex digits in a chunk's size.
const maxChunkDigits = 16

// hasEnded reports whether the last byte of the body was consumed.
func (c *chunkFraming) hasEnded() bool { return c.state == chunksEnded }

// consume parses bytes, and returns how many of them belong to the body.
func (c *chunkFraming) consume(p []byte) (n int) {
	for n < len(p) && c.state != chunksEnded {
		switch c.state {
		case chunksUnknown:
			return len(p)
		case inChunkData:
			data := min(c.left, uint64(len(p)-n))
			c.left -= data
			n += int(data)
			if c.left == 0 {
				c.state = atChunkDataCR
			}
		default:
			if whole := c.wholeChunk(p[n:]); whole > 0 {
				n += whole
				continue
			}
			c.state = c.next(p[n])
			n++
		}
	}
	return n
}

// chunkMarks is the number of bytes around the data of a chunk whose size has one digit.
const chunkMarks = len("1\r\n") + len("\r\n")

// wholeChunk returns the length of a chunk at the beginning of p whose size has one digit, or 0 if there is none. Bodies in very small chunks
// would otherwise take much processor time.
func (c *chunkFraming) wholeChunk(p []byte) int {
	if c.state != inChunkSize || c.digits > 0 || len(p) < chunkMarks || p[1] != '\r' || p[2] != '\n' {
		return 0
	}
	size, isDigit := hexDigit(p[0])
	length := int(size) + chunkMarks
	if !isDigit || size == 0 || len(p) < length || p[length-2] != '\r' || p[length-1] != '\n' {
		return 0
	}
	return length
}

// next returns the state behind a byte that is not data.
func (c *chunkFraming) next(b byte) chunkState {
	switch c.state {
	case inChunkSize:
		return c.readSize(b)
	case afterChunkSize:
		return behind(b, '\r', atChunkSizeLF, afterChunkSize)
	case atChunkSizeLF:
		return c.beginChunk(b)
	case atChunkDataCR:
		return behind(b, '\r', atChunkDataLF, chunksUnknown)
	case atChunkDataLF:
		return behind(b, '\n', inChunkSize, chunksUnknown)
	case atTrailerStart:
		return behind(b, '\r', atLastLF, inTrailerLine)
	case inTrailerLine:
		return behind(b, '\r', atTrailerLineLF, inTrailerLine)
	case atTrailerLineLF:
		return behind(b, '\n', atTrailerStart, chunksUnknown)
	case atLastLF:
		return behind(b, '\n', chunksEnded, chunksUnknown)
	}
	return chunksUnknown
}

// behind returns found if b is the byte that is looked for, and otherwise the state for any other byte. A line feed that no carriage return
// precedes ends a line for some readers.
func behind(b, wanted byte, found, other chunkState) chunkState {
	switch b {
	case wanted:
		return found
	case '\n':
		return chunksUnknown
	}
	return other
}

// readSize handles a byte of the size, or the first one behind it.
func (c *chunkFraming) readSize(b byte) chunkState {
	digit, isDigit := hexDigit(b)
	switch {
	case isDigit && c.digits < maxChunkDigits:
		c.left = c.left<<4 | uint64(digit)
		c.digits++
		return inChunkSize
	case isDigit || c.digits == 0:
		return chunksUnknown
	case b == '\r':
		return atChunkSizeLF
	case b == ';' || b == ' ' || b == '\t':
		return afterChunkSize
	}
	return chunksUnknown
}

func (c *chunkFraming) beginChunk(b byte) chunkState {
	c.digits = 0
	switch {
	case b != '\n':
		return chunksUnknown
	case c.left == 0:
		return atTrailerStart
	}
	return inChunkData
}

func hexDigit(b byte) (digit byte, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return b - '0', true
	case 'a' <= b && b <= 'f':
		return b - 'a' + 10, true
	case 'A' <= b && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}
