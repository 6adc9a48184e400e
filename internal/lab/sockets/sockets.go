// Package sockets plays a scenario in real time: the world behind real loopback HTTP/1.1 (stand-in
// album servers, discovery and clients) and real proxy programs under the scenario's limits. Every
// address is a loopback address; the load is the scenario's and ends with it.
package sockets

import (
	"encoding/json"

	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacglade/internal/emulator"
)

// Options are what a run has beyond its scenario.
type Options struct {
	Program  []string // starts a proxy whose configuration NODE_CONFIG names
	Dir      string   // for the proxies' configurations and logs
	Policy   string   // its name, for the result
	Progress func(at, of time.Duration)
}

// Sim is a run. One goroutine owns it and its world; sockets and processes post to it.
type Sim struct {
	sc      *emulator.Scenario
	opt     Options
	world   *emulator.World
	began   time.Time // when the world's clock read 0
	mu      sync.Mutex
	items   []item
	wake    chan struct{}
	nodes   []*node
	asks    map[string]*emulator.Ask
	old     []string // names of asks in the order made, to forget the oldest
	late    *hdrhistogram.Histogram
	failure error
	place   int            // among the runs of this program
	life    sync.WaitGroup // goroutines that wait for processes
}

type item struct {
	at time.Time
	do func()
}

// node is a proxy: its program, and the addresses that it alone is given, which tell who calls.
type node struct {
	sim       *Sim
	id        int
	listen    string
	cmd       *exec.Cmd
	log       *os.File
	stopping  bool
	discovery *door
	servers   []*door
	heard     time.Duration // when anything last came from it
	silent    int           // asks since then
	peak      int           // of its memory, in kB
	files     int           // the most descriptors seen
}

// Bounds of a sockets run: it is played on one machine, in real time.
const (
	mostProxies  = 16
	mostServers  = 64
	mostRate     = 20_000
	readyWithin  = 10 * time.Second
	silentFor    = 3 * time.Second // without a word, while
	silentAsks   = 30              // so many requests came in, a proxy has fallen silent
	rememberAsks = 200_000
)

