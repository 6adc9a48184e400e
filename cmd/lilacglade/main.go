// Command lilacglade is the proxy: its command line.
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

// version is the release; a build may set another with -ldflags "-X main.version=...".
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

func run(args []string, out io.Writer) error {
	flags := pflag.NewFlagSet("lilacglade", pflag.ContinueOnError)
	config := flags.StringP("config", "c", "", "configuration file (default: the one that NODE_CONFIG names)")
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
		return work(flags.Args()[1:], out)
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
		if key == "NODE_CONFIG" && *config != "" {
			return *config
		}
		return os.Getenv(key)
	}
	hups := make(chan os.Signal, 1) // from here on SIGHUP doesn't end the program
	signal.Notify(hups, syscall.SIGHUP)
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
	signal.Ignore(syscall.SIGPIPE) // a reader of the log that has gone must not end the program
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if *trace {
		options.Trace = func(line string) { log.Print(line) }
	}
	return transport.ServeWithOptions(ctx, node, reloads(hups, getenv, node), options)
}

// reloads reads the configuration again at each SIGHUP. One that can't be served changes nothing.
func reloads(hups <-chan os.Signal, getenv func(string) string,
	inForce settings.Node) <-chan transport.Reload {
	out := make(chan transport.Reload)
	go func() {
		for range hups {
			node, err := settings.Reload(getenv, inForce)
			if err == nil {
				inForce = node
			}
			out <- transport.Reload{Node: node, Err: err}
		}
	}()
	return out
}
