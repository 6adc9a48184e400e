// Command lilalab plays experiments on the emulator of the fleet: see docs/lab.md.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"lilacglade/internal/emulator"
	"lilacglade/internal/lab"
	"lilacglade/internal/lab/virtual"
)

// errBroken ends a run on which a rule broke: exit code 1, as every other error.
var errBroken = errors.New("a rule was broken")

func main() {
	if err := command(os.Stdout).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lilalab:", err)
		os.Exit(1)
	}
}

// progress returns a bar on a terminal, and nothing elsewhere.
func progress(what string, of int) func(at, of int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return func(int, int) {}
	}
	bar := progressbar.NewOptions(of, progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(what),
		progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))
	return func(at, of int) {
		bar.ChangeMax(of)
		_ = bar.Set(at) // only the display
	}
}

// commit names the project's present commit, "" outside a checkout.
func commit() string {
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return ""
	}
	c := strings.TrimSpace(string(out))
	if out, err := exec.Command("git", "status", "--porcelain", "--", "*.go").Output(); err == nil &&
		len(bytes.TrimSpace(out)) > 0 {
		c += " with changes"
	}
	return c
}

func command(out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "lilalab", Short: "Load and experiments on an emulator of the fleet",
		SilenceUsage: true, SilenceErrors: true}
	root.SetOut(out)
	root.AddCommand(runCommand(out), sweepCommand(out), compareCommand(out), reportCommand(out),
		searchCommand(out),
		traceCommand(out), kindsCommand(out), showCommand(out), costCommand(out),
		fleetCommand(out), soakCommand(out), proxyCommand())
	root.PersistentFlags().StringVar(&program, "program", "", "the proxy to play sockets runs with")
	var profile string
	root.PersistentFlags().StringVar(&profile, "cpu-profile", "", "write a profile of the lab's processor time")
	var end func() error
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if profile == "" {
			return nil
		}
		f, err := os.Create(profile)
		if err != nil {
			return err
		}
		end = f.Close
		return pprof.StartCPUProfile(f)
	}
	root.PersistentPostRunE = func(*cobra.Command, []string) error {
		if end == nil {
			return nil
		}
		pprof.StopCPUProfile()
		return end()
	}
	root.PersistentFlags().StringVar(&logs, "logs", "", "folder for the proxies' logs in sockets runs")
	return root
}

func runCommand(out io.Writer) *cobra.Command {
	var seed uint64
	var mode, policy, file string
	var sets []string
	c := &cobra.Command{Use: "run SCENARIO",
		Short: "Play a scenario and print its result; fails when a rule broke",
		Args:  cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			sc, err := load(args[0], sets)
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				sc.Seed = seed
			}
			r, err := play(sc, mode, policy)
			if err != nil {
				return err
			}
			if err := lab.Table(out, r); err != nil {
				return err
			}
			if file != "" {
				if err := save(file, []lab.Record{{Commit: commit(), Label: strings.Join(sets, " "),
					Result: r}}); err != nil {
					return err
				}
			}
			if r.Rules() > 0 {
				return errBroken
			}
			return nil
		}}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 0, "seed in place of the scenario's")
	f.StringVar(&mode, "mode", lab.Virtual,
		"virtual (reducers in virtual time) or sockets (real programs in real time)")
	f.StringVar(&policy, "policy", virtual.Module,
		"what the proxies decide by: "+strings.Join(virtual.Policies(), ", "))
	f.StringVar(&file, "json", "", "also add the result to this file, as a line of JSON")
	f.StringArrayVar(&sets, "set", nil, "path=value: change the scenario")
	return c
}

// load reads a scenario with settings changed.
func load(path string, sets []string) (*emulator.Scenario, error) {
	sc, raw, err := lab.Load(path)
	if err != nil || len(sets) == 0 {
		return sc, err
	}
	var settings []lab.Setting
	for _, s := range sets {
		path, value, ok := strings.Cut(s, "=")
		if !ok {
			return nil, fmt.Errorf("--set %q: want path=value", s)
		}
		settings = append(settings, lab.Setting{Path: path, Value: value})
	}
	return lab.With(raw, settings)
}

// play plays a scenario in either mode.
func play(sc *emulator.Scenario, mode, policy string) (*emulator.Result, error) {
	show := progress(sc.Name, int(sc.Duration/time.Second))
	hear := func(at, of time.Duration) { show(int(at/time.Second), int(of/time.Second)) }
	switch mode {
	case lab.Virtual:
		return virtual.Run(sc, virtual.Options{Policy: policy, Clock: time.Now, Progress: hear})
	case lab.Sockets:
		return playSockets(sc, policy, hear)
	}
	return nil, fmt.Errorf("--mode %q: want virtual or sockets", mode)
}

