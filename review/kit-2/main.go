package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

var cases = map[string]func(*play) error{}

// The processes of a run end with the thread that started them, so the steps of a case stay on the main thread.
func init() { runtime.LockOSThread() }

// main plays a case: cases NAME FOLDER. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := filepath.Abs(folder)
	if err != nil {
		return fail(err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer record.Close()
	base := os.TempDir()
	if len(base) > 40 { // the path of a Unix socket has to fit
		base = "/tmp"
	}
	dir, err := os.MkdirTemp(base, "review-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	p := &play{root: filepath.Join(folder, "..", ".."), dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { // no run takes longer than this
		select {
		case <-stop:
		case <-time.After(110 * time.Second):
		}
		p.say("the run took too long, or was ended")
		p.endAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	p.say("case %s, with the disruption: %v", name, p.trouble)
	err = cases[name](p)
	p.endAll()
	switch {
	case len(p.broken) > 0:
		p.say("the rule was broken %d times, first: %s", len(p.broken), p.broken[0])
		fmt.Println("broken:", p.broken[0])
		return 1
	case err != nil:
		p.say("%v", err)
		if !errors.Is(err, errCannotRun) {
			err = fmt.Errorf("%w: %w", errCannotRun, err)
		}
		return fail(err)
	}
	p.say("the rule held")
	fmt.Println("held")
	return 0
}
