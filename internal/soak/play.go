package soak

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// stopWithin is the longest deadline and what the protocol gives a process beyond it to end after SIGTERM.
const stopWithin = 1500*time.Millisecond + 700*time.Millisecond

// Play runs a fleet under a schedule, and judges it.
func Play(ctx context.Context, o Options, faults time.Duration, schedule Schedule) (Report, error) {
	f, err := New(ctx, o)
	if err != nil {
		return Report{}, err
	}
	began := time.Now()
	for _, e := range schedule {
		time.Sleep(time.Until(began.Add(e.At)))
		f.say("%s (at %s)", e, f.processes[e.Process].Name)
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			f.apply(ctx, e)
		}()
	}
	time.Sleep(time.Until(began.Add(faults)))
	f.settle(ctx)
	time.Sleep(quietFor)
	return f.Finish()
}

// settle ends all faults: from here on everything must become well by itself.
func (f *Fleet) settle(ctx context.Context) {
	for _, c := range f.clients {
		c.habits(0, 0)
	}
	for _, s := range f.servers {
		s.behave(Works)
		if err := s.Start(); err != nil {
			f.judge.violation("harness", "%s can't start: %v", s.ID, err)
		}
		s.mu.Lock()
		s.idle = 0
		s.mu.Unlock()
	}
	for _, p := range f.processes {
		f.discovery.shut(p.Name, false)
	}
	f.discovery.set(func() {
		f.discovery.down, f.discovery.cut, f.discovery.silent, f.discovery.late = false, false, false, 0
	})
	f.discovery.change(func() {
		for _, s := range f.servers {
			s.mu.Lock()
			s.draining, s.listed = false, true
			s.mu.Unlock()
		}
	})
	f.judge.settled(time.Now().Add(quietFor / 2))
}

// apply has an event happen, and waits until it is over.
func (f *Fleet) apply(ctx context.Context, e Event) {
	p, s := f.processes[e.Process], f.servers[e.Server]
	switch e.Kind {
	case StepClock:
		p.layer.SetClock(p.layer.Clock() + e.Amount)
	case FailCalls:
		if e.Rule.Port == serverPort {
			e.Rule.Port = s.Port()
		}
		f.failCalls(p, e)
	case Reload, SpoilConfig:
		f.reload(p, e)
	case Restart, Kill:
		f.restart(ctx, p, e.Kind == Kill)
	case Pause:
		p.Signal(syscall.SIGSTOP)
		time.Sleep(e.Lasts)
		p.Signal(syscall.SIGCONT)
	case DiscoveryDown, DiscoveryLate, DiscoveryCut, WatchSilence, WatchReset:
		f.troubleDiscovery(e)
	case WatchMute:
		f.mute(p, e)
	case DoorDown:
		f.discovery.shut(p.Name, true)
		f.discovery.breakWatch(p.Name)
		time.Sleep(e.Lasts)
		f.discovery.shut(p.Name, false)
	case Signals:
		f.signals(ctx, p)
	case Crowd:
		f.crowd(p, e.Lasts)
	case Habits:
		f.clients[e.Process].habits(0.3, 0.5)
		time.Sleep(e.Lasts)
		f.clients[e.Process].habits(0, 0)
	case HalfRequests:
		for range e.Count {
			f.halfRequest(p)
		}
	default:
		f.troubleServer(s, e)
	}
}

func (f *Fleet) failCalls(p *Process, e Event) {
	slot, err := p.layer.Add(e.Rule)
	if err != nil {
		f.judge.violation("harness", "%v", err)
		return
	}
	time.Sleep(e.Lasts)
	hits := p.layer.Remove(slot)
	p.faulted.Add(hits)
	f.say("%s: %d calls went wrong by %+v", p.Name, hits, e.Rule)
}

