// Command knownred reads the events of 'go test -json' and fails on test failures that a list of known failures does not contain.
package main

import (
	"fmt"
	"os"

	"otterturn/internal/knownred"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "knownred: expects one argument, the file with the list of known failures")
		os.Exit(2)
	}
	list, err := os.ReadFile(os.Args[1])
	if err == nil {
		err = knownred.Evaluate(string(list), os.Stdin, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}
