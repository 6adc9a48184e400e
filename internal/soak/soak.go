// Package soak runs a fleet of real proxy processes under random faults that overlap in time, and judges
// what clients, servers and discovery saw of it by the rules of the protocol. The faults are those of the
// machine underneath (clock steps and failing system calls, by package faultlayer), of the network, of
// servers, clients and discovery, and signals. Everything is on the loopback, bounded, and ends by itself.
// For tests and "lilalab soak" only.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lilacglade/internal/faultlayer"
)

// Options say what a run has.
type Options struct {
	Binary  string // the program, linked against the C library
	Library string // as faultlayer.Build returned it
	Dir     string // an empty folder
	Seed    uint64
	Proxies int
	Servers int
	// FleetSize is how many proxies there are by the settings, of which the run's processes are some, spread
	// from the first number to the last; 0: as many as run
	FleetSize int
	Every     time.Duration // between two requests at each proxy
	// AskEvery is the settings' time for asking for the list; 0: a usual one
	AskEvery time.Duration
	// WholeEvery: one answer of the list service in so many is the whole list; 0: each
	WholeEvery int
	// Cores are those that the processes run on, by number; nil: all. The harness runs on any.
	Cores []int
	Log   func(string) // may be nil
}

// number is the number that a process has in its fleet.
func (o Options) number(index int) int { return index * (o.FleetSize - 1) / max(1, o.Proxies-1) }

// Report is what came of a run.
type Report struct {
	Asked, Served, Refused, Failed int
	Left                           int // clients that left before their answer
	Unmet                          int // clients that found no connection
	Excused                        int // requests at a process that was killed meanwhile
	Unread                         int // requests that crossed the end of a resting connection, sent once more
	Attempts                       int
	Faulted                        uint64 // system calls that went wrong
	Violations                     []Violation
}

// Err is the first violation, nil if there is none.
func (r Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d violations, first: %s", len(r.Violations), r.Violations[0])
}

// Fleet is the processes of a run and all that is round them. New starts one; its methods may be called from
// any goroutine.
type Fleet struct {
	options   Options
	began     time.Time
	processes []*Process
	servers   []*Server
	discovery *Discovery
	judge     *Judge
	clients   []*clients
	stop      context.CancelFunc
	running   sync.WaitGroup
	stalls    *stalls
	network   *network
}

// usualAskEvery is the time for asking for the list where a run's options name none.
const usualAskEvery = 1500 * time.Millisecond

// New starts a fleet, waits until all its processes are ready, and has clients ask from then on.
func New(ctx context.Context, o Options) (*Fleet, error) {
	if o.Proxies > mostProcesses {
		return nil, fmt.Errorf("%d processes, %d at most", o.Proxies, mostProcesses)
	}
	if o.FleetSize == 0 {
		o.FleetSize = o.Proxies
	}
	if o.FleetSize < o.Proxies {
		return nil, fmt.Errorf("%d processes in a fleet of %d", o.Proxies, o.FleetSize)
	}
	if o.AskEvery == 0 {
		o.AskEvery = usualAskEvery
	}
	network, err := takeNetwork(o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: o, began: time.Now(), stalls: newStalls(), network: network}
	f.judge = newJudge(f.stalls, o.AskEvery)
	f.discovery = newDiscovery(f.judge, network, o.WholeEvery)
	for i := range o.Servers {
		s, err := newServer(fmt.Sprintf("s%d", i), i, f.judge, network)
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		f.servers = append(f.servers, s)
		f.discovery.names(s)
	}
	for i := range o.Proxies {
		p, err := newProcess(f, i, network.host(i+1))
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		f.processes = append(f.processes, p)
		if err := p.Start(); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	for _, p := range f.processes {
		if err := p.AwaitReady(ctx); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	ctx, f.stop = context.WithCancel(ctx)
	for i, p := range f.processes {
		c := newClients(f, p, rand.New(rand.NewPCG(o.Seed, uint64(i))))
		f.clients = append(f.clients, c)
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			c.run(ctx)
		}()
	}
	return f, nil
}

// Finish ends the clients, waits for what is open, judges, and ends the fleet.
func (f *Fleet) Finish() (Report, error) {
	f.stop()
	f.running.Wait()
	var report Report
	defer func() {
		for _, p := range f.processes {
			f.say("log of %s:\n%s", p.Name, p.Log())
		}
	}()
	for _, p := range f.processes {
		p.layer.Clear()
		if n, err := p.Violations(); err != nil {
			f.judge.violation("admin", "%s: %v", p.Name, err)
		} else if n > 0 {
			f.judge.violation("invariant", "%s counted %d violations of its own", p.Name, n)
		}
		for _, line := range p.crashes() {
			f.judge.violation("crash", "%s: %s", p.Name, line)
		}
		report.Faulted += p.faulted.Load()
	}
	f.judge.report(&report)
	return report, f.Close()
}

// Close ends all processes and stand-ins.
func (f *Fleet) Close() error {
	if f.stop != nil {
		f.stop()
	}
	f.running.Wait()
	var faults []error
	for _, p := range f.processes {
		p.Signal(syscall.SIGKILL)
		faults = append(faults, p.layer.Close())
	}
	for _, s := range f.servers {
		s.Kill()
	}
	f.discovery.close()
	f.stalls.stop()
	faults = append(faults, f.network.release())
	return errors.Join(faults...)
}

// Log is the log of one process.
func (f *Fleet) Log(i int) string { return f.processes[i].Log() }

func (f *Fleet) say(format string, args ...any) {
	if f.options.Log != nil {
		f.options.Log(fmt.Sprintf("%7.3f ", time.Since(f.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// since is a moment on the run's clock, as the log and violations have it.
func (f *Fleet) since(t time.Time) time.Duration { return t.Sub(f.began).Round(time.Millisecond) }

func (f *Fleet) processDir(name string) string { return filepath.Join(f.options.Dir, name) }

// trapped are the calls that may go wrong in a run.
var trapped = []faultlayer.Call{faultlayer.Accept, faultlayer.Connect, faultlayer.Socket, faultlayer.Read,
	faultlayer.Write, faultlayer.Wait, faultlayer.Shutdown, faultlayer.SetSockopt, faultlayer.Open}

// drain has discovery list a server as draining, or as ready again.
func (f *Fleet) drain(s *Server, draining bool) {
	f.say("%s drains: %t", s.ID, draining)
	f.discovery.change(func() {
		s.mu.Lock()
		s.draining = draining
		s.mu.Unlock()
	})
}
