package main

import (
	"context"

	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lilacglade/internal/baselines"
	"lilacglade/internal/emulator"
	"lilacglade/internal/lab/sockets"
	"lilacglade/internal/lab/virtual"
	"lilacglade/internal/settings"
	"lilacglade/internal/transport"
)

// program is the proxy of a sockets run, beside this program unless --program names another.
var program string

// logs is the folder for the proxies' configurations and logs; a temporary one where empty.
var logs string

// playSockets plays a scenario with real programs: lilacglade itself for the module, and this
// program's own proxy, the same but for its decider, for a textbook policy.
func playSockets(sc *emulator.Scenario, policy string, progress func(at, of time.Duration)) (*emulator.Result,
	error) {
	me, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{me, "proxy", "--policy", policy}
	if policy == virtual.Module {
		path := program
		if path == "" {
			path = filepath.Join(filepath.Dir(me), "lilacglade")
		}
		if _, err := os.Stat(path); err != nil {
			return nil,
				fmt.Errorf("no proxy to play with: build it beside this program, or name it with --program: %w", err)
		}
		args = []string{path, "serve"}
	}
	if logs != "" {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp(logs, fmt.Sprintf("%s-%d-", sc.Name, sc.Seed)) // runs may go side by side
	if err != nil {
		return nil, err
	}
	r, err := sockets.Run(sc, sockets.Options{Program: args, Dir: dir, Policy: policy, Progress: progress})
	if logs == "" && err == nil && r.Rules() == 0 {
		err = os.RemoveAll(dir)
	}
	return r, err
}

// proxyCommand is a proxy that decides by a textbook policy, for sockets runs.
func proxyCommand() *cobra.Command {
	var policy string
	c := &cobra.Command{Use: "proxy", Hidden: true, Args: cobra.NoArgs,
		Short: "Run a proxy by a textbook policy",
		RunE: func(*cobra.Command, []string) error {
			hups := make(chan os.Signal, 1)
			signal.Notify(hups, syscall.SIGHUP)
			node, err := settings.Load(os.Getenv)
			if err != nil {
				return err
			}
			decider, err := baselines.New(policy, node.Settings.Settings, node.Seed)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			reloads := make(chan transport.Reload)
			go func() {
				for range hups {
					if n, err := settings.Reload(os.Getenv, node); err == nil {
						reloads <- transport.Reload{Node: n}
					}
				}
			}()
			return transport.ServeWithOptions(ctx, node, reloads, transport.Options{Decider: decider})
		}}
	c.Flags().StringVar(&policy, "policy", "", "the policy")
	return c
}
