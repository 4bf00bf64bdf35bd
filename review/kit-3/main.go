// Command cases plays the cases 6 and 8 of the second review. Its arguments are the name of a case and the folder in which it writes
// record.txt; it runs in the project's root. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxTempPath bounds the path of the temporary folder: the path of a Unix socket in it has to fit.
const maxTempPath = 40

// maxRunTime bounds a case, below the 120 seconds that it may take.
const maxRunTime = 100 * time.Second

// cases holds the cases by name. A case returns errBroken if the rule was broken, and any other error if it could not run.
var cases = map[string]func(r *run) error{
	"pipeline":     playPipeline,
	"spoilt-lstat": playSpoiltLstat,
}

// errBroken marks the result of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// run is the surroundings of one play of a case.
type run struct {
	trouble bool   // the disruption takes place
	folder  string // temporary
	startAt time.Time

	mu      sync.Mutex
	record  *os.File
	running []*front // processes that were started
	broken  []string
}

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// result returns errBroken if the rule was broken.
func (r *run) result() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) > 0 {
		return errBroken
	}
	return nil
}

// endProcesses kills the processes that the case started.
func (r *run) endProcesses() {
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	for _, f := range running {
		f.kill()
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	base := os.TempDir()
	if len(base) > maxTempPath {
		base = "/tmp"
	}
	temp, err := os.MkdirTemp(base, "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temp)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: temp, startAt: time.Now(), record: record}
	defer r.endProcesses()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	r.logf("case %s, disruption: %t", name, r.trouble)
	go func() { ended <- cases[name](r) }()
	select {
	case err = <-ended:
	case <-stop:
		err = errors.New("interrupted")
	case <-time.After(maxRunTime):
		err = errors.New("the case took too long")
	}
	return r.report(err)
}

// report writes the outcome and returns the exit status.
func (r *run) report(err error) int {
	switch {
	case err == nil:
		r.logf("the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		fmt.Println("the rule was broken:", strings.Join(r.broken[:min(3, len(r.broken))], "; "))
		r.logf("the rule was broken %d times", len(r.broken))
		return 1
	}
	r.logf("the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return 2
}
