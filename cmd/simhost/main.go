// Command simhost hosts controllers on the simulator's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"threadglade.example/threadglade/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
