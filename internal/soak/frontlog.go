package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/soak/audit"
)

// openLog opens the destination of a process's log: a file of the run, or a pipe that nobody reads.
func (f *front) openLog() (*os.File, error) {
	if !f.logBlocked {
		return os.Create(filepath.Join(f.run.folder, fmt.Sprintf("%s.%d.log", f.name, f.starts)))
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if f.logPipe != nil {
		f.logPipe.Close()
	}
	f.logPipe = r
	return w, nil
}

// fillPipe fills a pipe. It opens the read end through /proc, which allows opening it for writing.
func fillPipe(pipe *os.File) {
	fd, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", pipe.Fd()), unix.O_WRONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		return
	}
	defer unix.Close(fd)
	for _, chunk := range [][]byte{make([]byte, 4096), make([]byte, 1)} {
		for {
			if _, err := unix.Write(fd, chunk); err != nil {
				break
			}
		}
	}
}

var violationsLine = regexp.MustCompile(`(?m)^svc\.violations:(\d+)\|c$`)

// recordViolations records the number of violations that the process itself counted. A process that does not answer is skipped.
func (f *front) recordViolations() {
	if f.control == "" {
		return
	}
	client := http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.control + "/stats")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if found := violationsLine.FindSubmatch(text); found != nil {
		n, _ := strconv.ParseInt(string(found[1]), 10, 64)
		f.run.record.UpdateProcess(f.process, func(p *audit.Process) { p.CountedViolations = max(p.CountedViolations, n) })
	}
}
