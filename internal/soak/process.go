package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lilacglade/internal/faultlayer"
)

// Ports of every process, each on an address of its own.
const (
	clientPort = 8081
	adminPort  = 8082
)

// readyWithin is how long a process may take until it serves.
const readyWithin = 10 * time.Second

// Process is one real process of the program, which may be started again and again.
type Process struct {
	Name          string
	Listen, Admin string
	fleet         *Fleet
	index         int
	dir           string
	layer         *faultlayer.Layer
	faulted       atomic.Uint64 // system calls that rules had go wrong
	config        map[string]any
	steer         sync.Mutex // held while it is restarted or its configuration changes

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
	told    time.Time // when it was told to end; zero: it was not
	killed  time.Time // when it was killed last
	ready   bool      // since it was started: a front opens connections from then on
	exit    error     // how the last one ended
	log     bytes.Buffer
}

func newProcess(f *Fleet, index int, host string) (*Process, error) {
	name := fmt.Sprint("n", f.options.number(index))
	p := &Process{Name: name, Listen: fmt.Sprint(host, ":", clientPort), Admin: fmt.Sprint(host, ":", adminPort),
		fleet: f, index: index, dir: f.processDir(name)}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if p.layer, err = faultlayer.New(f.options.Library, p.dir); err != nil {
		return nil, err
	}
	address, err := f.discovery.open(name)
	if err != nil {
		return nil, err
	}
	p.configure(address)
	return p, nil
}

// knowLast has the process start with the list as it had it last, as DEPLOY-lilacglade.md says.
func (p *Process) knowLast() error {
	known, version := p.fleet.discovery.lastHad(p.Name)
	p.config["known"] = known
	p.fleet.judge.started(p.Name, time.Now(), version)
	return p.writeConfig()
}

// What the settings say of all processes.
const (
	drainGrace     = 250 * time.Millisecond
	connectTimeout = 300 * time.Millisecond
	keepAlive      = 2 * time.Second
	keyedWindow    = 1200 * time.Millisecond
	processSockets = 512    // descriptors
	tenantRate     = 5000.0 // requests a second, of all processes that run
)

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (p *Process) configure(discovery string) {
	o := p.fleet.options
	allowance := tenantRate * float64(o.FleetSize) / float64(o.Proxies)
	described := []any{}
	for _, c := range classes {
		described = append(described, map[string]any{"name": c.name, "aim": millis(c.deadline) / 2,
			"deadline": millis(c.deadline), "late-worth": 0.2, "semantics": c.semantics, "group": "zone",
			"memory-span": millis(keyedWindow), "worth": c.worth})
	}
	p.config = map[string]any{"name": p.Name, "listen": p.Listen, "discovery": discovery, "admin": p.Admin,
		"seed":   fmt.Sprintf("%x", uint64(p.index)+o.Seed*1000+1),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": processSockets},
		"settings": map[string]any{"azs": zones, "models": []string{"k0"},
			"balancers": o.FleetSize, "me": o.number(p.index), "zone": p.index % len(zones), "stage": 0,
			"tiers": []string{"t"},
			"bounds": map[string]any{"cancel": true, "connect-timeout": millis(connectTimeout),
				"keepalive": millis(keepAlive), "max-retry-after": 1000.0, "most-tries": 4, "retry-after": true,
				"second-copies": false},
			"classes": described, "counted-by": "request", "membership-mode": "on_request", "over-share-worth": 0.1,
			"prices":    map[string]any{"cross-zone": 0.025},
			"reporting": map[string]any{"how": "piggyback", "names": []string{"rif"}},
			"rules": map[string]any{"answer-slack": 20.0, "ask-every": millis(o.AskEvery),
				"cold-from": 0.3, "overload-for": 1000.0, "stop-sending-within": millis(drainGrace), "tip-multiple": 2.5,
				"warm-within": 2000.0},
			"tenants": []any{map[string]any{"name": "port", "allowance-per-s": allowance}}}}
}

func (p *Process) configFile() string { return filepath.Join(p.dir, "config.json") }

// writeConfig puts the configuration in place, whole at any moment.
func (p *Process) writeConfig() error {
	raw, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configFile()+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configFile()+".new", p.configFile())
}

