package packet

import "golang.org/x/crypto/cryptobyte"

// Code is a status code (section 7 of the draft).
type Code uint32

// The codes of version 3.
const (
	OK Code = iota
	EOF
	NoSuchFile
	PermissionDenied
	Failure
	BadMessage
	NoConnection
	ConnectionLost
	Unsupported
)

// encode builds a packet: length, kind, then the bytes that fill adds. It allocates the given capacity in advance.
func encode(kind Kind, capacity int, fill func(b *cryptobyte.Builder)) []byte {
	b := cryptobyte.NewBuilder(make([]byte, 0, 16+capacity))
	addLengthPrefixed(b, func(b *cryptobyte.Builder) {
		b.AddUint8(uint8(kind))
		fill(b)
	})
	return b.BytesOrPanic() // fails only beyond 4 GiB
}

func addLengthPrefixed(b *cryptobyte.Builder, fill func(b *cryptobyte.Builder)) {
	b.AddUint32LengthPrefixed(fill)
}

func addString(b *cryptobyte.Builder, text string) {
	addLengthPrefixed(b, func(b *cryptobyte.Builder) { b.AddBytes([]byte(text)) })
}

// Pair is an extension in the version packet, with its data.
type Pair struct{ Name, Data string }

// EncodeVersion encodes the answer to an Init.
func EncodeVersion(extensions ...Pair) []byte {
	return encode(VersionReply, 128, func(b *cryptobyte.Builder) {
		b.AddUint32(Version)
		for _, e := range extensions {
			addString(b, e.Name)
			addString(b, e.Data)
		}
	})
}

// EncodeStatus encodes an answer with a code and a text for the user.
func EncodeStatus(id uint32, code Code, text string) []byte {
	return encode(StatusReply, 16+len(text), func(b *cryptobyte.Builder) {
		b.AddUint32(id)
		b.AddUint32(uint32(code))
		addString(b, text)
		addString(b, "en")
	})
}

// EncodeHandle encodes the answer to an Open or an Opendir.
func EncodeHandle(id uint32, handle string) []byte {
	return encode(HandleReply, len(handle), func(b *cryptobyte.Builder) {
		b.AddUint32(id)
		addString(b, handle)
	})
}

// EncodeData encodes the answer to a Read.
func EncodeData(id uint32, data []byte) []byte {
	return encode(DataReply, len(data), func(b *cryptobyte.Builder) {
		b.AddUint32(id)
		addLengthPrefixed(b, func(b *cryptobyte.Builder) { b.AddBytes(data) })
	})
}

// EncodeNames encodes an answer with files: a part of a listing, or a single path.
func EncodeNames(id uint32, entries ...Entry) []byte {
	return encode(NameReply, 128*len(entries), func(b *cryptobyte.Builder) {
		b.AddUint32(id)
		b.AddUint32(uint32(len(entries)))
		for _, e := range entries {
			addString(b, e.Name)
			addString(b, e.line())
			addAttrs(b, e.Attrs)
		}
	})
}

// EncodeAttrs encodes an answer with a file's attributes.
func EncodeAttrs(id uint32, a Attrs) []byte {
	return encode(AttrsReply, 32, func(b *cryptobyte.Builder) {
		b.AddUint32(id)
		addAttrs(b, a)
	})
}
