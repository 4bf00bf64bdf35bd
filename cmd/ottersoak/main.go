// Command ottersoak plays soaks: real processes of the program under faults that overlap, judged by an auditor that shares no code
// with it. Each seed is a run of some 15 s.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"otterturn/internal/lab/faults"
	"otterturn/internal/soak"
)

// How the program ends.
const (
	exitBroken  = 1 // a rule was broken, or a run could not be played
	exitMisused = 2
)

// options are the words of the command line.
type options struct {
	seed, seeds, beside, crowd int
	binary, folder             string
}

// Bounds of the options.
const (
	mostSeeds  = 10_000
	mostBeside = 8 // runs at a time: a few hundred processes
)

func main() {
	faults.ExecIfWrapper()
	var o options
	flag.IntVar(&o.seed, "seed", 1, "the first seed")
	flag.IntVar(&o.seeds, "seeds", 5, "how many seeds are played")
	flag.IntVar(&o.beside, "beside", 1, "runs side by side")
	flag.IntVar(&o.crowd, "crowd", 10, "each seed that this divides has 36 fronts, 0 for none")
	flag.StringVar(&o.binary, "binary", "bin/otterturn", "the program")
	flag.StringVar(&o.folder, "logs", "", "folder for the processes' logs, kept; a temporary one without")
	flag.Parse()
	if err := o.check(); err != nil {
		fmt.Fprintln(os.Stderr, "ottersoak:", err)
		os.Exit(exitMisused)
	}
	if err := o.play(); err != nil {
		fmt.Fprintln(os.Stderr, "ottersoak:", err)
		os.Exit(exitBroken)
	}
}

// check names the option that can't be.
func (o options) check() error {
	switch info, err := os.Stat(o.binary); {
	case flag.NArg() > 0:
		return fmt.Errorf("%q: no such argument", flag.Arg(0))
	case o.seed < 0:
		return errors.New("-seed must not be below 0")
	case o.seeds < 1 || o.seeds > mostSeeds:
		return fmt.Errorf("-seeds must be from 1 to %d", mostSeeds)
	case o.beside < 1 || o.beside > mostBeside:
		return fmt.Errorf("-beside must be from 1 to %d", mostBeside)
	case o.crowd < 0:
		return errors.New("-crowd must not be below 0")
	case err != nil:
		return fmt.Errorf("-binary: %w", err)
	case info.IsDir():
		return fmt.Errorf("-binary: %s is a folder", o.binary)
	}
	return nil
}

// play plays all seeds, and fails where one broke a rule.
func (o options) play() error {
	folder := o.folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "ottersoak"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	}
	room := make(chan struct{}, o.beside)
	var mu sync.Mutex
	var all sync.WaitGroup
	played, broken := 0, 0
	var failed error
	for i := range o.seeds {
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			result, err := o.playSeed(o.seed+i, folder)
			mu.Lock()
			defer mu.Unlock()
			fmt.Print(result.Report())
			failed = errors.Join(failed, err)
			played++
			if len(result.Violations) > 0 {
				broken++
			}
		})
	}
	all.Wait()
	fmt.Printf("%d seeds from %d on, %d with violations\n", played, o.seed, broken)
	if broken > 0 {
		failed = errors.Join(failed, fmt.Errorf("%d of %d seeds broke a rule", broken, played))
	}
	return failed
}

func (o options) playSeed(seed int, folder string) (soak.Result, error) {
	own := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(own, 0o700); err != nil {
		return soak.Result{}, err
	}
	binary, err := filepath.Abs(o.binary)
	if err != nil {
		return soak.Result{}, err
	}
	crowd := o.crowd > 0 && seed%o.crowd == 0
	return soak.Play(soak.NewScenario(uint64(seed), crowd), binary, own)
}