// Write takes the process's log.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Log is what the processes here have logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// crashes are lines of the log that only a crash leaves.
func (p *Process) crashes() (lines []string) {
	for line := range strings.Lines(p.Log()) {
		for _, sign := range []string{"panic:", "fatal error:", "SIGSEGV", "faultlayer:", "lilacglade:"} {
			if strings.Contains(line, sign) {
				lines = append(lines, strings.TrimSpace(line))
			}
		}
	}
	return lines
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.Name)
	}
	signal.Ignore(syscall.SIGHUP) // inherited: as the deployment's shell does before it becomes the program
	cmd := exec.Command(p.fleet.options.Binary, "serve", "--config", p.configFile())
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG=", "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=",
		"NODE_ADMIN=", "NODE_PEERS=", "NODE_PASSED_SOCKET=", "TMPDIR="+p.dir), p.layer.Env(trapped...)...)
	cmd.Stdout, cmd.Stderr = p, p
	if err := p.knowLast(); err != nil {
		return err
	}
	if err := startOn(cmd, p.fleet.options.Cores); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.started, p.told, p.ready = cmd, ended, time.Now(), time.Time{}, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		asked := !p.told.IsZero() || p.killed.After(p.started)
		p.cmd, p.exit = nil, err
		p.mu.Unlock()
		if !asked {
			p.fleet.judge.violation("crash", "%s ended by itself: %v", p.Name, err)
		}
		close(ended)
	}()
	return nil
}

// Signal sends the process a signal. SIGKILL is waited for.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	if cmd != nil {
		switch sig {
		case syscall.SIGTERM:
			if p.told.IsZero() {
				p.told = time.Now()
			}
		case syscall.SIGKILL:
			p.killed = time.Now()
		}
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig) // one that has just ended needs none
	if sig == syscall.SIGKILL {
		<-ended
	}
}

// AwaitEnd waits until the process has ended, false if it has not in time.
func (p *Process) AwaitEnd(within time.Duration) bool {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

// takesNew tells whether a front would still open connections to the process.
func (p *Process) takesNew() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.ready && (p.told.IsZero() || time.Since(p.told) < frontLate)
}

// frontLate is how long a front goes on opening connections to a process that was told to end.
const frontLate = 300 * time.Millisecond

// killSlack is how long after it was sent SIGKILL a process may still take connections.
const killSlack = 50 * time.Millisecond

// killedSince tells whether the process was killed after a moment.
func (p *Process) killedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed.After(t.Add(-killSlack))
}

// AwaitReady waits until the process serves.
func (p *Process) AwaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for by := time.Now().Add(readyWithin); time.Now().Before(by) && ctx.Err() == nil; {
		res, err := client.Get("http://" + p.Listen + "/healthz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				p.mu.Lock()
				p.ready = true
				p.mu.Unlock()
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	stands := p.stands()
	p.Signal(syscall.SIGQUIT) // it says where it stands
	p.AwaitEnd(time.Second)
	return fmt.Errorf("%s is not ready in time: %s: %s", p.Name, stands, p.Log())
}

// stands is what the kernel says of where the process's threads stand.
func (p *Process) stands() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Sprint("ended: ", p.exit)
	}
	var b strings.Builder
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", p.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	for _, thread := range threads {
		for _, file := range []string{"comm", "syscall", "wchan", "stat"} {
			raw, err := os.ReadFile(filepath.Join(thread, file))
			if err == nil {
				fmt.Fprintf(&b, "%s ", bytes.TrimSpace(raw))
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// Figure asks the process for one of its figures.
func (p *Process) Figure(name string) (uint64, error) {
	conn, err := net.DialTimeout("tcp", p.Admin, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, "DUMP\n"); err != nil {
		return 0, err
	}
	raw, err := io.ReadAll(conn)
	if err != nil {
		return 0, err
	}
	total, found := uint64(0), false
	for line := range strings.Lines(string(raw)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if key != name && !strings.HasPrefix(key, name+"{") {
			continue
		}
		n, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return 0, err
		}
		total, found = total+n, true
	}
	if !found {
		return 0, fmt.Errorf("no figure %s", name)
	}
	return total, nil
}

// Violations is how many violations of its invariants the process has counted itself.
func (p *Process) Violations() (uint64, error) { return p.Figure("node_violations") }

// Fault puts a rule into force for some time.
func (p *Process) Fault(rule faultlayer.Rule, lasts time.Duration) error {
	slot, err := p.layer.Add(rule)
	if err != nil {
		return err
	}
	p.fleet.running.Add(1)
	go func() {
		defer p.fleet.running.Done()
		time.Sleep(lasts)
		p.faulted.Add(p.layer.Remove(slot))
	}()
	return nil
}
