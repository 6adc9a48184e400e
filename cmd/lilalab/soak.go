package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"lilacglade/internal/faultlayer"
	"lilacglade/internal/soak"
)

// soaking is what a soak is asked for.
type soaking struct {
	seed             uint64
	seeds, jobs      int
	proxies, servers int
	every, faults    time.Duration
	askEvery         time.Duration
	wholeEvery       int
	cores            []int
	rate             float64
	fleetSize        int
	anyFleet         bool // the size is drawn from the seed
	outages, each    bool
	outage           time.Duration
	kills            int
	shrink, log      bool
	shrunk           bool // one schedule was shrunk already
}

// soakCommand plays schedules of random faults on fleets of real processes.
func soakCommand(out io.Writer) *cobra.Command {
	var s soaking
	c := &cobra.Command{Use: "soak", Args: cobra.NoArgs,
		Short: "Play random faults on fleets of real processes; fails when a rule was broken",
		RunE:  func(c *cobra.Command, _ []string) error { return s.run(c.Context(), out) }}
	c.Flags().Uint64Var(&s.seed, "seed", 1, "seed of the first schedule")
	c.Flags().IntVar(&s.seeds, "seeds", 10, "schedules to play")
	c.Flags().IntVar(&s.jobs, "jobs", 2, "of them at once")
	c.Flags().IntVar(&s.proxies, "proxies", 10, "processes of each")
	c.Flags().IntVar(&s.servers, "servers", 12, "stand-in servers of each")
	c.Flags().DurationVar(&s.every, "every", 40*time.Millisecond, "between two requests at each process")
	c.Flags().DurationVar(&s.faults, "faults", 8*time.Second,
		"faults go on for so long; 0: drawn from the seed, 15 to 90 s")
	c.Flags().IntVar(&s.fleetSize, "fleet-size", 0, "proxies that the settings name; 0: as many as run")
	c.Flags().BoolVar(&s.anyFleet, "any-fleet", false, "draw the fleet's size from the seed, 3 to 900")
	c.Flags().BoolVar(&s.outages, "outages", false, "add outages of the list service, of all processes or of "+
		"one, for 20 ms up to a minute, with drains right after")
	c.Flags().DurationVar(&s.outage, "outage", 0, "add one outage of all processes, just so long, with drains "+
		"right after")
	c.Flags().IntVar(&s.kills, "kills", 3, "processes killed or restarted in each of these outages, at most; "+
		"with --outage: killed at its start, just so many")
	c.Flags().BoolVar(&s.each, "each", false, "print a line for each schedule")
	c.Flags().DurationVar(&s.askEvery, "ask-every", 0,
		"the settings' time for asking for the list; 0: a usual one")
	c.Flags().IntVar(&s.wholeEvery, "whole-every", 0, "one answer of the list service in so many is the whole "+
		"list; 0: each")
	c.Flags().IntSliceVar(&s.cores, "cores", nil, "cores that the processes run on; none: all")
	c.Flags().Float64Var(&s.rate, "rate", 4, "other faults begun a second; 0: none")
	c.Flags().BoolVar(&s.shrink, "shrink", false, "shrink the first schedule that fails")
	c.Flags().BoolVar(&s.log, "log", false, "print the log of schedules that fail, their processes' included")
	return c
}

