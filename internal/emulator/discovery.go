package emulator

import (
	"fmt"
	"slices"
	"time"
)

// ListState is what the list says of a server.
type ListState uint8

// The states of a server in the list.
const (
	Ready ListState = iota
	Draining
	Gone
)

// Entry is one line of the list.
type Entry struct {
	Name    string
	Address int // the machine's Index
	Zone    int
	Kind    int
	Cell    int
	State   ListState
	Weight  float64
	Started time.Duration // 0: long ago
}

// Doc is an answer of discovery: the whole list, or what changed since the version asked for.
type Doc struct {
	Version uint64
	Full    bool
	Entries []Entry
}

// Lookup is a call to discovery: the whole list at once (Since 0), or a watch.
type Lookup struct {
	Proxy int
	Since uint64
	Until time.Duration // a watch ends then
	Data  any           // the driver's

	address int
	parked  bool
	over    bool
}

// change is a line of the list as it came to be.
type change struct {
	version uint64
	entry   Entry
	at      time.Duration
}

// discovery is one service for all proxies. It works through calls in turn.
type discovery struct {
	w       *World
	version uint64
	list    []Entry
	changes []change
	listed  map[int]time.Duration // when the last change of a machine is listed
	parked  []*Lookup
	busy    time.Duration // until then
	down    int
	address int
	draws   uint64
}

// callDelay is the way of a call to discovery, one way.
const callDelay = 500 * time.Microsecond

func newDiscovery(w *World) *discovery {
	d := &discovery{w: w, version: 1, listed: map[int]time.Duration{}}
	for _, s := range w.servers {
		d.list = append(d.list, d.entry(s, Ready))
	}
	return d
}

func (d *discovery) entry(s *Server, state ListState) Entry {
	e := Entry{Name: s.Name, Address: s.Index, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: state, Weight: 1}
	if s.fresh {
		e.Started = s.started
	}
	size := s.Cores * s.Speed
	switch d.w.sc.Servers.Weights {
	case "exact":
		e.Weight = size
	case "rough":
		e.Weight = size * (0.85 + 0.3*d.w.chance(uint64(s.Index), 0, 21))
	}
	return e
}

// change has a server's state listed after discovery's delay, and then called a while later.
func (d *discovery) change(s *Server, state ListState, then func()) {
	e := d.entry(s, state)
	d.draws++
	late := d.w.sc.Discovery.Late.at(d.w.chance(uint64(s.Index), d.draws, 22))
	at := max(d.w.Clock.Now()+late, d.listed[s.Index]+time.Millisecond)
	d.listed[s.Index] = at
	d.w.Clock.At(at, func() { d.put(e) })
	if then != nil {
		d.w.Clock.At(at+drainGrace, then)
	}
}

// drainGrace is how long a server that drains goes on taking requests once it is listed so.
const drainGrace = time.Second

// put changes the list and ends the watches.
func (d *discovery) put(e Entry) {
	d.version++
	i := slices.IndexFunc(d.list, func(o Entry) bool { return o.Name == e.Name })
	switch {
	case e.State == Gone && i < 0:
		return
	case e.State == Gone:
		d.list = slices.Delete(d.list, i, i+1)
	case i < 0:
		d.list = append(d.list, e)
	default:
		d.list[i] = e
	}
	d.changes = append(d.changes, change{d.version, e, d.w.Clock.Now()})
	if over := len(d.changes) - max(1, d.w.sc.Discovery.Changes); over > 0 {
		d.changes = slices.Delete(d.changes, 0, over)
	}
	d.w.note("listed: %s is %s", e.Name, [...]string{"ready", "draining", "gone"}[e.State])
	parked := d.parked
	d.parked = nil
	for _, c := range parked {
		if !c.over {
			c.parked = false
			d.work(c)
		}
	}
}

// noticeAfter lists a server that died as gone once that is noticed, unless it is back by then.
func (d *discovery) noticeAfter(s *Server) {
	epoch := s.epoch
	d.draws++
	wait := d.w.sc.Discovery.Detect.at(d.w.chance(uint64(s.Index), d.draws, 23))
	d.w.Clock.After(wait, func() {
		if s.epoch == epoch && !s.up {
			d.change(s, Gone, nil)
		}
	})
}

// started lists a server that has begun anew.
func (d *discovery) started(s *Server) { d.change(s, Ready, nil) }

// fall takes discovery down: watches end.
func (d *discovery) fall() {
	d.down++
	parked := d.parked
	d.parked = nil
	for _, c := range parked {
		d.finish(c, nil)
	}
}

