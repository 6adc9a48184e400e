package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"lilacglade/internal/faultlayer"
)

var binary, library string

// casesAtOnce is how many fleets run side by side: nearly all of their time they wait for clocks, not cores.
const casesAtOnce = 64

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", fmt.Sprint(casesAtOnce)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	dir, err := os.MkdirTemp("", "soak")
	if err == nil {
		binary = filepath.Join(dir, "lilacglade")
		build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", binary,
			"lilacglade/cmd/lilacglade")
		build.Env = append(os.Environ(), "CGO_ENABLED=1")
		var out []byte
		if out, err = build.CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err == nil {
		library, err = faultlayer.Build(dir)
	}
	code := 1
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

func newFleet(t *testing.T, seed uint64, proxies, servers int) *Fleet {
	t.Helper()
	return newFleetOf(t, Options{Seed: seed, Proxies: proxies, Servers: servers, Every: 20 * time.Millisecond})
}

// starting is held by who starts a fleet: a burst of starts would hold up those that run already.
var starting sync.Mutex

// newFleetOf starts a fleet by options that leave out what all tests have.
func newFleetOf(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Binary, o.Library, o.Dir, o.Log = binary, library, t.TempDir(), func(s string) { t.Log(s) }
	starting.Lock()
	f, err := New(context.Background(), o)
	starting.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// mostTold bounds the violations of one run that a test prints.
const mostTold = 20

// tell fails the test by what the judge found, and logs the rest of a report.
func tell(t *testing.T, report Report) {
	t.Helper()
	for i, v := range report.Violations {
		if i == mostTold {
			t.Errorf("%d more", len(report.Violations)-i)
			break
		}
		t.Error(v)
	}
	report.Violations = nil
	t.Logf("%+v", report)
}

// finish ends a fleet and fails the test by what the judge found.
func finish(t *testing.T, f *Fleet) Report {
	t.Helper()
	report, err := f.Finish()
	if err != nil {
		t.Error(err)
	}
	tell(t, report)
	if t.Failed() {
		for i, p := range f.processes {
			t.Logf("log of %s:\n%s", p.Name, f.Log(i))
		}
	}
	if report.Served < report.Asked/2 {
		t.Errorf("served %d of %d", report.Served, report.Asked)
	}
	return report
}

// TestWallClockStepped is the incident of 2026-12-02: the wall clock of one process is stepped, forward or
// back, and servers begin to drain after it; what is written to clients leaves in more than one piece.
func TestWallClockStepped(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 20 * time.Second, -4 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, uint64(step.Abs()/time.Second), 3, 6)
			for _, p := range f.processes {
				if err := p.Fault(faultlayer.Rule{Call: faultlayer.Write, Action: faultlayer.Short, Most: 300, Every: 3,
					Port: clientPort}, 12*time.Second); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(time.Second)
			f.processes[1].layer.SetClock(step)
			time.Sleep(time.Second)
			f.drain(f.servers[0], true)
			time.Sleep(500 * time.Millisecond)
			f.drain(f.servers[1], true)
			time.Sleep(9 * time.Second)
			finish(t, f)
		})
	}
}

// soakFor is how long the faults of one random run last.
const soakFor = 8 * time.Second

// TestRandomFaults plays schedules that are drawn from seeds: the same ones each time. lilalab soak plays
// others.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playSeed(t, seed)
		})
	}
}

func playSeed(t *testing.T, seed uint64) {
	o := Options{Binary: binary, Library: library, Dir: t.TempDir(), Seed: seed, Proxies: 10, Servers: 12,
		Every: 40 * time.Millisecond, Log: func(s string) { t.Log(s) }}
	schedule := Draw(seed, o.Proxies, o.Servers, soakFor, 4)
	report, err := Play(context.Background(), o, soakFor, schedule)
	if err != nil {
		t.Fatal(err)
	}
	tell(t, report)
}