// save adds records to a results file.
func save(path string, records []lab.Record) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := lab.Write(f, r); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return f.Close()
}

func sweepCommand(out io.Writer) *cobra.Command {
	var sets, policies, pools []string
	var seeds, lanes int
	var file, mode string
	c := &cobra.Command{Use: "sweep SCENARIO...",
		Short: "Play all combinations of settings, policies and seeds on all cores",
		Args:  cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var jobs []lab.Job
			for _, path := range args {
				_, raw, err := lab.Load(path)
				if err != nil {
					return err
				}
				more, err := lab.Combinations(raw, sets, policies, seeds)
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				for _, pool := range pools {
					for _, j := range more {
						j.Pool = pool
						jobs = append(jobs, j)
					}
				}
			}
			show := progress("sweep", len(jobs))
			at, broken := commit(), 0
			var all []lab.Record
			take := func(r lab.Record) error {
				broken += r.Rules()
				if file != "" {
					if err := save(file, []lab.Record{r}); err != nil {
						return err
					}
				}
				all = append(all, r)
				return nil
			}
			if mode == lab.Sockets { // few at once: real time needs the cores
				err := lab.Lanes(lanes, jobs, func(j lab.Job) (*emulator.Result, error) {
					return playSockets(j.Scenario, j.Policy, nil)
				}, func(j lab.Job, r *emulator.Result) error {
					if r.Rules() > 0 {
						fmt.Fprintf(out, "%s, seed %d, %s: %v\n", r.Scenario, r.Seed, r.Policy, r.Breaks[0])
					}
					return take(lab.Record{Label: j.Label, Commit: at, Result: r})
				}, show)
				if err != nil {
					return err
				}
			} else if err := lab.Sweep(jobs, at, take, show); err != nil {
				return err
			}
			lab.Summary(out, all)
			if broken > 0 {
				fmt.Fprintf(out, "\nrules broken: %d\n", broken)
			}
			return nil
		}}
	f := c.Flags()
	f.StringArrayVar(&sets, "set", nil, "path=a,b,c: play each of these values")
	f.StringSliceVar(&policies, "policy", []string{virtual.Module}, "policies to play")
	f.IntVar(&seeds, "seeds", 1, "seeds of each combination, from the scenario's on")
	f.StringVar(&file, "json", "", "add the results to this file, a line of JSON each")
	f.StringVar(&mode, "mode", lab.Virtual, "virtual or sockets")
	f.StringSliceVar(&pools, "pool", []string{""},
		"pools of hop legs to play, virtual mode only: own, oldest-first, "+
			"least-used-first, eager, unbounded, fixed-2")
	f.IntVar(&lanes, "lanes", 1, "sockets runs at once")
	return c
}

func compareCommand(out io.Writer) *cobra.Command {
	var figures []string
	c := &cobra.Command{Use: "compare A B", Short: "Compare two results files, paired by seed",
		Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
			a, err := lab.Read(args[0])
			if err != nil {
				return err
			}
			b, err := lab.Read(args[1])
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "| scenario | settings | figure | pairs | A | B | B less A | 95 %% interval | |\n|%s\n",
				strings.Repeat(" --- |", 9))
			for _, name := range figures {
				figure, ok := lab.Figures[name]
				if !ok {
					return fmt.Errorf("--figure %q: unknown", name)
				}
				diffs, err := lab.Compare(a, b, figure)
				if err != nil {
					return err
				}
				for _, d := range diffs {
					sure := "may be chance"
					if d.Sure() {
						sure = "sure"
					}
					fmt.Fprintf(out, "| %s | %s | %s | %d | %.4f | %.4f | %+.4f | %+.4f to %+.4f | %s |\n", d.Scenario,
						d.Label, name, d.Pairs, d.A, d.B, d.Mean, d.Low, d.High, sure)
				}
			}
			return nil
		}}
	c.Flags().StringSliceVar(&figures, "figure", []string{"g", "p99", "openings"}, "figures to compare")
	return c
}

func reportCommand(out io.Writer) *cobra.Command {
	var dir, title, how string
	c := &cobra.Command{Use: "report RESULTS...", Short: "Write a report with tables and charts",
		Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var all []lab.Record
			for _, path := range args {
				records, err := lab.Read(path)
				if err != nil {
					return err
				}
				all = append(all, records...)
			}
			if err := lab.Report(dir, title, how, all); err != nil {
				return err
			}
			fmt.Fprintln(out, filepath.Join(dir, "report.md"))
			return nil
		}}
	c.Flags().StringVar(&dir, "out", "", "folder to write to")
	c.Flags().StringVar(&title, "title", "Results", "the report's title")
	c.Flags().StringVar(&how, "command", "", "the command that made the results, for the report")
	_ = c.MarkFlagRequired("out") // the flag exists
	return c
}