// move gives discovery another address. What is out at the old one ends after a while.
func (d *discovery) move() {
	d.address++
	old := slices.Clone(d.parked)
	d.w.Clock.After(1500*time.Millisecond, func() {
		for _, c := range old {
			if c.parked {
				d.finish(c, nil)
			}
		}
	})
	for i, p := range d.w.proxies {
		if p.up {
			d.w.driver.Moved(i)
		}
	}
}

// DiscoveryAddress is where discovery is now, as a proxy's configuration names it.
func (w *World) DiscoveryAddress() string { return fmt.Sprintf("discovery-%d", w.discovery.address) }

// Lookup takes a call to discovery; the driver's Tell follows unless the proxy gives it up. A call
// that is out is given up by the next.
func (w *World) Lookup(proxy int, address string, since uint64, until time.Duration, data any) *Lookup {
	p := w.proxies[proxy]
	if p.call != nil {
		p.call.over = true
	}
	c := &Lookup{Proxy: proxy, Since: since, Until: until, Data: data, address: w.discovery.address}
	p.call = c
	right := address == w.DiscoveryAddress()
	w.Clock.After(callDelay, func() {
		w.result.listAsked(w.Clock.Now())
		if !right || w.discovery.down > 0 {
			w.discovery.finish(c, nil)
			return
		}
		w.discovery.take(c)
	})
	return c
}

// GiveUp ends a call that the proxy no longer waits for.
func (w *World) GiveUp(c *Lookup) {
	if c.over {
		return
	}
	c.over = true
	w.result.Lists.Failed++
	if p := w.proxies[c.Proxy]; p.call == c {
		p.call, p.lastCall, p.failed = nil, w.Clock.Now(), true
	}
}

// take parks a watch that has nothing to tell, and works at any other call.
func (d *discovery) take(c *Lookup) {
	if c.over {
		return
	}
	if c.Since < d.version || c.Since == 0 {
		d.work(c)
		return
	}
	c.parked = true
	d.parked = append(d.parked, c)
	d.w.Clock.At(c.Until, func() {
		if c.parked && !c.over {
			c.parked = false
			d.parked = slices.DeleteFunc(d.parked, func(o *Lookup) bool { return o == c })
			d.work(c)
		}
	})
}

// work answers a call when its turn has come, or fails it when that is too far off.
func (d *discovery) work(c *Lookup) {
	now := d.w.Clock.Now()
	if wait := d.busy - now; wait > d.w.sc.Discovery.Patience {
		d.w.Clock.After(d.w.sc.Discovery.Patience, func() { d.finish(c, nil) })
		return
	}
	lines := 0
	if c.Since == 0 || len(d.changes) > 0 && d.changes[0].version > c.Since+1 {
		lines = len(d.list)
	}
	d.busy = max(d.busy, now) + d.w.sc.Discovery.Work + time.Duration(lines)*d.w.sc.Discovery.PerEntry
	d.w.Clock.At(d.busy, func() {
		if d.down > 0 {
			d.finish(c, nil)
			return
		}
		doc := &Doc{Version: d.version}
		missed := c.Since < d.version && (len(d.changes) == 0 || d.changes[0].version > c.Since+1)
		if c.Since == 0 || c.Since > d.version || missed {
			doc.Full, doc.Entries = true, slices.Clone(d.list)
		} else {
			last := map[string]int{}
			for _, ch := range d.changes {
				if ch.version <= c.Since {
					continue
				}
				if i, ok := last[ch.entry.Name]; ok { // only the last of a server counts
					doc.Entries[i] = ch.entry
					continue
				}
				last[ch.entry.Name] = len(doc.Entries)
				doc.Entries = append(doc.Entries, ch.entry)
			}
		}
		d.finish(c, doc)
	})
}

// finish has an answer, or a failure, cross the network.
func (d *discovery) finish(c *Lookup, doc *Doc) {
	c.parked = false
	d.w.Clock.After(callDelay, func() {
		if c.over {
			return
		}
		c.over = true
		p := d.w.proxies[c.Proxy]
		p.call, p.lastCall, p.failed = nil, d.w.Clock.Now(), doc == nil
		if doc != nil {
			d.w.result.Lists.Answered++
			d.w.judge.tell(c.Proxy, doc)
		} else {
			d.w.result.Lists.Failed++
		}
		d.w.driver.Tell(c, doc)
	})
}

// Known is the whole list as a proxy that starts now has it from before.
func (w *World) Known(proxy int) *Doc {
	w.proxies[proxy].holds = w.discovery.version
	return &Doc{Version: w.discovery.version, Full: true, Entries: slices.Clone(w.discovery.list)}
}
