package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/emulator"
	"lilacglade/internal/lab/virtual"
	"lilacglade/internal/reducer"
)

// TestSameSeedSameEvents plays 50 random scenarios twice: the same hash, every try ended once, no
// call left open, no rule broken.
func TestSameSeedSameEvents(t *testing.T) {
	s := Search{Seed: 7, Short: true}
	for n := range uint64(50) {
		sc := s.Scenario(n)
		sc.Duration /= 2
		var hashes [2]string
		for i := range hashes {
			r, err := virtual.Run(sc, virtual.Options{})
			if err != nil {
				t.Fatalf("scenario %d: %v", n, err)
			}
			hashes[i] = r.Hash
			if r.Ended() != r.Asked || r.Unsettled() != 0 {
				t.Errorf("scenario %d: %d of %d tries ended, %d calls open", n, r.Ended(), r.Asked, r.Unsettled())
			}
			if r.Rules() > 0 {
				t.Errorf("scenario %d: %v", n, r.Breaks)
			}
		}
		if hashes[0] != hashes[1] {
			t.Errorf("scenario %d: %s, then %s", n, hashes[0], hashes[1])
		}
	}
}

// TestScenarios plays each scenario of the repository for its first seconds: they are read, and
// the module keeps the rules.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../lab/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		sc, _, err := Load(path)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		if sc.Servers.Count > 200 {
			continue // the large ones take too long here
		}
		sc.Duration = min(sc.Duration, 12*time.Second)
		r, err := virtual.Run(sc, virtual.Options{})
		if err != nil || r.Rules() > 0 {
			t.Errorf("%s: %v, rules broken: %v", path, err, r.Breaks)
		}
	}
}

// TestRegressions plays whole what searches have found and what was mended since.
func TestRegressions(t *testing.T) {
	paths, err := filepath.Glob("../../lab/found/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		sc, _, err := Load(path)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		r, err := virtual.Run(sc, virtual.Options{})
		if err != nil || r.Rules() > 0 || r.Unsettled() > 0 {
			t.Errorf("%s: %v, rules broken: %v", path, err, r.Breaks)
		}
	}
}

// TestFaultsNameTheirPlace covers slips in scenario files: each error has line and column.
func TestFaultsNameTheirPlace(t *testing.T) {
	for _, tc := range []struct{ yaml, want string }{
		{"name: x\nservres:\n  count: 3\n", "[2:1]"},
		{"servers:\n  count: 3\n  colour: red\n", "[3:3]"},
		{"servers:\n  count: many\n", "[2:10]"},
		{"servers:\n  count: 0\n", "[2:10] servers.count"},
		{"clients:\n  retries:\n    how: often\n", "[3:10] clients.retries.how"},
		{"troubles:\n- {kind: slow, at: 1s, for: 1s}\n- {kind: slwo, at: 1s, for: 1s}\n",
			"[3:10] troubles[1].kind"},
		{"network:\n  within: [2ms, 1ms]\n", "[2:11]"},
		{"duration: [\n", "[1:11]"},
	} {
		_, err := Parse([]byte(tc.yaml))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q: error %v, want %s", tc.yaml, err, tc.want)
		}
	}
	sc, err := With([]byte("servers:\n  models:\n  - {name: a, share: 1, cores: 2, speed: 1}\n"),
		[]Setting{{"servers.models.0.cores", "4"}, {"clients.retries.how", "none"}, {"duration", "5s"}})
	if err != nil || sc.Servers.Models[0].Cores != 4 || sc.Clients.Retries.How != "none" ||
		sc.Duration != 5*time.Second || sc.Servers.Room != emulator.Lakeshore().Servers.Room {
		t.Errorf("%+v, %v", sc, err)
	}
	raw, err := Dump(sc)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Parse(raw); err != nil || again.Servers.Models[0].Cores != 4 ||
		again.Network != sc.Network || again.Clients.GiveUp != sc.Clients.GiveUp {
		t.Errorf("what was dumped reads as %+v, %v", again, err)
	}
}

// forgetful drops the answers of one class: the search must find and shrink that.
type forgetful struct{ reducer.Decider }

func (f forgetful) Handle(now time.Duration, ev lg.Event) []lg.Action {
	if r, ok := ev.(lg.Request); ok && r.Class == 1 && r.Key%16 == 0 {
		return nil
	}
	return f.Decider.Handle(now, ev)
}