// reload has a process read its configuration anew, with discovery at another address.
func (f *Fleet) reload(p *Process, e Event) {
	p.steer.Lock()
	defer p.steer.Unlock()
	if e.Kind == SpoilConfig {
		raw, err := os.ReadFile(p.configFile())
		if err == nil {
			err = os.WriteFile(p.configFile(), raw[:len(raw)/2], 0o600)
		}
		if err != nil {
			f.judge.violation("harness", "%v", err)
		}
		p.Signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	for range e.Count {
		address, err := f.discovery.open(p.Name)
		if err != nil {
			f.judge.violation("harness", "%v", err)
			return
		}
		p.config["discovery"] = address
		if err := p.writeConfig(); err != nil {
			f.judge.violation("harness", "%v", err)
			return
		}
		p.Signal(syscall.SIGHUP)
		time.Sleep(e.Lasts / time.Duration(4*e.Count))
	}
}

// restart ends a process and starts it again.
func (f *Fleet) restart(ctx context.Context, p *Process, kill bool) {
	p.steer.Lock()
	defer p.steer.Unlock()
	if kill {
		p.Signal(syscall.SIGKILL)
	} else {
		p.Signal(syscall.SIGTERM)
		if !p.AwaitEnd(stopWithin + measureSlack) {
			p.Signal(syscall.SIGKILL)
		}
	}
	f.begin(ctx, p)
}

// begin starts a process that has ended.
func (f *Fleet) begin(ctx context.Context, p *Process) {
	if err := p.Start(); err != nil {
		f.judge.violation("harness", "%v", err)
		return
	}
	if err := p.AwaitReady(ctx); err != nil {
		f.judge.violation("ready", "%v", err)
	}
}

// muteAll: one mute of so many meets all processes.
const muteAll = 3

// mute has calls for the list fall silent.
func (f *Fleet) mute(p *Process, e Event) {
	if e.Server%muteAll > 0 {
		f.discovery.silence(p.Name, e.Count-1)
		return
	}
	f.silenceAll(e.Count - 1)
}

// silenceAll has the calls that are out never be answered, nor so many of those that follow, at each process.
func (f *Fleet) silenceAll(following int) {
	for _, p := range f.processes {
		f.discovery.silence(p.Name, following)
	}
}

// signals tells a process to end, to reload while it ends, and to end again; kills it when that may come at
// the earliest, and starts it anew. Its clients go on sending on their open connections meanwhile.
func (f *Fleet) signals(ctx context.Context, p *Process) {
	p.steer.Lock()
	defer p.steer.Unlock()
	told := time.Now()
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		p.Signal(sig)
		time.Sleep(100 * time.Millisecond)
	}
	if !p.AwaitEnd(time.Until(told.Add(stopWithin + measureSlack))) {
		p.Signal(syscall.SIGKILL)
	}
	f.begin(ctx, p)
}

// crowd has idle clients take all descriptors that a process has for clients.
func (f *Fleet) crowd(p *Process, lasts time.Duration) {
	if !p.takesNew() {
		return
	}
	from := time.Now()
	var all []net.Conn
	for range processSockets {
		conn, err := net.DialTimeout("tcp", p.Listen, time.Second)
		if err != nil {
			break
		}
		all = append(all, conn)
	}
	time.Sleep(lasts)
	for _, conn := range all {
		conn.Close()
	}
	f.judge.crowded(p.Name, from, time.Now())
}

func (f *Fleet) troubleDiscovery(e Event) {
	d := f.discovery
	change := func(on bool) {
		switch e.Kind {
		case DiscoveryDown:
			d.down = on
		case DiscoveryCut:
			d.cut = on
		case WatchSilence:
			d.silent = on
		case DiscoveryLate:
			if d.late = 0; on {
				d.late = e.Amount
			}
		}
	}
	if e.Kind == WatchReset {
		d.breakWatches()
		return
	}
	d.set(func() { change(true) })
	if e.Kind == DiscoveryDown { // watches end when discovery goes down
		d.breakWatches()
	}
	time.Sleep(e.Lasts)
	d.set(func() { change(false) })
}

func (f *Fleet) troubleServer(s *Server, e Event) {
	d := f.discovery
	set := func(on bool) func() {
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if e.Kind == Drain {
				s.draining = on
			} else {
				s.listed = !on
			}
		}
	}
	switch e.Kind {
	case Drain, Unlist:
		d.change(set(true))
		time.Sleep(e.Lasts + time.Second)
		d.change(set(false))
	case Crash:
		s.Kill()
		time.Sleep(e.Lasts)
		if err := s.Start(); err != nil {
			f.judge.violation("harness", "%s can't start: %v", s.ID, err)
		}
		d.change(func() {})
	case Misbehave:
		s.behave(e.Behaviour)
		time.Sleep(e.Lasts)
		s.behave(Works)
	case CloseIdle:
		s.mu.Lock()
		s.idle = e.Amount
		s.mu.Unlock()
		time.Sleep(e.Lasts)
		s.mu.Lock()
		s.idle = 0
		s.mu.Unlock()
	}
}

// badWithin is how long a client may have to wait for its error that stops in the middle of a request.
const badWithin = 3 * time.Second

// halfRequest sends part of a request and waits for what it gets.
func (f *Fleet) halfRequest(p *Process) {
	if !p.takesNew() {
		return
	}
	conn, err := net.DialTimeout("tcp", p.Listen, 2*time.Second)
	if err != nil {
		return
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		defer conn.Close()
		began := time.Now()
		_, _ = io.WriteString(conn, "POST /api HTTP/1.1\r\nRequest-Id: half\r\nContent-Le")
		_ = conn.SetReadDeadline(began.Add(2 * badWithin))
		_, _ = conn.Read(make([]byte, 1)) // its error, or the end
		if took := time.Since(began); took > badWithin+f.judge.slack(began, time.Now())+stallMost {
			f.judge.violation("bad-client", "%s left half a request without an error for %v", p.Name, took)
		}
	}()
}

// stallMost is what a schedule may have held up a process by meanwhile.
const stallMost = 300 * time.Millisecond
