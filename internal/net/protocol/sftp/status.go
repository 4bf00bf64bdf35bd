package sftp

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/pkg/sftp"

	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/net/routing"
)

// Status is an answer with a code of SFTP, as an error. Its text goes into the message.
type Status struct {
	Code packet.Code
	Text string
}

func (s *Status) Error() string { return s.Text }

// StatusOf maps the final answer of the core, or the word of a node, to a status. A refusal says when to come back.
func StatusOf(err error) *Status {
	var status *Status
	var refused *routing.RejectedError
	switch {
	case err == nil:
		return &Status{packet.OK, ""}
	case errors.As(err, &status):
		return status
	case errors.As(err, &refused):
		return &Status{packet.Failure, fmt.Sprintf("refused, nothing was changed: try again in %.3f s",
			refused.RetryAfter.Seconds())}
	case errors.Is(err, io.EOF):
		return &Status{packet.EOF, "end of file"}
	case errors.Is(err, routing.ErrStopped):
		return &Status{packet.ConnectionLost, "the front is stopping"}
	}
	return &Status{packet.Failure, "failed: the command may or may not have been carried out"}
}

// Unsupported is the status of a command that the front does not offer.
func Unsupported(text string) error { return &Status{packet.Unsupported, text} }

// Failure is the status of a command that was not carried out for the reason given.
func Failure(text string) error { return &Status{packet.Failure, text} }

// NoSuchFile is the status of a path that is in no project.
func NoSuchFile(name string) error { return &Status{packet.NoSuchFile, name + ": no such file"} }

// Spoilt is the status of all that is asked of a handle after a write on it was not served. Clients send many
// writes ahead and keep the status of the last answer alone, so only this tells them that the file has a hole.
func Spoilt(cause error) error {
	return &Status{packet.Failure, "an earlier write to this file was not carried out: " + cause.Error()}
}

// NodeStatus takes apart an error of the node client: what the node said passes on with the node's code,
// anything else tells of a broken exchange.
func NodeStatus(err error) (said error, broken bool) {
	var word *sftp.StatusError
	switch {
	case err == nil:
		return nil, false
	case errors.Is(err, io.EOF):
		return io.EOF, false
	case errors.Is(err, os.ErrNotExist):
		return &Status{packet.NoSuchFile, "no such file"}, false
	case errors.Is(err, os.ErrPermission):
		return &Status{packet.PermissionDenied, "permission denied"}, false
	case errors.As(err, &word):
		return &Status{packet.Code(word.Code), word.Error()}, false
	}
	return nil, true
}
