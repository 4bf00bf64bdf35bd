// Command ottersoak runs soak tests: processes of the program run under overlapping faults, and an auditor that shares no code with
// the program checks the results. Each seed is a run of about 15 s.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"otterturn/internal/knownred"
	"otterturn/internal/lab/faults"
	"otterturn/internal/soak"
)

// Exit statuses of the program.
const (
	exitBroken  = 1 // a rule was broken, or a run failed to execute
	exitInvalid = 2
)

// options are the values of the command-line flags.
type options struct {
	seed, seeds, concurrent, largeEvery int
	binary, folder, knownList           string
}

// Bounds of the options.
const (
	maxSeeds      = 10_000
	maxConcurrent = 8 // concurrent runs; they start a few hundred processes
)

func main() {
	faults.ExecIfWrapper()
	var o options
	flag.IntVar(&o.seed, "seed", 1, "the first seed")
	flag.IntVar(&o.seeds, "seeds", 5, "number of seeds to run")
	flag.IntVar(&o.concurrent, "beside", 1, "number of concurrent runs")
	flag.IntVar(&o.largeEvery, "large", 10, "seeds that are a multiple of this run 36 fronts; 0 for none")
	flag.StringVar(&o.binary, "binary", "bin/otterturn", "path of the otterturn program")
	flag.StringVar(&o.folder, "logs", "", "folder in which the process logs are kept; a temporary folder by default")
	flag.StringVar(&o.knownList, "known", "", "list of known failures, whose seeds are played and printed, and don't fail the run")
	flag.Parse()
	if err := o.check(); err != nil {
		fmt.Fprintln(os.Stderr, "ottersoak:", err)
		os.Exit(exitInvalid)
	}
	if err := o.play(); err != nil {
		fmt.Fprintln(os.Stderr, "ottersoak:", err)
		os.Exit(exitBroken)
	}
}

// check returns an error for the first invalid option.
func (o options) check() error {
	switch info, err := os.Stat(o.binary); {
	case flag.NArg() > 0:
		return fmt.Errorf("unexpected argument %q", flag.Arg(0))
	case o.seed < 0:
		return errors.New("-seed must not be below 0")
	case o.seeds < 1 || o.seeds > maxSeeds:
		return fmt.Errorf("-seeds must be from 1 to %d", maxSeeds)
	case o.concurrent < 1 || o.concurrent > maxConcurrent:
		return fmt.Errorf("-beside must be from 1 to %d", maxConcurrent)
	case o.largeEvery < 0:
		return errors.New("-large must not be below 0")
	case err != nil:
		return fmt.Errorf("-binary: %w", err)
	case info.IsDir():
		return fmt.Errorf("-binary: %s is a directory", o.binary)
	}
	return nil
}

// play runs all seeds and returns an error if one broke a rule.
func (o options) play() error {
	folder := o.folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "ottersoak"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	}
	known, err := o.knownSeeds()
	if err != nil {
		return err
	}
	slots := make(chan struct{}, o.concurrent)
	var mu sync.Mutex
	var all sync.WaitGroup
	played, broken, knownBroken := 0, 0, 0
	var failed error
	for i := range o.seeds {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			result, err := o.playSeed(o.seed+i, folder)
			mu.Lock()
			defer mu.Unlock()
			fmt.Print(result.Report())
			failed = errors.Join(failed, err)
			played++
			switch why, listed := known[o.seed+i]; {
			case len(result.Violations) == 0:
			case listed:
				knownBroken++
				fmt.Printf("known to fail: seed %d: %s\n", o.seed+i, why)
			default:
				broken++
			}
		})
	}
	all.Wait()
	fmt.Printf("%d seeds from %d on, %d with violations, %d more that are known to have some\n", played, o.seed, broken, knownBroken)
	if broken > 0 {
		failed = errors.Join(failed, fmt.Errorf("%d of %d seeds broke a rule", broken, played))
	}
	return failed
}

// knownSeeds returns the seeds that are known to break a rule.
func (o options) knownSeeds() (map[int]string, error) {
	if o.knownList == "" {
		return nil, nil
	}
	list, err := os.ReadFile(o.knownList)
	if errors.Is(err, os.ErrNotExist) { // nothing is known to fail
		return nil, nil
	}
	return knownred.Seeds(string(list)), err
}

func (o options) playSeed(seed int, folder string) (soak.Result, error) {
	seedFolder := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(seedFolder, 0o700); err != nil {
		return soak.Result{}, err
	}
	binary, err := filepath.Abs(o.binary)
	if err != nil {
		return soak.Result{}, err
	}
	large := o.largeEvery > 0 && seed%o.largeEvery == 0
	return soak.Play(soak.NewScenario(uint64(seed), large), binary, seedFolder)
}
