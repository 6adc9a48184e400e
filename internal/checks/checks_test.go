// Package checks tests rules for the sources that the compiler does not enforce: the format of Go
// files, the length of their lines, the use of the wall clock, and the list of known failing tests.
package checks

import (
	"bytes"
	"fmt"
	"go/format"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// maxLineLength is the maximum length of a line of Go source, in characters.
const maxLineLength = 110

// TestSources checks the format and the line lengths of every Go file.
func TestSources(t *testing.T) {
	problems, err := check("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range problems {
		t.Error(f)
	}
}

// TestKnownRed checks how CI reads the list of known failing tests that it skips. The list must name at
// most three tests, each by its exact name, and each must exist.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	// The output of go test -list.
	stub := "#!/bin/sh\nprintf 'TestA\\nTestB\\nTestC\\nTestD\\nTestE\\nTestF\\nok x\\n'\n"
	if err := os.WriteFile(filepath.Join(dir, "go"), []byte(stub), 0o755); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		list, want string
		ok         bool
	}{
		{"", "", true},
		{"TestA: it fails; issue 1\n", "-skip=^(TestA)$", true},
		{"TestA: x; issue 1\nTestB: y; issue 2\n\nTestC: z; issue 3\n", "-skip=^(TestA|TestB|TestC)$", true},
		{"TestA: 1; 1\nTestB: 2; 2\nTestC: 3; 3\nTestD: 4; 4\nTestE: 5; 5\n",
			"-skip=^(TestA|TestB|TestC|TestD|TestE)$", true},
		{"TestA: 1; 1\nTestB: 2; 2\nTestC: 3; 3\nTestD: 4; 4\nTestE: 5; 5\nTestF: 6; 6\n", "", false},
		{"TestG: not there; issue 1\n", "", false},
		{"Test: a part of a name; issue 1\n", "", false},
		{"Test.*: a pattern; issue 1\n", "", false},
		{"no name at all\n", "", false},
	} {
		list := filepath.Join(dir, "list")
		if err := os.WriteFile(list, []byte(tc.list), 0o644); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", script, list)
		cmd.Env = append(os.Environ(), "PATH="+dir+":"+os.Getenv("PATH"))
		out, err := cmd.Output()
		if got := strings.TrimSpace(string(out)); (err == nil) != tc.ok || err == nil && got != tc.want {
			t.Errorf("%q: %q, %v", tc.list, got, err)
		}
	}
}

// wallClock matches expressions that read the wall clock or make a library compare a point in time with
// it.
var wallClock = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)|time\.Unix(Milli|Micro)?\(|\.Round\(0\)|` +
	`\.Set(Read|Write)?Deadline\(`)

// wallClockFiles lists the files of the program that may contain such expressions, each with the reason
// why it does not measure a duration by the wall clock.
var wallClockFiles = map[string]string{
	"internal/transport/observe.go":  "logs that the wall clock was stepped",
	"internal/transport/detached.go": "deadlines of the standard library's connections, by its monotonic clock",
	"internal/transport/stream.go":   "the same",
	"internal/transport/write.go":    "the same",
	"internal/peers/link.go":         "the same",
	"cmd/lilacglade/work.go":         "the same",

	"internal/serverlist/starts.go": "the epoch of start times, which discovery reports in Unix time",
	"internal/consensus/disk.go":    "names under which damaged and retired files are kept",
}

// TestNoDurationFromWallClock prevents a repetition of the incident of 2026-12-02 (docs/incidents): a step
// of the wall clock changed the length of a duration that was measured by it. The sockets, the reducer and
// the module use points in time of the monotonic clock only.
func TestNoDurationFromWallClock(t *testing.T) {
	seen := map[string]bool{}
	for _, dir := range []string{"internal", "cmd/lilacglade"} {
		err := filepath.WalkDir(filepath.Join("../..", dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && testOnly[d.Name()] {
				return fs.SkipDir
			}
			if d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			src, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			name := filepath.ToSlash(strings.TrimPrefix(path, "../../"))
			if found := wallClock.Find(src); found != nil && wallClockFiles[name] == "" {
				t.Errorf("%s reads the wall clock: %s", name, found)
			} else if found != nil {
				seen[name] = true
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name := range wallClockFiles {
		if !seen[name] {
			t.Errorf("%s no longer reads the wall clock: remove its exception", name)
		}
	}
}

// testOnly lists the packages that are not part of a release build.
var testOnly = map[string]bool{"faulttest": true, "soak": true, "faultlayer": true, "lab": true,
	"emulator": true, "maintenancesim": true, "baselines": true, "checks": true}

// check returns a message for each Go file below root that is not formatted, and for each line of one
// that is too long. It skips hidden directories and the journal.
func check(root string) ([]string, error) {
	var problems []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && (strings.HasPrefix(d.Name(), ".") || d.Name() == "journal") {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		want, err := format.Source(src)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		if !bytes.Equal(src, want) {
			problems = append(problems, path+": not formatted with gofmt")
		}
		for i, line := range strings.Split(string(src), "\n") {
			if utf8.RuneCountInString(line) > maxLineLength {
				problems = append(problems, fmt.Sprintf("%s:%d: longer than %d characters", path, i+1, maxLineLength))
			}
		}
		return nil
	})
	return problems, err
}
