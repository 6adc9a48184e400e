// Package faulttest is a test harness for several real processes of the program: relays between every two of
// them, by direction, signals, stand-ins for machines, discovery and clients, and the judge of what they did.
// For tests and "lilalab fleet" only. Everything is on the loopback.
package faulttest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lilacglade/internal/maintenance"
)

// harness is several real processes and what is between them. Run makes one and ends it. What stands above mu
// is set before the first process starts; mu guards what stands below it.
type harness struct {
	scenario  Scenario
	dir       string
	log       func(string)
	procs     []*Proc
	relays    map[[2]string]*Relay // by who speaks and who hears
	machines  []*Machine
	discovery *Discovery
	clients   []*clients
	began     time.Time
	skewed    atomic.Bool    // half of the requests carry one key
	tasks     sync.WaitGroup // operators' calls and staff's work that go on in the background
	// servedBefore are the requests served when the step began, by the names that its conditions use. Only the
	// goroutine that runs the steps uses it
	servedBefore map[string]int

	mu     sync.Mutex
	judge  *maintenance.InvariantChecker
	fault  error              // the first
	state  *maintenance.State // the newest that was seen
	status map[string]string
	named  map[string]string // what "leader" and the like stood for when they were named
	calls  map[string]error  // what came of operators' calls
	// renewed has the steps at which proxies were ended and started anew
	renewed map[uint64]bool
}

const (
	defaultPatience = 60 * time.Second // of a step
	pollEvery       = 25 * time.Millisecond
)

func newHarness(sc Scenario, dir string, log func(string)) *harness {
	if sc.Patient == 0 {
		sc.Patient = defaultPatience
	}
	return &harness{
		scenario: sc,
		dir:      dir,
		log:      log,
		relays:   map[[2]string]*Relay{},
		began:    time.Now(),
		judge:    maintenance.NewInvariantChecker(),
		status:   map[string]string{},
		named:    map[string]string{},
		calls:    map[string]error{},
		renewed:  map[uint64]bool{},
	}
}

// Run plays a scenario with the program in a file, in an empty folder. An error is a broken promise, or a
// step whose time never came.
func Run(ctx context.Context, sc Scenario, binary, dir string, log func(string)) (Report, error) {
	h := newHarness(sc, dir, log)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer h.end()
	if err := h.build(binary); err != nil {
		return Report{}, err
	}
	watching := h.startWatching(ctx)
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	asking := h.startClients(clientsCtx)
	report := Report{Machines: map[string]string{}}
	err := h.runSteps(ctx, &report)
	stopClients()
	asking.Wait()
	h.tasks.Wait()
	stop()
	watching.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.collect(&report)
	return report, errors.Join(err, h.fault, h.judge.Fault, sc.Most.exceeded(report.Cost))
}

// startClients has all clients ask until the context ends.
func (h *harness) startClients(ctx context.Context) *sync.WaitGroup {
	var asking sync.WaitGroup
	for _, c := range h.clients {
		asking.Go(func() { c.run(ctx) })
	}
	return &asking
}

// end ends all that was started.
func (h *harness) end() {
	for _, p := range h.procs {
		p.Signal(syscall.SIGKILL)
	}
	for _, relay := range h.relays {
		relay.Close()
	}
	for _, m := range h.machines {
		m.close()
	}
	if h.discovery != nil {
		h.discovery.Close()
	}
}

// logf writes a line with the time since the run began.
func (h *harness) logf(format string, args ...any) {
	if h.log != nil {
		h.log(fmt.Sprintf("%7.3f ", time.Since(h.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// fail notes the first fault.
func (h *harness) fail(err error) {
	h.logf("FAULT %v", err)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fault == nil {
		h.fault = err
	}
}

// failure is what has failed so far, nil if nothing has.
func (h *harness) failure() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return errors.Join(h.fault, h.judge.Fault)
}
