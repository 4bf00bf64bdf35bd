package scenario

import (
	"fmt"
	"io"
	"os/exec"
	"strconv"

	"otterturn/internal/lab/world"
	"otterturn/internal/wire"
	"otterturn/scheduler"
)

// BenchlinkVariant returns a variant that is decided by another build of this program, such as an earlier release: path names its
// benchlink executable, which is driven through its standard input and output. The variant restarts the executable for each
// simulated day. The caller ends the executable with stop.
func BenchlinkVariant(name, path string) (v Variant, stop func() error) {
	var cmd *exec.Cmd
	var in io.WriteCloser
	var remote *wire.Remote
	stop = func() error {
		if cmd == nil {
			return nil
		}
		in.Close()
		err := cmd.Wait()
		cmd = nil
		return err
	}
	start := func() error {
		if err := stop(); err != nil {
			return err
		}
		next := exec.Command(path)
		out, err := next.StdoutPipe()
		if err != nil {
			return err
		}
		if in, err = next.StdinPipe(); err != nil {
			return err
		}
		if err := next.Start(); err != nil {
			return err
		}
		cmd, remote = next, wire.NewRemote(out, in)
		return nil
	}
	return Variant{name, func(front int, set scheduler.Settings, seed int64) (world.Decider, error) {
		if front == 0 {
			if err := start(); err != nil {
				return nil, fmt.Errorf("build %s: %w", path, err)
			}
		}
		i, err := remote.Launch(strconv.Itoa(front), set, seed)
		if err != nil {
			return nil, fmt.Errorf("build %s: %w", path, err)
		}
		return i, nil
	}}, stop
}
