package processes

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process, as read from /proc.
type Usage struct {
	Processor   time.Duration // user and system time since its start, without time spent waiting for a core
	Resident    int64         // bytes, with shared pages of the executable
	Anonymous   int64         // bytes of these without a backing file: heap, stacks and memory of the Go runtime
	Descriptors int
	Threads     int
	Switches    int64 // voluntary context switches of all threads since the start
}

// Since returns the processor time and switches since an earlier reading. Memory, descriptors and threads stay as read now.
func (u Usage) Since(before Usage) Usage {
	u.Processor -= before.Processor
	u.Switches -= before.Switches
	return u
}

// ReadUsage reads a process's usage from /proc. Processor time is summed over its threads, in nanoseconds from schedstat:
// stat counts in ticks of 10 ms, as much as an idle front takes in several seconds. Threads that have ended are not counted;
// the Go runtime ends none of its own.
func ReadUsage(pid int) (Usage, error) {
	var u Usage
	memory, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", pid))
	if err != nil {
		return Usage{}, err
	}
	resident, err1 := fieldBytes(memory, "Rss:")
	anonymous, err2 := fieldBytes(memory, "Anonymous:")
	u.Resident, u.Anonymous = resident, anonymous
	descriptors, err3 := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(descriptors)
	return u, errors.Join(err1, err2, err3, u.addThreads(pid))
}

// addThreads adds the processor time and the voluntary context switches of all threads.
func (u *Usage) addThreads(pid int) error {
	folder := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	u.Threads = len(threads)
	for _, t := range threads {
		text, err := os.ReadFile(folder + "/" + t.Name() + "/schedstat")
		if err != nil {
			return err
		}
		nanoseconds, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			return fmt.Errorf("processor time in schedstat: %w", err)
		}
		u.Processor += time.Duration(nanoseconds)
		status, err := os.ReadFile(folder + "/" + t.Name() + "/status")
		if err != nil {
			return err
		}
		sleeps, err := field(status, "voluntary_ctxt_switches:")
		if err != nil {
			return err
		}
		u.Switches += sleeps
	}
	return nil
}

func fieldBytes(text []byte, name string) (int64, error) {
	n, err := field(text, name)
	return n << 10, err
}

// field reads the number that follows a name at the start of a line.
func field(text []byte, name string) (int64, error) {
	for line := range bytes.Lines(text) {
		words := strings.Fields(string(line))
		if len(words) > 1 && words[0] == name {
			return strconv.ParseInt(words[1], 10, 64)
		}
	}
	return 0, fmt.Errorf("/proc: field %s is missing", name)
}
