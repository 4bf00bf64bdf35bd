// Command benchlink lets the scheduler of package scheduler decide on the bench: batches of events come in on
// standard input, actions leave on standard output.
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
