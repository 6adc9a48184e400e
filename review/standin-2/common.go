package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// run is one run of a case: its record, its temporary folder and the processes that it started.
type run struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proxy
}

// newRun opens the record of a case. Its working folder is the case's own.
func newRun() (*run, error) {
	folder, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	r := &run{root: filepath.Dir(filepath.Dir(folder)), trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	r.record, err = os.Create(filepath.Join(folder, "record.txt"))
	return r, err
}

// at returns the time since the start of the run.
func (r *run) at() time.Duration { return time.Since(r.start) }

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f ms  %s\n", float64(r.at().Microseconds())/1000, fmt.Sprintf(format, args...))
}

// end stops all processes, notes the verdict and returns it.
func (r *run) end(verdict int, format string, args ...any) int {
	for _, p := range r.procs {
		p.kill()
	}
	words := map[int]string{held: "HELD", broken: "BROKEN", couldNot: "COULD NOT RUN"}[verdict]
	line := fmt.Sprintf("%s: %s", words, fmt.Sprintf(format, args...))
	r.note("%s", line)
	fmt.Println(line)
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
	return verdict
}

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// class is a request class of the settings.
type class struct {
	name, semantics, group string
	aim, deadline, memory  float64
}

var (
	albumEdit   = class{"album-edit", "unsafe", "all", 400, 800, 5000}
	photoUpload = class{"photo-upload", "keyed", "zone", 400, 2000, 1200}
)

// maxSockets and maxMemory, in MB, are the largest limits on the operators' days.
const (
	maxSockets = 1024
	maxMemory  = 192
)

// options are what differs between the configurations of the cases.
type options struct {
	mode       string // membership-mode
	balancers  int
	me         int
	warmWithin float64
	classes    []class
	known      string // the known list; empty: none
	sockets    int    // limits.sockets; 0: maxSockets
	memory     int    // limits.memory_mb; 0: maxMemory
}

// settings returns the settings object, in the form of the kit's example.
func (o options) settings() map[string]any {
	var classes []map[string]any
	for _, c := range o.classes {
		classes = append(classes, map[string]any{"name": c.name, "aim": c.aim, "deadline": c.deadline,
			"group": c.group, "late-worth": 0.2, "memory-span": c.memory, "semantics": c.semantics,
			"stream": false, "worth": 5.0})
	}
	return map[string]any{
		"azs":    []string{"harbor-st", "bluff-rd", "mill-ave", "pier-st"},
		"models": []string{"std-2", "slow-2"}, "balancers": o.balancers, "me": o.me, "zone": 0, "stage": 0,
		"tiers": []string{"album-web"},
		"bounds": map[string]any{"cancel": true, "connect-timeout": 200.0, "cpu-us-per-request": 0.0,
			"cpu-us-per-s": 800000, "keepalive": 60000.0, "max-open": 20000, "max-retry-after": 1000.0,
			"most-tries": 5, "peers": false, "probes": true, "retry-after": true, "second-copies": false,
			"streams-per-conn": 1},
		"classes": classes, "clients": map[string]any{"marks-retry": true}, "counted-by": "request",
		"family-info":     map[string]any{"warm-keys": true},
		"membership-mode": o.mode, "over-share-worth": 0.1,
		"prices":    map[string]any{"cross-zone": 0.025, "connection": 0.03},
		"reporting": map[string]any{"how": "piggyback", "names": []string{"rif", "lat_ms"}},
		"rules": map[string]any{"answer-slack": 20.0, "ask-every": 10000.0, "cold-from": 0.3,
			"overload-for": 1000.0, "stop-sending-within": 250.0, "tip-multiple": 2.5,
			"warm-within": o.warmWithin},
		"tenants": []map[string]any{{"name": "port-alder", "allowance-per-s": 24200.0, "share": 0.75},
			{"name": "cedar-bay", "allowance-per-s": 8100.0, "share": 0.25}},
		"weight-source": "rough",
	}
}

// proxy is one process of the program under test.
type proxy struct {
	run                                        *run
	name, listen, admin, discovery, peers, dir string
	passed                                     *os.File // the platform's listening socket; nil: none
	cmd                                        *exec.Cmd
	exited                                     chan struct{}
	mu                                         sync.Mutex
	ended                                      bool
}

// writeConfig writes the configuration of a proxy as the platform does.
func (p *proxy) writeConfig(o options) error {
	known := json.RawMessage(`{"generation":0,"reset":true,"instances":[]}`)
	if o.known != "" {
		known = json.RawMessage(o.known)
	}
	raw, err := json.MarshalIndent(map[string]any{"name": p.name, "listen": p.listen, "discovery": p.discovery,
		"seed": fmt.Sprintf("8c1f30d27a5be9%02x", o.me),
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(o.memory, maxMemory),
			"sockets": cmp.Or(o.sockets, maxSockets)},
		"known": known, "settings": o.settings()}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), raw, 0o600)
}

// newProxy makes the folder and the configuration of a proxy.
func (r *run) newProxy(name, discovery string, o options) (*proxy, error) {
	p := &proxy{run: r, name: name, listen: freeAddress(), admin: freeAddress(), discovery: discovery,
		dir: filepath.Join(r.dir, name)}
	if err := os.MkdirAll(filepath.Join(p.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	return p, p.writeConfig(o)
}

// deployCommand returns a command of the deploy file.
func (r *run) deployCommand(key string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("no %s in deploy/balancer.toml", key)
}

// begin starts the proxy with the deploy file's command.
func (p *proxy) begin() error {
	command, err := p.run.deployCommand("run")
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.run.root, log, log
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+filepath.Join(p.dir, "config.json"), "NODE_NAME="+p.name,
		"NODE_LISTEN="+p.listen, "NODE_DISCOVERY="+p.discovery, "NODE_ADMIN="+p.admin,
		"TMPDIR="+filepath.Join(p.dir, "tmp"))
	if p.passed != nil { // as descriptor 5
		cmd.ExtraFiles = []*os.File{p.passed, p.passed, p.passed}
		cmd.Env = append(cmd.Env, "NODE_PASSED_SOCKET=5")
	}
	if p.peers != "" {
		cmd.Env = append(cmd.Env, "NODE_PEERS="+p.peers)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.exited, p.ended = cmd, make(chan struct{}), false
	exited := p.exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.run.note("proxy %s, process %d: ended (%v)", p.name, cmd.Process.Pid, err)
		close(exited)
	}()
	p.run.mu.Lock()
	p.run.procs = append(p.run.procs, p)
	p.run.mu.Unlock()
	p.run.note("proxy %s: started, process %d", p.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process, if it still runs.
func (p *proxy) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.run.note("proxy %s: %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

// alive reports whether the process runs.
func (p *proxy) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for that.
func (p *proxy) kill() {
	if p.cmd == nil || !p.alive() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// logTail copies the last lines of the proxy's log to the record.
func (p *proxy) logTail(lines int) {
	raw, _ := os.ReadFile(filepath.Join(p.dir, "log"))
	all := strings.Split(strings.TrimSpace(string(raw)), "\n")
	for _, line := range all[max(0, len(all)-lines):] {
		p.run.note("log of %s: %s", p.name, line)
	}
}

// awaitReady waits until a proxy answers /healthz with 200.
func (p *proxy) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _, err := exchange(p.listen, "GET /healthz HTTP/1.1\r\nHost: service.internal\r\n"+
			"Connection: close\r\n\r\n", time.Second); err == nil && status == 200 {
			p.run.note("proxy %s: ready", p.name)
			return true
		}
	}
	return false
}
