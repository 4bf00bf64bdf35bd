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

// Status is an SFTP status as an error. Its text is the message to the user.
type Status struct {
	Code packet.Code
	Text string
}

func (s *Status) Error() string { return s.Text }

// ChangeRefusedError reports that a change was not sent to a node because of an earlier one.
type ChangeRefusedError struct{ Cause error }

func (e *ChangeRefusedError) Error() string {
	return "refused, nothing was changed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ChangeRefusedError) Unwrap() error { return e.Cause }

// StatusOf maps the final answer of the scheduler, or an error of a node, to a status. The text of a rejection says when to retry.
func StatusOf(err error) *Status {
	var status *Status
	var rejected *routing.RejectedError
	var refused *ChangeRefusedError
	switch {
	case err == nil:
		return &Status{packet.OK, ""}
	case errors.As(err, &status):
		return status
	case errors.As(err, &rejected):
		return &Status{packet.Failure, fmt.Sprintf("refused, nothing was changed: try again in %.3f s",
			rejected.RetryAfter.Seconds())}
	case errors.As(err, &refused):
		return &Status{packet.Failure, refused.Error()}
	case errors.Is(err, io.EOF):
		return &Status{packet.EOF, "end of file"}
	case errors.Is(err, routing.ErrStopped):
		return &Status{packet.ConnectionLost, "the front is stopping"}
	}
	return &Status{packet.Failure, "failed: the command may or may not have been carried out"}
}

// Unsupported returns the status for a command that the front does not support.
func Unsupported(text string) error { return &Status{packet.Unsupported, text} }

// Failure returns the status for a command that was not executed, with the reason as its text.
func Failure(text string) error { return &Status{packet.Failure, text} }

// NoSuchFile returns the status for a path that belongs to no project.
func NoSuchFile(name string) error { return &Status{packet.NoSuchFile, name + ": no such file"} }

// WriteFailed returns the status for every command on a handle after a write on that handle failed. Clients send many writes without
// waiting and keep only the status of the last answer, so nothing else tells them that the file has a hole.
func WriteFailed(cause error) error {
	return &Status{packet.Failure, "an earlier write to this file was not carried out: " + cause.Error()}
}

// ClassifyNodeError classifies an error of the node client. An error that the node reported keeps the node's code; any other error means
// that the exchange broke off.
func ClassifyNodeError(err error) (nodeErr error, broken bool) {
	var statusErr *sftp.StatusError
	switch {
	case err == nil:
		return nil, false
	case errors.Is(err, io.EOF):
		return io.EOF, false
	case errors.Is(err, os.ErrNotExist):
		return &Status{packet.NoSuchFile, "no such file"}, false
	case errors.Is(err, os.ErrPermission):
		return &Status{packet.PermissionDenied, "permission denied"}, false
	case errors.As(err, &statusErr):
		return &Status{packet.Code(statusErr.Code), statusErr.Error()}, false
	}
	return nil, true
}