func TestSearchFindsAndShrinks(t *testing.T) {
	s := Search{Seed: 3, Short: true, Options: func(o *virtual.Options) {
		o.Decider = func(set lg.Settings, seed uint64) (reducer.Decider, error) {
			b, err := lg.New(set, seed)
			return forgetful{b}, err
		}
		o.Tamper = func(_ int, e reducer.Effect) []reducer.Effect {
			if e.Do == reducer.AnswerClient && e.Verdict == reducer.Rejected {
				return nil // the reducer answers at the deadline; without that the request is lost
			}
			return []reducer.Effect{e}
		}
	}}
	var found *Find
	for n := uint64(0); n < 10 && found == nil; n++ {
		f, err := s.Try(n)
		if err != nil {
			t.Fatal(err)
		}
		found = f
	}
	if found == nil || found.Kind != string(emulator.RuleLost) {
		t.Fatalf("found %+v", found)
	}
	first := s.Scenario(found.From)
	if found.Steps == 0 || found.Scenario.Duration >= first.Duration &&
		found.Scenario.Servers.Count >= first.Servers.Count {
		t.Errorf("not made smaller: %d steps, %v of %v", found.Steps, found.Scenario.Duration, first.Duration)
	}
	raw, err := Brief(found.Scenario)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(raw)
	if err != nil {
		t.Fatalf("the scenario written can't be read: %v", err)
	}
	want, werr := s.play(found.Scenario, "")
	got, gerr := s.play(again, "")
	if werr != nil || gerr != nil || got.Hash != want.Hash {
		t.Errorf("what was written plays as %v, and was %v (%v, %v)", got.Hash, want.Hash, werr, gerr)
	}
}

// TestSearch is the short search that runs with the tests: fixed seeds, fixed steps.
func TestSearch(t *testing.T) {
	s := Search{Seed: 11, Short: true}
	played, finds, err := SearchFor(&s, time.Hour, 40, func(f *Find) error {
		t.Errorf("scenario %d: %s", f.From, f.Why)
		return nil
	})
	if err != nil || played != 40 || finds > 0 {
		t.Errorf("%d played, %d finds, %v", played, finds, err)
	}
}

// TestSweepCompareReport goes from scenarios to a report.
func TestSweepCompareReport(t *testing.T) {
	raw := []byte("name: brief\nduration: 4s\nclients: {rate: 100}\nservers: {count: 4}\nproxies: {count: 1}\n")
	path := filepath.Join(t.TempDir(), "r.jsonl")
	var file bytes.Buffer
	for _, policies := range [][]string{{"module", "random"}} {
		jobs, err := Combinations(raw, []string{"clients.rate=60,140"}, policies, 3)
		if err != nil || len(jobs) != 12 {
			t.Fatalf("%d jobs, %v", len(jobs), err)
		}
		if err := Sweep(jobs, "abc", func(r Record) error { return Write(&file, r) }, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(path, file.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	all, err := Read(path)
	if err != nil || len(all) != 12 {
		t.Fatalf("%d records, %v", len(all), err)
	}
	var a, b []Record
	for _, r := range all {
		if r.Policy == "module" {
			a = append(a, r)
		} else {
			b = append(b, r)
		}
	}
	diffs, err := Compare(a, b, Figures["p99"])
	if err != nil || len(diffs) != 2 || diffs[0].Pairs != 3 {
		t.Fatalf("%+v, %v", diffs, err)
	}
	for _, d := range diffs {
		if !(d.Low <= d.Mean && d.Mean <= d.High) {
			t.Errorf("interval %+v", d)
		}
	}
	if same, _ := Compare(a, a, Figures["g"]); same[0].Mean != 0 || same[0].Sure() {
		t.Errorf("compared with itself: %+v", same[0])
	}
	dir := t.TempDir()
	if err := Report(dir, "T", "cmd", all); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"report.md", "brief-service.svg", "brief-latency.svg", "brief-by-server.svg"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() < 500 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a large fleet that takes on requests until its servers hold so many that they jam, and
// then never get idle enough to recover.
func TestLargeFleetComesThroughAJam(t *testing.T) {
	sc, _, err := Load("../../lab/fleet-jam.yaml")
	if err != nil {
		t.Fatal(err)
	}
	r, err := virtual.Run(sc, virtual.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if r.G < 0.7 || len(r.Breaks) > 0 {
		t.Errorf("G %.3f, rules broken %v", r.G, r.Breaks)
	}
}