func searchCommand(out io.Writer) *cobra.Command {
	var s lab.Search
	var budget time.Duration
	var dir string
	var most uint64
	c := &cobra.Command{Use: "search",
		Short: "Play random scenarios; shrink and keep those on which something is wrong",
		Args:  cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			played, finds, err := lab.SearchFor(&s, budget, most, func(f *lab.Find) error {
				raw, err := lab.Brief(f.Scenario)
				if err != nil {
					return err
				}
				if err := os.MkdirAll(dir, 0o755); err != nil {
					return err
				}
				path := filepath.Join(dir, f.Kind+"-"+f.Scenario.Name+".yaml")
				fmt.Fprintf(out, "%s: %s\n", path, f.Why)
				return os.WriteFile(path, raw, 0o644)
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d scenarios played, %d finds\n", played, finds)
			if finds > 0 {
				return errors.New("something is wrong on the scenarios named")
			}
			return nil
		}}
	f := c.Flags()
	f.DurationVar(&budget, "budget", time.Minute, "how long to search")
	f.Uint64Var(&most, "scenarios", 0, "how many scenarios at most; 0: as the time allows")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the search")
	f.Float64Var(&s.Behind, "behind", 0.1,
		"G that may be lacked against the best textbook policy; 0: not compared")
	f.BoolVar(&s.Short, "short", false, "shorter scenarios")
	f.StringVar(&s.Policy, "policy", virtual.Module, "policy to search faults of")
	f.StringVar(&dir, "out", "found", "folder for the scenarios")
	return c
}

func traceCommand(out io.Writer) *cobra.Command {
	var ask, seed uint64
	var policy string
	var sets []string
	c := &cobra.Command{Use: "trace SCENARIO",
		Short: "Show the events, decisions and effects of one request in their order",
		Args:  cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			sc, err := load(args[0], sets)
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				sc.Seed = seed
			}
			if ask == 0 { // the first of a broken rule
				r, err := virtual.Run(sc, virtual.Options{Policy: policy})
				if err != nil {
					return err
				}
				for _, b := range r.Breaks {
					if b.Ask != 0 {
						ask = b.Ask
						break
					}
				}
				if ask == 0 {
					return errors.New("no request broke a rule; name one with --request")
				}
			}
			s, err := virtual.New(sc, virtual.Options{Policy: policy, Follow: ask})
			if err != nil {
				return err
			}
			s.Run()
			if len(s.World().Trace()) == 0 {
				return fmt.Errorf("there is no request %d", ask)
			}
			fmt.Fprintf(out, "request %d of %s, seed %d\n", ask, sc.Name, sc.Seed)
			for _, line := range s.World().Trace() {
				fmt.Fprintln(out, line)
			}
			return nil
		}}
	f := c.Flags()
	f.Uint64Var(&ask, "request", 0, "number of the request; 0: the first that breaks a rule")
	f.Uint64Var(&seed, "seed", 0, "seed in place of the scenario's")
	f.StringVar(&policy, "policy", virtual.Module, "what the proxies decide by")
	f.StringArrayVar(&sets, "set", nil, "path=value: change the scenario")
	return c
}

func kindsCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "kinds", Short: "List the kinds of trouble", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			for _, k := range emulator.Kinds() {
				fmt.Fprintf(out, "%-10s %s (size %.3g to %.3g, else %.3g)\n", k.Name, k.About, k.Sizes.From,
					k.Sizes.To, k.Size)
			}
		}}
}

func showCommand(out io.Writer) *cobra.Command {
	var asJSON, brief bool
	c := &cobra.Command{Use: "show SCENARIO", Short: "Print a scenario with all that it leaves out",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			sc, _, err := lab.Load(args[0])
			if err != nil {
				return err
			}
			raw, err := lab.Dump(sc)
			switch {
			case brief:
				raw, err = lab.Brief(sc)
			case asJSON:
				raw, err = json.MarshalIndent(sc, "", "  ")
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(out, strings.TrimRight(string(raw), "\n"))
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&brief, "brief", false, "only what differs from the calm day")
	return c
}

func costCommand(out io.Writer) *cobra.Command {
	var sizes []int
	var requests int
	c := &cobra.Command{Use: "cost",
		Short: "Measure what one proxy's reducer and module cost as the fleet grows",
		Args:  cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			var all []lab.Cost
			for _, n := range sizes {
				c, err := lab.Measure(n, requests)
				if err != nil {
					return err
				}
				all = append(all, c)
			}
			lab.CostTable(out, all)
			return nil
		}}
	c.Flags().IntSliceVar(&sizes, "servers", []int{13, 100, 1000}, "sizes of the fleet")
	c.Flags().IntVar(&requests, "requests", 20000, "requests of each size")
	return c
}
