package transport

import (
	"errors"
	"log"
	"os"
	"time"

	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// take turns an item into the reducer's events.
func (p *proxy) take(item any) {
	switch item := item.(type) {
	case accepted:
		p.callers[item.leg.id] = item.leg
		p.step(reducer.CallerOpened{Leg: item.leg.id})
	case bytesIn:
		g := item.leg
		g.unread.Add(-int64(len(item.data)))
		if item.pulled {
			g.pulling = false
		}
		if g.parted {
			return
		}
		g.parser.Feed(item.data)
		g.read, g.late = item.read, max(g.late, item.late)
		p.read(g, item.cut)
	case detached:
		g := item.leg
		g.isRaw = true
		switch {
		case g.shut:
			g.close()
		case g.parted:
			go g.drain()
		default:
			p.read(g, false)
		}
	case whole:
		item.flow.ended = true
		p.step(reducer.CallerWhole{Leg: item.flow.from.id, Read: p.at(item.read)})
	case spoilt:
		answer := unreadable(item.leg.id, item.err)
		p.step(reducer.CallerSpoilt{Leg: item.leg.id, Payload: answer.Payload, Slow: errors.Is(item.err,
			os.ErrDeadlineExceeded)})
	case unfit:
		p.step(reducer.HopUnfit{Leg: item.leg.id})
	case unsent:
		item.leg.busy, item.leg.flow = false, nil
		p.step(reducer.HopUnsent{Leg: item.leg.id})
	case left:
		p.step(reducer.CallerClosed{Leg: item.leg.id})
	case broken:
		p.broke(item.leg, item.reset)
	case written:
		g := item.leg
		if item.flow != nil {
			p.passedOn(item)
			return
		}
		if !g.caller {
			p.step(reducer.HopWritten{Leg: g.id, OK: item.err == nil})
			return
		}
		g.busy = false
		g.asking.Store(false)
		p.observed.unanswered(g, item.err, p.now())
		p.step(reducer.CallerWritten{Leg: g.id, OK: item.err == nil})
		p.read(g, false)
	case dialed:
		g := item.leg
		if g.parted { // closed while it was being opened
			if item.conn != nil {
				_ = item.conn.Close()
			}
			return
		}
		ok := item.conn != nil && g.open(item.conn)
		if !ok {
			delete(p.hops, g.id)
		}
		p.step(reducer.HopDialed{Leg: g.id, OK: ok, Local: item.local})
	case reached:
		if item.by == p.watcher {
			p.step(reducer.ListReached{})
		}
	case document:
		if item.from == p.watcher {
			p.told(item)
		} else if p.watcher != nil && item.from.address == p.watcher.address {
			p.toldLate(item)
		}
	case reloaded:
		n := item.load.Node
		if item.load.Err != nil {
			log.Printf("reload: %v; the configuration stays as it was", item.load.Err)
			p.step(reducer.ReloadFailed{})
			return
		}
		log.Printf("a new configuration: discovery at %s", n.Discovery)
		known := p.retune(n.Settings)
		p.limits = n.Limits
		p.confined()
		callers, hops := budget(n.Limits)
		p.listener.most.Store(int64(callers))
		p.step(reducer.Reloaded{Settings: &p.set.Settings, Discovery: n.Discovery,
			MaxCallers: calm(callers), MaxHops: hops})
		if known != nil {
			p.know(known)
		}
	case settled:
		p.step(reducer.Settled{Facts: item.facts, Own: item.own})
	case easing:
		if !item.leg.parted && !item.leg.busy && item.leg.quiet() {
			p.step(reducer.CallerQuiet{Leg: item.leg.id})
		}
	case allTold:
		p.step(reducer.CallersTold{})
	case alone:
		p.confined()
	case stopping:
		p.listener.closed.Store(p.passed) // where nobody else takes them, callers still come for a while
		p.confined()
		p.step(reducer.Stopping{})
	}
}

// read looks at what has come on a leg, and goes on reading where that has to be asked for.
func (p *proxy) read(g *leg, cut bool) {
	if g.caller {
		p.readCaller(g, cut)
	} else {
		p.readHop(g, cut)
	}
	if !g.deaf.Load() {
		g.pull()
	}
}

func (p *proxy) broke(g *leg, reset bool) {
	owes := g.busy && !g.parted
	if g.isRaw {
		g.close()
	}
	if g.flow != nil {
		g.flow.stop(g)
	}
	if g.caller {
		delete(p.callers, g.id)
		p.step(reducer.CallerClosed{Leg: g.id})
		return
	}
	// Guards against losing a large answer that had come whole with its connection's end, before the leg could
	// be paused.
	var m *http1.Message
	if !reset {
		m = g.parser.End()
	}
	if m == nil && g.parser.Large() {
		if large, body, _ := g.parser.Stream(); body.Done || body.TillClose() && !reset {
			m = large
		}
	}
	if m != nil && owes {
		p.answered(g, answered(&p.set, g.id, m, false))
	}
	delete(p.hops, g.id)
	p.step(reducer.HopClosed{Leg: g.id})
}

// toldLate takes in what came on a watch in the moment in which it was given up: it counts as told.
func (p *proxy) toldLate(d document) {
	if d.err != nil {
		return
	}
	if list, ok := p.servers.ApplyLate(d.list, p.now()); ok {
		p.logChanges()
		p.step(reducer.ListTold{List: list, Late: true})
		p.inventory()
	}
}

func (p *proxy) told(d document) {
	began := time.Now()
	list, err := lg.List{Kind: lg.ListFailed}, d.err
	if d.unusable {
		p.servers.Forget()
	}
	if err == nil {
		var told lg.List
		if told, err = p.servers.Apply(d.list, p.now()); err == nil {
			list = told
		}
	}
	p.observed.called(d, err, p.now())
	if err == nil {
		p.logChanges()
	}
	p.step(reducer.ListTold{List: list, Whole: !p.servers.Watches(), Complete: d.list.Whole(),
		Work: d.decoding + time.Since(began)})
	if err == nil {
		p.inventory()
	}
}
