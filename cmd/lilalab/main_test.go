package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"lilacglade/internal/emulator"
	"lilacglade/internal/lab"
	"lilacglade/internal/lab/sockets"
)

// call runs the command and returns what it prints.
func call(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := command(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func scenario(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const brief = "name: brief\nduration: 3s\nclients: {rate: 100}\nservers: {count: 4}\nproxies: {count: 2}\n"

// TestCommands goes through the commands as a user would.
func TestCommands(t *testing.T) {
	path, dir := scenario(t, brief), t.TempDir()
	a, b := filepath.Join(dir, "a.jsonl"), filepath.Join(dir, "b.jsonl")
	out, err := call(t, "run", path, "--seed", "4", "--json", a)
	if err != nil || !strings.Contains(out, "seed 4") || !regexp.MustCompile(`rules +kept`).MatchString(out) {
		t.Errorf("run: %v\n%s", err, out)
	}
	if _, err := call(t, "run", path, "--seed", "4", "--policy", "random", "--json", b); err != nil {
		t.Errorf("run random: %v", err)
	}
	if out, err := call(t, "compare", a, b, "--figure", "p99"); err != nil || !strings.Contains(out,
		"| brief |") {
		t.Errorf("compare: %v\n%s", err, out)
	}
	if _, err := call(t, "report", a, b, "--out", dir); err != nil {
		t.Errorf("report: %v", err)
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "report.md")); err != nil ||
		!strings.Contains(string(raw), "brief-service.svg") {
		t.Errorf("report.md: %v\n%s", err, raw)
	}
	out, err = call(t, "trace", path, "--request", "4")
	if err != nil || !strings.Contains(out, "decision proxy") || !strings.Contains(out, "answered by proxy") {
		t.Errorf("trace: %v\n%s", err, out)
	}
	if _, err := call(t, "run", path, "--set", "servers.count=none"); err == nil {
		t.Error("run with a faulty setting: no error")
	}
	if _, err := call(t, "search", "--scenarios", "2", "--short", "--behind", "0", "--out", dir); err != nil {
		t.Errorf("search: %v", err)
	}
	// A policy that pushes cold servers over breaks a rule: the command fails.
	cold := scenario(t,
		brief+"servers: {count: 4, cold: {from: 0.01, within: 8s, multiple: 1, window: 1s, slack: 1}}\n"+
			"troubles: [{kind: crash, at: 500ms, for: 500ms}]\ndiscovery: {late: 0s, detect: 0s}\n")
	raw, err := os.ReadFile(cold)
	if err != nil {
		t.Fatal(err)
	}
	fixed := strings.Replace(string(raw), "servers: {count: 4}\n", "", 1)
	if err := os.WriteFile(cold, []byte(fixed), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := call(t, "run", cold, "--policy", "least"); err == nil || !strings.Contains(out,
		"BROKEN cold") {
		t.Errorf("a broken rule: %v\n%s", err, out)
	}
}

// TestSockets plays a short scenario with real programs: servers that die, refuse and keep silent,
// a discovery that moves, proxies that stop and are killed. Judged here is only what no slow machine
// can change: nothing runs twice, nothing that may have run is refused, and every try ends once.
func TestSockets(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "./cmd/lilacglade")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	sc, err := lab.Parse([]byte(`name: sockets
duration: 4s
clients: {rate: 80}
servers: {count: 6}
proxies: {count: 2, sockets: 256}
discovery: {late: 100ms, detect: 200ms}
troubles:
- {kind: crash, at: 500ms, for: 1s, servers: [0]}
- {kind: vanish, at: 700ms, for: 1s, servers: [1], hard: true}
- {kind: refuse, at: 600ms, for: 1s, servers: [2]}
- {kind: reset, at: 500ms, for: 3s, size: 0.1}
- {kind: garble, at: 500ms, for: 3s, size: 0.1}
- {kind: move, at: 1s, for: 1s}
- {kind: proxies, at: 2s, for: 1s, proxies: [0], hard: true}
- {kind: proxies, at: 2500ms, for: 1s, proxies: [1]}
`))
	if err != nil {
		t.Fatal(err)
	}
	r, err := sockets.Run(sc, sockets.Options{Program: []string{filepath.Join(bin, "lilacglade"), "serve"},
		Dir:    bin,
		Policy: "module", Progress: func(time.Duration, time.Duration) {}})
	if err != nil {
		t.Fatal(err)
	}
	if r.Ended() != r.Asked || r.Unsettled() != 0 || r.Asked == 0 || r.Outcomes[0] == 0 || r.Openings == 0 {
		t.Errorf("asked %d, outcomes %v, %d calls open", r.Asked, r.Outcomes, r.Unsettled())
	}
	for _, rule := range []emulator.Rule{emulator.RuleTwice, emulator.RuleRefused, emulator.RuleCrash,
		emulator.RuleTries} {
		if r.Broken[rule] > 0 {
			t.Errorf("rule %s: %v", rule, r.Breaks)
		}
	}
}