func (s *soaking) run(ctx context.Context, out io.Writer) error {
	if program == "" {
		return errors.New("soak: --program: not set")
	}
	if ctx == nil {
		ctx = context.Background()
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	library, err := faultlayer.Build(dir)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var total soak.Report
	failed := 0
	seeds := make(chan uint64)
	var running sync.WaitGroup
	for range s.jobs {
		running.Add(1)
		go func() {
			defer running.Done()
			for seed := range seeds {
				report, log, err := s.play(ctx, library, seed, s.draw(seed))
				mu.Lock()
				add(&total, report)
				if s.each {
					fmt.Fprintln(out, s.line(seed, report, err))
				}
				if err != nil {
					failed++
					s.tell(ctx, out, library, seed, report, log, err)
				}
				mu.Unlock()
			}
		}()
	}
	for i := range s.seeds {
		seeds <- s.seed + uint64(i)
	}
	close(seeds)
	running.Wait()
	fmt.Fprintf(out, "%d schedules, %d failed; %d requests: %d served, %d refused, %d failed, %d left; "+
		"%d attempts; %d system calls went wrong\n", s.seeds, failed, total.Asked, total.Served,
		total.Refused, total.Failed, total.Left, total.Attempts, total.Faulted)
	if failed > 0 {
		return fmt.Errorf("%d of %d schedules broke a rule", failed, s.seeds)
	}
	return nil
}

// size is how many proxies the fleet of a seed has, by the settings, and how many of them run.
func (s *soaking) size(seed uint64) (fleet, run int) {
	switch {
	case s.anyFleet:
		fleet = soak.DrawFleetSize(seed)
	case s.fleetSize > 0:
		fleet = s.fleetSize
	default:
		fleet = s.proxies
	}
	return fleet, min(s.proxies, fleet)
}

// length is how long the faults of a seed's schedule last.
func (s *soaking) length(seed uint64) time.Duration {
	if s.faults == 0 {
		return soak.DrawLength(seed)
	}
	return s.faults
}

func (s *soaking) draw(seed uint64) (all soak.Schedule) {
	_, proxies := s.size(seed)
	if s.rate > 0 {
		all = soak.Draw(seed, proxies, s.servers, s.length(seed), s.rate)
	}
	if s.outages || s.outage > 0 {
		o := soak.Outages{Exact: s.outage, Kills: s.kills}
		all = soak.Merge(all, soak.DrawOutages(seed, proxies, s.servers, s.length(seed), o))
	}
	return all
}

// line tells what came of one schedule.
func (s *soaking) line(seed uint64, report soak.Report, err error) string {
	var b strings.Builder
	fleet, run := s.size(seed)
	length := s.length(seed).Round(time.Second)
	fmt.Fprintf(&b, "seed %d: %d of %d proxies for %v; down", seed, run, fleet, length)
	kills := 0
	for _, e := range s.draw(seed) {
		switch e.Kind {
		case soak.DiscoveryDown:
			fmt.Fprintf(&b, " %v", e.Lasts.Round(10*time.Millisecond))
		case soak.DoorDown:
			fmt.Fprintf(&b, " (one: %v)", e.Lasts.Round(10*time.Millisecond))
		case soak.Kill, soak.Restart:
			kills++
		}
	}
	rules, worst := map[string]int{}, time.Duration(0)
	for _, v := range report.Violations {
		rules[v.Rule]++
		worst = max(worst, v.Late)
	}
	fmt.Fprintf(&b, "; %d killed or restarted: ", kills)
	if err == nil {
		return b.String() + "green"
	}
	fmt.Fprintf(&b, "red %v, worst %.2f s late", rules, worst.Seconds())
	return b.String()
}

// play plays one schedule. The error is its first violation.
func (s *soaking) play(ctx context.Context, library string, seed uint64,
	schedule soak.Schedule) (soak.Report, string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return soak.Report{}, "", err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	var log strings.Builder
	fleet, run := s.size(seed)
	report, err := soak.Play(ctx, soak.Options{Binary: program, Library: library, Dir: dir, Seed: seed,
		Proxies: run, FleetSize: fleet, Servers: s.servers, Every: s.every, AskEvery: s.askEvery,
		WholeEvery: s.wholeEvery, Cores: s.cores, Log: func(line string) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintln(&log, line)
		}}, s.length(seed), schedule)
	mu.Lock()
	defer mu.Unlock()
	return report, log.String(), errors.Join(err, report.Err())
}

// mostTold bounds the violations of one schedule that are printed.
const mostTold = 12

// tell prints what came of a schedule that failed, and shrinks the first one if so asked.
func (s *soaking) tell(ctx context.Context, out io.Writer, library string, seed uint64, report soak.Report,
	log string, err error) {
	fmt.Fprintf(out, "seed %d: %v\n", seed, err)
	for _, v := range report.Violations[:min(len(report.Violations), mostTold)] {
		fmt.Fprintln(out, "  ", v)
	}
	if s.log {
		fmt.Fprint(out, log)
	}
	if !s.shrink || s.shrunk {
		return
	}
	s.shrunk = true
	least := soak.Shrink(s.draw(seed), func(less soak.Schedule) bool {
		_, _, err := s.play(ctx, library, seed, less)
		return err != nil
	})
	fmt.Fprintf(out, "seed %d still fails with these alone:\n%s\n", seed, least)
}

func add(total *soak.Report, r soak.Report) {
	total.Asked += r.Asked
	total.Served += r.Served
	total.Refused += r.Refused
	total.Failed += r.Failed
	total.Left += r.Left
	total.Attempts += r.Attempts
	total.Faulted += r.Faulted
}
