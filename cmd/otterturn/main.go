// Command otterturn is a front for storage nodes.
package main

import (
	"fmt"
	"os"

	"otterturn/internal/program"
)

func main() {
	if err := program.Platform(); err != nil {
		fmt.Fprintln(os.Stderr, "otterturn:", err)
		os.Exit(1)
	}
}
