// Command lilacglade runs the proxy, checks its configuration, and sends maintenance commands to a
// running proxy.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/pflag"

	"lilacglade/internal/peers"
	"lilacglade/internal/settings"
	"lilacglade/internal/transport"
)

// version is the release. A build can override it with -ldflags "-X main.version=...".
var version = "0.1.0"

const usage = `usage: lilacglade [serve|check|version|work ...] [flags]

  serve    run the proxy until SIGTERM (the default)
  check    read the configuration, say whether it can be served, and end
  work     have machines taken out for work; "work help" says how
  version  print the version

flags:
`

func main() {
	err := run(os.Args[1:], os.Stdout)
	switch {
	case errors.Is(err, pflag.ErrHelp):
	case err != nil:
		fmt.Fprintln(os.Stderr, "lilacglade:", err)
		os.Exit(1)
	}
}

// run parses the command line and executes one command; out receives its output.
func run(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("lilacglade", pflag.ContinueOnError)
	configFile := flags.StringP("config", "c", "",
		"configuration file (default: the one that NODE_CONFIG names)")
	peersFile := flags.String("peers", os.Getenv("NODE_PEERS"), "file of the proxies that this one may talk to")
	trace := flags.Bool("trace", false, "log each step of each request and connection (costs processor time)")
	flags.SetInterspersed(len(args) == 0 || args[0] != "work")
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		return err
	}
	command := "serve"
	if flags.NArg() > 0 {
		command = flags.Arg(0)
	}
	if command == "work" {
		return runWork(flags.Args()[1:], out)
	}
	if flags.NArg() > 1 {
		return fmt.Errorf("%s: unexpected argument %q", command, flags.Arg(1))
	}
	switch command {
	case "version":
		fmt.Fprintln(out, "lilacglade", version)
		return nil
	case "check", "serve":
	default:
		return fmt.Errorf("%q: no such command; see --help", command)
	}
	getenv := func(key string) string {
		if key == "NODE_CONFIG" && *configFile != "" {
			return *configFile
		}
		return os.Getenv(key)
	}
	reloadSignals := make(chan os.Signal, 1) // from here on, SIGHUP does not end the program
	signal.Notify(reloadSignals, syscall.SIGHUP)
	node, err := settings.Load(getenv)
	if err != nil {
		return err
	}
	options := transport.Options{}
	if *peersFile != "" {
		cfg, err := peers.Load(*peersFile, node.Name)
		if err != nil {
			return err
		}
		options.Peers = &cfg
	}
	if command == "check" {
		fmt.Fprintf(out, "%s can be served on %s\n", node.Name, node.Listen)
		return nil
	}
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the program
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if *trace {
		options.Trace = func(line string) { log.Print(line) }
	}
	return transport.ServeWithOptions(ctx, node, reloads(reloadSignals, getenv, node), options)
}

// reloads reads the configuration again at each SIGHUP and sends the result. An invalid configuration
// is reported as an error and leaves the current one unchanged.
func reloads(reloadSignals <-chan os.Signal, getenv func(string) string,
	current settings.Node) <-chan transport.Reload {
	out := make(chan transport.Reload)
	go func() {
		for range reloadSignals {
			node, err := settings.Reload(getenv, current)
			if err == nil {
				current = node
			}
			out <- transport.Reload{Node: node, Err: err}
		}
	}()
	return out
}
