package load

import (
	"errors"
	"io/fs"

	"github.com/pkg/sftp"
)

func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// isRejected reports whether a file command was answered with an error status. The session is then still usable. Every
// error status counts as a rejection, since SFTP has no status for 'try again later'.
func isRejected(err error) bool {
	var status *sftp.StatusError
	return errors.As(err, &status)
}
