package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"lilacglade/internal/faulttest"
	"lilacglade/internal/maintenancesim"
)

// fleetCommand plays several proxies that talk to each other: real processes from a scenario, or the same
// state machines in virtual time.
func fleetCommand(out io.Writer) *cobra.Command {
	var plays, proxies, random, jobs, rounds, troubles, orders int
	var seed uint64
	var loads []float64
	var steps bool
	c := &cobra.Command{Use: "fleet [FILE]",
		Short: "Play proxies that take machines out for work; fails when a promise was broken",
		Args:  cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
			if orders > 0 {
				return orderCost(c.Context(), out, orders, loads)
			}
			if rounds > 0 {
				return idleCost(out, rounds)
			}
			if random > 0 {
				return randomFleet(c.Context(), out, seed, random, jobs)
			}
			if len(args) == 0 {
				return playFleet(out, seed, plays, proxies, troubles, steps)
			}
			if program == "" {
				return errors.New("fleet: --program: not set")
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var sc faulttest.Scenario
			if err := yaml.UnmarshalWithOptions(raw, &sc, yaml.DisallowUnknownField()); err != nil {
				return fmt.Errorf("%s: %s", args[0], yaml.FormatError(err, false, false))
			}
			dir, err := os.MkdirTemp("", "fleet")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			report, err := faulttest.Run(c.Context(), sc, program, dir, func(s string) { fmt.Fprintln(out, s) })
			o := report.Outcomes
			fmt.Fprintf(out, "%d asked, %d served, %d refused, %d failed, %d lost, %d open at a process that was "+
				"killed or paused, %d at a closed door\n",
				o.Asked, o.Served, o.Refused, o.Failed, o.Lost, o.Excused, o.Unmet)
			fmt.Fprintf(out, "%d machines told free, %d bytes between proxies in %v\n", report.Frees, report.Peers,
				report.Ran.Round(1e6))
			return err
		}}
	c.Flags().IntVar(&plays, "plays", 100, "schedules to play in virtual time")
	c.Flags().IntVar(&rounds, "idle-cost", 0, "rounds of a proxy without peers and with idle ones, by turns")
	c.Flags().IntVar(&orders, "order-cost", 0, "rounds of 12 of 40 machines taken out, by hand and by order")
	c.Flags().Float64SliceVar(&loads, "load", []float64{0.3, 0.8}, "of what machines can do, for --order-cost")
	c.Flags().IntVar(&troubles, "faults", 0, "faults of each schedule (default: drawn; under 0: none)")
	c.Flags().IntVar(&random, "random", 0, "scenarios drawn from seeds to play on real processes")
	c.Flags().IntVar(&jobs, "jobs", 2, "of them at once")
	c.Flags().IntVar(&proxies, "proxies", 0, "proxies of each (default: 3 to 9, drawn)")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the first schedule")
	c.Flags().BoolVar(&steps, "steps", false, "print each step")
	return c
}

// playFleet plays schedules in virtual time.
func playFleet(out io.Writer, seed uint64, plays, proxies, troubles int, steps bool) error {
	var total maintenancesim.Report
	show := progress("schedules", plays)
	for i := range plays {
		cfg := maintenancesim.Config{Seed: seed + uint64(i), Proxies: proxies, Faults: troubles}
		if steps {
			cfg.Trace = func(s string) { fmt.Fprintln(out, s) }
		}
		r := maintenancesim.Play(cfg)
		if r.Fault != nil {
			return fmt.Errorf("seed %d: %w", cfg.Seed, r.Fault)
		}
		total.Frees += r.Frees
		total.Requests += r.Requests
		total.Messages += r.Messages
		total.Bytes += r.Bytes
		total.Took = max(total.Took, r.Took)
		if total.Ran += r.Ran; proxies > 0 {
			fmt.Fprintf(out, "seed %d: each proxy sends %.0f messages and %.0f bytes a second\n", cfg.Seed,
				float64(r.Messages)/float64(proxies)/r.Ran.Seconds(), float64(r.Bytes)/float64(proxies)/r.Ran.Seconds())
		}
		show(i+1, plays)
	}
	fmt.Fprintf(out, "%d schedules: %d machines told free, %d requests, %d messages of %d bytes; all orders "+
		"through %v after the last fault at the latest\n", plays, total.Frees, total.Requests, total.Messages,
		total.Bytes/max(1, total.Messages), total.Took)
	return nil
}

