package faulttest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "faults")
	if err == nil {
		binary = filepath.Join(dir, "lilacglade")
		var out []byte
		build := exec.Command("go", "build", "-tags", "rig", "-o", binary, "lilacglade/cmd/lilacglade")
		out, err = build.CombinedOutput()
		if err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
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

// TestScenarios plays the scenarios of lab/fleet on real processes: each is a hard case of taking machines
// out, with requests all the time. The judge is the one of the plays in virtual time.
func TestScenarios(t *testing.T) {
	scenarios(t, "../../lab/fleet/*.yaml", func(r Report) bool { return r.Frees > 0 })
}

// TestStarts plays the starts of many proxies in lab/start: what they cost the list service and the machines
// is counted there, and has bounds for all of them together.
func TestStarts(t *testing.T) {
	scenarios(t, "../../lab/start/*.yaml", func(Report) bool { return true })
}

func scenarios(t *testing.T, pattern string, good func(Report) bool) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var sc Scenario
			if err := yaml.UnmarshalWithOptions(raw, &sc, yaml.DisallowUnknownField()); err != nil {
				t.Fatal(err)
			}
			report, err := Run(context.Background(), sc, binary, t.TempDir(), func(s string) { t.Log(s) })
			t.Logf("%+v", report)
			if err != nil {
				t.Fatal(err)
			}
			if o := report.Outcomes; o.Served < o.Asked/2 || !good(report) {
				t.Errorf("served %d of %d, %d machines told free", o.Served, o.Asked, report.Frees)
			}
		})
	}
}
