package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(*play) error{}

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
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	p := &play{root: filepath.Join(folder, "..", ".."), dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	go func() { // no run takes longer than this
		time.Sleep(110 * time.Second)
		p.say("the run took too long")
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
