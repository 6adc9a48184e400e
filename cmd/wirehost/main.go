// Command wirehost hosts balancer instances behind the simulator's wire on standard
// input and output.
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
