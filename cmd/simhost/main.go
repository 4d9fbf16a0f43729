// Command simhost runs controllers for the simulator. It reads their input from standard input and writes
// their actions to standard output.
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
