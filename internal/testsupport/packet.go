package testsupport

import "encoding/binary"

// Command returns the bytes of an SFTP command (draft-ietf-secsh-filexfer-02, section 3): its length, kind and id, then
// its fields, where a string or []byte is encoded as its length and its bytes. Tests use it to send what an SFTP library
// would not: a truncated command, many commands without waiting for answers, or fields in the wrong order.
func Command(kind byte, id uint32, fields ...any) []byte {
	body := binary.BigEndian.AppendUint32([]byte{kind}, id)
	for _, f := range fields {
		switch f := f.(type) {
		case string:
			body = append(binary.BigEndian.AppendUint32(body, uint32(len(f))), f...)
		case []byte:
			body = append(binary.BigEndian.AppendUint32(body, uint32(len(f))), f...)
		case uint32:
			body = binary.BigEndian.AppendUint32(body, f)
		case uint64:
			body = binary.BigEndian.AppendUint64(body, f)
		default:
			panic("testsupport.Command: field type has no SFTP encoding")
		}
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}
