// Command benchlink runs package scheduler for the test bench: it reads batches of events from standard input and writes
// the scheduler's actions to standard output.
package main

import (
	"fmt"
	"os"

	"otterturn/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
