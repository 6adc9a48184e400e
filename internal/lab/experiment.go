package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"lilacglade/internal/emulator"
	"lilacglade/internal/lab/virtual"
)

// Modes of a run.
const (
	Virtual = "virtual"
	Sockets = "sockets"
)

// Player plays a scenario in sockets mode; cmd/lilalab gives it, since only it knows the program.
type Player func(sc *emulator.Scenario, policy string, progress func(at, of time.Duration)) (*emulator.Result,
	error)

// Job is one run of a sweep.
type Job struct {
	Scenario *emulator.Scenario
	Label    string // the settings changed
	Policy   string
	Pool     string // of virtual.Pools
}

// Record is a run's result with what it was, as a line of JSON in a results file.
type Record struct {
	Label  string `json:"label"`
	Commit string `json:"commit,omitempty"`
	*emulator.Result
}

// Combinations makes the jobs of a sweep: every combination of the settings' values with every
// policy and seeds from the scenario's own on.
func Combinations(raw []byte, sets []string, policies []string, seeds int) ([]Job, error) {
	rows := [][]Setting{nil}
	for _, set := range sets {
		path, values, ok := strings.Cut(set, "=")
		if !ok || path == "" || values == "" {
			return nil, fmt.Errorf("--set %q: want path=a,b,c", set)
		}
		var next [][]Setting
		for _, row := range rows {
			for _, v := range strings.Split(values, ",") {
				next = append(next, append(slices.Clone(row), Setting{path, v}))
			}
		}
		rows = next
	}
	if len(policies) == 0 {
		policies = []string{virtual.Module}
	}
	var jobs []Job
	for _, row := range rows {
		sc, err := With(raw, row)
		if err != nil {
			return nil, err
		}
		var label []string
		for _, s := range row {
			label = append(label, s.String())
		}
		for _, policy := range policies {
			if !slices.Contains(virtual.Policies(), policy) {
				return nil, fmt.Errorf("policy %q is none of %s", policy, strings.Join(virtual.Policies(), ", "))
			}
			for i := range max(1, seeds) {
				one := *sc
				one.Seed += uint64(i)
				jobs = append(jobs, Job{Scenario: &one, Label: strings.Join(label, " "), Policy: policy})
			}
		}
	}
	return jobs, nil
}

// Sweep plays jobs in virtual time on all cores and hands on their records in the jobs' order.
func Sweep(jobs []Job, commit string, take func(Record) error, progress func(done, of int)) error {
	type slot struct {
		rec Record
		err error
	}
	done := make([]chan slot, len(jobs))
	for i := range done {
		done[i] = make(chan slot, 1)
	}
	next := make(chan int)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				r, err := virtual.Run(jobs[i].Scenario, virtual.Options{Policy: jobs[i].Policy,
					Pool: jobs[i].Pool, Clock: time.Now})
				done[i] <- slot{Record{jobs[i].Label, commit, r}, err}
			}
		})
	}
	go func() {
		defer close(next)
		for i := range jobs {
			select {
			case next <- i:
			case <-stop:
				return
			}
		}
	}()
	var err error
	for i := range jobs {
		s := <-done[i]
		if err = s.err; err == nil {
			err = take(s.rec)
		}
		if err != nil {
			break
		}
		if progress != nil {
			progress(i+1, len(jobs))
		}
	}
	close(stop)
	wg.Wait()
	return err
}

