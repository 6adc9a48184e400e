// Command wirehost runs balancer instances for the simulator. It reads batches of events from
// standard input and writes replies to standard output, in the simulator's binary protocol.
package main

import (
	"fmt"
	"os"

	"lilacglade/internal/wire"
)

func main() {
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