// Run plays a scenario.
func Run(sc *emulator.Scenario, opt Options) (*emulator.Result, error) {
	if err := sc.Check(); err != nil {
		return nil, err
	}
	if sc.Proxies.Count > mostProxies || sc.Servers.Count > mostServers || sc.Clients.Rate > mostRate {
		return nil, fmt.Errorf("sockets mode plays at most %d proxies, %d servers and %d requests a second",
			mostProxies, mostServers, mostRate)
	}
	s := &Sim{sc: sc, opt: opt, place: <-places, wake: make(chan struct{}, 1), asks: map[string]*emulator.Ask{},
		late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
	defer func() { places <- s.place }()
	s.world = emulator.New(sc, s)
	s.world.RealTime()
	defer s.shut()
	if err := s.open(); err != nil {
		return nil, err
	}
	s.began = time.Now()
	for _, n := range s.nodes {
		s.world.ProxyReady(n.id)
	}
	s.world.Start()
	s.watch()
	s.loop()
	if s.failure != nil {
		return nil, s.failure
	}
	s.figures()
	r := s.world.Result()
	r.Policy, r.Mode = opt.Policy, "sockets"
	return r, nil
}

// post takes what happens on any goroutine to the one that owns the world.
func (s *Sim) post(do func()) {
	s.mu.Lock()
	s.items = append(s.items, item{time.Now(), do})
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// loop plays the world until the scenario has ended and nothing can be out any more.
func (s *Sim) loop() {
	end := s.world.End()
	timer := time.NewTimer(0)
	var items []item
	for s.failure == nil {
		s.mu.Lock()
		items, s.items = s.items, items[:0]
		s.mu.Unlock()
		for i, it := range items {
			s.world.Clock.Run(it.at.Sub(s.began))
			it.do()
			items[i].do = nil
		}
		now := time.Since(s.began)
		if next, ok := s.world.Clock.Next(); ok && next < now {
			_ = s.late.RecordValue(min((now-next).Microseconds()+1, s.late.HighestTrackableValue())) // in range
		}
		s.world.Clock.Run(now)
		if now >= end {
			return
		}
		wait := end - now
		if next, ok := s.world.Clock.Next(); ok {
			wait = min(wait, next-time.Since(s.began))
		}
		timer.Reset(max(0, wait))
		select {
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// watch looks once in a while after each proxy: its memory and descriptors, and whether it has
// fallen silent. One that has is told to print where its goroutines stand, before it is ended.
func (s *Sim) watch() {
	for _, n := range s.nodes {
		if n.cmd == nil || n.stopping {
			continue
		}
		n.measure()
		now := s.world.Clock.Now()
		if n.silent >= silentAsks && now-n.heard > silentFor {
			s.world.FellSilent(n.id,
				fmt.Sprintf("proxy %d fell silent %v ago; where its goroutines stand is in %s", n.id,
					now-n.heard, n.log.Name()))
			_ = n.cmd.Process.Signal(syscall.SIGQUIT) // it may have ended just now
			n.silent = 0
		}
	}
	if s.opt.Progress != nil {
		s.opt.Progress(s.world.Clock.Now(), s.world.End())
	}
	s.world.Clock.After(500*time.Millisecond, s.watch)
}

// heard notes that something came from a proxy.
func (n *node) heardOf() { n.heard, n.silent = n.sim.world.Clock.Now(), 0 }

// measure reads a proxy's peak memory and its descriptors, where the system tells.
func (n *node) measure() {
	proc := "/proc/" + strconv.Itoa(n.cmd.Process.Pid)
	if raw, err := os.ReadFile(proc + "/status"); err == nil {
		var kb int
		if i := indexAfter(string(raw), "VmHWM:"); i > 0 {
			if _, err := fmt.Sscanf(string(raw[i:]), "%d", &kb); err == nil {
				n.peak = max(n.peak, kb)
			}
		}
	}
	if files, err := os.ReadDir(proc + "/fd"); err == nil {
		n.files = max(n.files, len(files))
	}
}

func indexAfter(s, mark string) int {
	for i := 0; i+len(mark) <= len(s); i++ {
		if s[i:i+len(mark)] == mark {
			return i + len(mark)
		}
	}
	return -1
}

// figures notes what the machine says of the run.
func (s *Sim) figures() {
	memory, files := 0, 0
	for _, n := range s.nodes {
		memory, files = max(memory, n.peak), max(files, n.files)
	}
	s.world.Figure("most memory of a proxy", fmt.Sprintf("%.1f MB", float64(memory)/1024))
	s.world.Figure("most descriptors of a proxy", strconv.Itoa(files))
	s.world.Figure("lateness of the lab, ms", fmt.Sprintf("p50 %.2f  p99 %.2f  max %.2f",
		float64(s.late.ValueAtQuantile(50))/1000, float64(s.late.ValueAtQuantile(99))/1000,
		float64(s.late.Max())/1000))
}

// open gives every proxy its addresses and starts it.
func (s *Sim) open() error {
	for i := range s.sc.Proxies.Count {
		n := &node{sim: s, id: i}
		s.nodes = append(s.nodes, n)
		// The port is free again when the proxy listens on it; nobody else uses its host.
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: s.host(1 + i)})
		if err != nil {
			return err
		}
		n.listen = ln.Addr().String()
		if err := ln.Close(); err != nil {
			return err
		}
		if n.discovery, err = s.newDoor(n.lookups(s.world.DiscoveryAddress())); err != nil {
			return err
		}
		for j := range s.sc.Servers.Count {
			d, err := s.newDoor(n.hops(j))
			if err != nil {
				return err
			}
			n.servers = append(n.servers, d)
		}
	}
	ready := make(chan error, len(s.nodes))
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
		go func() { ready <- n.ready() }()
	}
	for range s.nodes {
		if err := <-ready; err != nil {
			return err
		}
	}
	return nil
}

// Each run has hosts of its own, so that runs side by side, in this program or in another, can't take
// each other's ports.
const (
	mostRuns    = 12 // at once in one program
	hostsOfARun = 20
)

var places = func() chan int {
	free := make(chan int, mostRuns)
	for i := range mostRuns {
		free <- i
	}
	return free
}()

// host is a loopback address of this run alone, by the program's process id and the run's place.
func (s *Sim) host(n int) net.IP {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>8%200), byte(pid), byte(1+s.place*hostsOfARun+n))
}

// shut ends the programs and closes every address.
func (s *Sim) shut() {
	for _, n := range s.nodes {
		n.stopping = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill() // one that has ended by itself is no matter
		}
	}
	s.life.Wait()
	for _, n := range s.nodes {
		if n.discovery != nil {
			n.discovery.shut()
		}
		for _, d := range n.servers {
			d.shut()
		}
		if n.log != nil {
			_ = n.log.Close() // only read from now on
		}
	}
}