// Lanes plays jobs, so many at once, and hands on their results as they come.
func Lanes(lanes int, jobs []Job, play func(Job) (*emulator.Result, error),
	take func(Job, *emulator.Result) error, progress func(done, of int)) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	next, done := 0, 0
	for range max(1, lanes) {
		wg.Go(func() {
			for {
				mu.Lock()
				if next >= len(jobs) || failed != nil {
					mu.Unlock()
					return
				}
				j := jobs[next]
				next++
				mu.Unlock()
				r, err := play(j)
				mu.Lock()
				if err == nil {
					err = take(j, r)
				}
				if err != nil {
					failed = errors.Join(failed, err)
				}
				done++
				progress(done, len(jobs))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// Write adds a record to a results file.
func Write(w io.Writer, r Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// Read reads a results file.
func Read(path string) ([]Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []Record
	in := bufio.NewScanner(f)
	in.Buffer(nil, 64<<20) // a record of a long run is some MB
	for n := 1; in.Scan(); n++ {
		if len(in.Bytes()) == 0 {
			continue
		}
		var r Record
		if err := json.Unmarshal(in.Bytes(), &r); err != nil || r.Result == nil {
			return nil, fmt.Errorf("%s:%d: not a result: %w", path, n, err)
		}
		all = append(all, r)
	}
	return all, in.Err()
}

// Difference is a figure compared over paired seeds.
type Difference struct {
	Label, Scenario string
	Pairs           int
	A, B            float64 // means
	Mean            float64 // of B less A
	Low, High       float64 // within which the mean lies at 95 %
}

// Sure tells whether the difference is more than chance.
func (d Difference) Sure() bool { return d.Low > 0 || d.High < 0 }

// Compare pairs the records of two results by scenario, settings and seed and gives the difference
// of a figure for each scenario and settings, with a bootstrap interval.
func Compare(a, b []Record, figure func(*emulator.Result) float64) ([]Difference, error) {
	type key struct {
		scenario, label string
		seed            uint64
	}
	of := map[key]*emulator.Result{}
	for _, r := range a {
		of[key{r.Scenario, r.Label, r.Seed}] = r.Result
	}
	var order []key
	pairs := map[key][][2]float64{}
	for _, r := range b {
		o := of[key{r.Scenario, r.Label, r.Seed}]
		if o == nil {
			continue
		}
		k := key{r.Scenario, r.Label, 0}
		if pairs[k] == nil {
			order = append(order, k)
		}
		pairs[k] = append(pairs[k], [2]float64{figure(o), figure(r.Result)})
	}
	if len(order) == 0 {
		return nil, fmt.Errorf("the two results have no scenario, settings and seed in common")
	}
	var out []Difference
	for _, k := range order {
		d := Difference{Label: k.label, Scenario: k.scenario, Pairs: len(pairs[k])}
		var diffs []float64
		for _, p := range pairs[k] {
			d.A += p[0] / float64(d.Pairs)
			d.B += p[1] / float64(d.Pairs)
			diffs = append(diffs, p[1]-p[0])
		}
		d.Mean, d.Low, d.High = bootstrap(diffs)
		out = append(out, d)
	}
	return out, nil
}

// resamples is how many times a bootstrap draws.
const resamples = 4000

// bootstrap gives the mean and its 95 % interval; always the same one for the same values.
func bootstrap(values []float64) (mean, low, high float64) {
	n := len(values)
	for _, v := range values {
		mean += v / float64(n)
	}
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	means := make([]float64, resamples)
	for i := range means {
		for range n {
			means[i] += values[rng.IntN(n)] / float64(n)
		}
	}
	slices.Sort(means)
	return mean, means[resamples*25/1000], means[resamples*975/1000-1]
}

// Figures are the figures that can be compared, by name.
var Figures = map[string]func(*emulator.Result) float64{
	"g":         func(r *emulator.Result) float64 { return r.G },
	"whole":     func(r *emulator.Result) float64 { return r.Whole },
	"worst":     func(r *emulator.Result) float64 { return r.WorstWindow },
	"p50":       func(r *emulator.Result) float64 { return r.Latency.P50.Seconds() * 1000 },
	"p99":       func(r *emulator.Result) float64 { return r.Latency.P99.Seconds() * 1000 },
	"p999":      func(r *emulator.Result) float64 { return r.Latency.P999.Seconds() * 1000 },
	"lists":     func(r *emulator.Result) float64 { return float64(r.Lists.Asked) },
	"list-peak": func(r *emulator.Result) float64 { return float64(r.Lists.Peak) },
	"behind":    func(r *emulator.Result) float64 { return float64(r.Lists.Behind) },
	"openings": func(r *emulator.Result) float64 {
		return 1000 * float64(r.Openings) / float64(max(1, r.Asked))
	},
	"attempts":   func(r *emulator.Result) float64 { return float64(r.Attempts) / float64(max(1, r.Asked)) },
	"refused":    func(r *emulator.Result) float64 { return float64(r.Outcomes[1]) / float64(max(1, r.Asked)) },
	"wasted":     func(r *emulator.Result) float64 { return r.Wasted / max(1e-9, r.Work) },
	"broken":     func(r *emulator.Result) float64 { return float64(r.Rules()) },
	"held-back":  func(r *emulator.Result) float64 { return float64(r.HeldBack) },
	"turned":     func(r *emulator.Result) float64 { return float64(turned(r)) },
	"dead-legs":  func(r *emulator.Result) float64 { return float64(r.DeadLegs) },
	"connection": func(r *emulator.Result) float64 { return float64(r.MostOpen) },
}

func turned(r *emulator.Result) (n int) {
	for _, c := range r.Turned {
		n += c
	}
	return n
}