// randomFleet plays random scenarios on real processes. The first that fails is shrunk and kept under found/.
func randomFleet(ctx context.Context, out io.Writer, seed uint64, n, jobs int) error {
	if program == "" {
		return errors.New("fleet: --program: not set")
	}
	if ctx == nil {
		ctx = context.Background()
	}
	play := func(sc faulttest.Scenario, log func(string)) (faulttest.Report, error) {
		dir, err := os.MkdirTemp("", "fleet")
		if err != nil {
			return faulttest.Report{}, err
		}
		defer os.RemoveAll(dir)
		return faulttest.Run(ctx, sc, program, dir, log)
	}
	var mu sync.Mutex
	var total faulttest.Report
	var failed *faulttest.Scenario
	var first error
	next := 0
	var wait sync.WaitGroup
	for range max(1, jobs) {
		wait.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				stop := i >= n || failed != nil
				mu.Unlock()
				if stop {
					return
				}
				sc := faulttest.Random(seed + uint64(i))
				r, err := play(sc, nil)
				mu.Lock()
				total.Frees += r.Frees
				total.Ran += r.Ran
				total.Outcomes.Asked += r.Outcomes.Asked
				total.Outcomes.Lost += r.Outcomes.Lost
				fmt.Fprintf(out, "%s: %d machines free, %v, %v\n", sc.Name, r.Frees, r.Ran.Round(time.Second), err)
				if err != nil {
					failed, first = &sc, err
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	fmt.Fprintf(out, "%d machines told free, %d requests, %d lost, %v of runs\n", total.Frees,
		total.Outcomes.Asked, total.Outcomes.Lost, total.Ran.Round(time.Second))
	if failed == nil {
		return nil
	}
	less := faulttest.Shrink(ctx, *failed, func(sc faulttest.Scenario) bool {
		_, err := play(sc, nil)
		return err != nil
	})
	raw, err := yaml.Marshal(less)
	if err != nil {
		return errors.Join(first, err)
	}
	path := filepath.Join("found", failed.Name+".yaml")
	if err := errors.Join(os.MkdirAll("found", 0o755), os.WriteFile(path, raw, 0o644)); err != nil {
		return errors.Join(first, err)
	}
	return fmt.Errorf("%w\nkept, with %d of %d steps, as %s", first, len(less.Steps), len(failed.Steps), path)
}

// idleCost prints what peers cost a proxy that has nothing to settle with them.
func idleCost(out io.Writer, rounds int) error {
	if program == "" {
		return errors.New("fleet: --program: not set")
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	without, with, err := faulttest.IdleCost(program, dir, rounds, 16, 3*time.Second)
	for i := range with {
		a, b := without[i], with[i]
		fmt.Fprintf(out, "round %d: without %.0f/s p99 %v cpu %v, with %.0f/s p99 %v cpu %v\n", i+1, a.PerSecond,
			a.P99, a.CPU, b.PerSecond, b.P99, b.CPU)
	}
	return err
}

// orderCost prints what it costs to take machines out, beside an idle fleet and the way by hand, as a table.
func orderCost(ctx context.Context, out io.Writer, rounds int, loads []float64) error {
	if program == "" {
		return errors.New("fleet: --program: not set")
	}
	if ctx == nil {
		ctx = context.Background()
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Fprintln(out, "| way | load | fault | worth served | lost | failed | refused | s a machine | bytes/s "+
		"a proxy |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	row := func(c faulttest.OrderCost, proxies int, err error) error {
		o := c.Report.Outcomes
		fmt.Fprintf(out, "| %s | %.1f | %s | %.4f | %d of %d | %d | %d | %.2f | %.0f |\n", c.Way, c.Load, c.Fault,
			o.Worth/max(1, o.Possible), o.Lost, o.Asked, o.Failed, o.Refused, c.Each.Seconds(),
			float64(c.Report.Peers)/float64(proxies)/c.Report.Ran.Seconds())
		return err
	}
	for range rounds {
		for _, load := range loads {
			for _, c := range []struct {
				way   faulttest.Way
				fault string
			}{{faulttest.Idle, ""}, {faulttest.ByHand, ""}, {faulttest.ByOrder, ""}, {faulttest.ByOrder, "killed"},
				{faulttest.ByOrder, "cut"}, {faulttest.ByOrder, "paused"}} {
				cost, err := faulttest.MeasureOrder(ctx, program, dir, c.way, load, c.fault)
				if err := row(cost, 3, err); err != nil {
					return err
				}
			}
		}
		cost, err := faulttest.MeasureRenewal(ctx, program, dir)
		if err := row(cost, 20, err); err != nil {
			return err
		}
	}
	return nil
}