// config writes the proxy's configuration, in the platform's form.
func (n *node) config() (string, error) {
	sc := n.sim.sc
	var classes, tenants []map[string]any
	milli := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	for _, c := range sc.Classes {
		group := c.Group
		if group == "" {
			group = "all"
		}
		classes = append(classes, map[string]any{"name": c.Name, "aim": milli(c.Aim), "deadline": milli(c.Deadline),
			"late-worth": c.LateWorth, "semantics": c.Effect, "worth": c.Worth, "group": group,
			"memory-span": milli(c.Memory)})
	}
	for i, t := range sc.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "allowance-per-s": sc.Allowance(i),
			"share": t.Share})
	}
	var models []string
	for _, m := range sc.Servers.Models {
		models = append(models, m.Name)
	}
	raw, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", n.id), "listen": n.listen, "discovery": n.discovery.address(),
		"seed": fmt.Sprintf("%016x", sc.Seed*1000+uint64(n.id)),
		"limits": map[string]any{"cores": sc.Proxies.Cores, "memory_mb": sc.Proxies.MemoryMB,
			"sockets": sc.Proxies.Sockets},
		"known": json.RawMessage(n.document(n.sim.world.Known(n.id))),
		"settings": map[string]any{"azs": sc.Zones, "models": models, "balancers": sc.Proxies.Count, "me": n.id,
			"zone": sc.ProxyZone(n.id), "stage": 0, "tiers": []string{"album-web"}, "counted-by": "request",
			"membership-mode": "on_request", "over-share-worth": sc.Prices.OverShare,
			"bounds": map[string]any{"cancel": true, "connect-timeout": milli(sc.Proxies.Connect),
				"keepalive": milli(sc.Servers.KeepAlive), "max-retry-after": milli(sc.Proxies.RetryAfter),
				"most-tries": sc.Proxies.MaxTries, "retry-after": sc.Proxies.RetryAfter > 0, "second-copies": false},
			"classes": classes, "tenants": tenants, "prices": map[string]any{"cross-zone": sc.Prices.CrossZone},
			"reporting": map[string]any{"how": "piggyback", "names": []string{"rif", "lat_ms"}},
			"rules": map[string]any{"answer-slack": milli(sc.Rules.Slack), "ask-every": milli(sc.Proxies.AskEvery),
				"cold-from": sc.Servers.Cold.From, "overload-for": milli(sc.Servers.Cold.Window),
				"stop-sending-within": milli(sc.Rules.DrainWithin), "tip-multiple": sc.Servers.Cold.Multiple,
				"warm-within": milli(sc.Servers.Cold.Within)}}}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(n.sim.opt.Dir, fmt.Sprintf("proxy-%d.json", n.id))
	return path, os.WriteFile(path, raw, 0o600)
}

// start starts the program.
func (n *node) start() error {
	path, err := n.config()
	if err != nil {
		return err
	}
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(n.sim.opt.Dir, fmt.Sprintf("proxy-%d.log", n.id))); err != nil {
			return err
		}
	}
	// The descriptors are limited as the scenario says; the program is told the same.
	args := append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(n.sim.sc.Proxies.Sockets)},
		n.sim.opt.Program...)
	cmd := exec.Command("/bin/sh", args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=")
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.stopping, n.silent = cmd, false, 0
	n.sim.life.Go(func() {
		_ = cmd.Wait() // how it ended is judged by whether it was asked to
		n.sim.post(func() {
			if n.cmd == cmd {
				n.cmd = nil
				n.sim.world.ProxyEnded(n.id, !n.stopping)
			}
		})
	})
	return nil
}

// ready waits until the program takes requests.
func (n *node) ready() error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); {
		if n.healthy() {
			return nil
		}
		time.Sleep(5 * time.Millisecond) // between two questions
	}
	return fmt.Errorf("proxy %d was not ready within %v; see %s", n.id, readyWithin, n.log.Name())
}

func (n *node) healthy() bool {
	conn, err := net.DialTimeout("tcp", n.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(time.Second)) != nil {
		return false
	}
	if _,
		err := conn.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := conn.Read(head); err != nil {
		return false
	}
	return string(head) == "HTTP/1.1 200"
}

// Stop ends a proxy: at once, or as planned.
func (s *Sim) Stop(proxy int, hard bool) {
	n := s.nodes[proxy]
	if n.cmd == nil {
		return
	}
	n.stopping = true
	if hard {
		_ = n.cmd.Process.Kill() // it may have ended just now
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGTERM) // it may have ended just now
	longest := 3 * time.Second
	for _, c := range s.sc.Classes {
		longest = max(longest, c.Deadline)
	}
	cmd := n.cmd
	s.world.Clock.After(longest+700*time.Millisecond, func() {
		if n.cmd == cmd {
			_ = cmd.Process.Kill() // it may have ended just now
		}
	})
}

// Start starts a proxy anew.
func (s *Sim) Start(proxy int) {
	n := s.nodes[proxy]
	if err := n.start(); err != nil {
		s.failure = err
		return
	}
	go func() {
		err := n.ready()
		s.post(func() {
			if err != nil {
				s.failure = err
				return
			}
			n.heardOf()
			s.world.ProxyReady(proxy)
		})
	}()
}

// Moved gives a proxy's discovery another address and has the proxy reload.
func (s *Sim) Moved(proxy int) {
	n := s.nodes[proxy]
	old := n.discovery
	door, err := s.newDoor(n.lookups(s.world.DiscoveryAddress()))
	if err != nil {
		s.failure = err
		return
	}
	n.discovery = door
	old.close()
	s.world.Clock.After(1500*time.Millisecond, old.shut)
	if _, err := n.config(); err != nil {
		s.failure = err
		return
	}
	if n.cmd != nil && !n.stopping {
		_ = n.cmd.Process.Signal(syscall.SIGHUP) // it may have ended just now
	}
}
