// Command lilacglade is the proxy.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"lilacglade/internal/legs"
	"lilacglade/internal/settings"
)

func main() {
	node, err := settings.Load(os.Getenv)
	if err == nil {
		err = serve(node)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lilacglade:", err)
		os.Exit(1)
	}
}

// memoryPart of the limit is what the Go runtime may use before it collects harder.
const memoryPart = 0.75

func serve(node settings.Node) error {
	runtime.GOMAXPROCS(int(math.Ceil(node.Limits.Cores)))
	debug.SetMemoryLimit(int64(memoryPart * float64(node.Limits.MemoryMB) * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return legs.Serve(ctx, node)
}
