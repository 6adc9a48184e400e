package transport

import (
	"bytes"
	"time"

	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// readCaller looks for the next request on a caller leg. Requests are taken one at a time. Cut
// says that the caller had sent more than is read ahead.
func (p *proxy) readCaller(g *leg, cut bool) {
	if g.parted {
		return
	}
	if g.busy {
		// Guards against a caller that sends on and on without waiting for answers. What it asked
		// first is still answered.
		if cut || g.parser.Held() > heldWhileBusy {
			g.deaf.Store(true)
			p.step(reducer.CallerFlooding{Leg: g.id})
		}
		return
	}
	m, err := g.parser.Next()
	if err != nil || m != nil || cut {
		g.busy = true
		g.asking.Store(true)
	}
	switch {
	case err != nil:
		p.step(unreadable(g.id, err))
	case m != nil:
		p.ask(g, m)
		p.readCaller(g, cut)
	case cut:
		p.step(unreadable(g.id, http1.ErrBodySize))
	case g.parser.Partial():
		if g.parser.WantsContinue() {
			g.write(job{bufs: http1.Continue(), by: p.now() + continueWithin})
		}
		if g.parser.Large() && g.isRaw {
			p.upload(g)
			return
		}
		if g.parser.Head() && g.headAt.IsZero() {
			g.headAt = g.read
		}
		ev := reducer.CallerReading{Leg: g.id}
		if !g.headAt.IsZero() {
			ev.Took = time.Duration(g.parser.Came()) * time.Second / uploadRate
			ev.By = p.at(g.headAt) + uploadGrace + ev.Took
		}
		p.step(ev)
		if g.parser.Large() {
			g.pause(false)
		}
	}
}

// ask brings a whole request.
func (p *proxy) ask(g *leg, m *http1.Message) {
	g.old, g.headAt = m.Old, time.Time{}
	m.Close = m.Close || m.Old
	p.step(p.asked(g, m))
}

// asked words a request's event. Guards against refusing what was on its way when its class was dropped.
func (p *proxy) asked(g *leg, m *http1.Message) reducer.Event {
	read := p.at(g.read)
	ev := asked(&p.set, read < p.stale, g.id, m, read-g.late)
	g.late = 0
	if ask, ok := ev.(reducer.CallerAsked); ok {
		g.asked = ask.Name
	}
	return ev
}

// upload begins to pass on a request whose body is large.
func (p *proxy) upload(g *leg) {
	g.busy = true
	g.asking.Store(true)
	m, body, rest := g.parser.Stream()
	if body.Done { // all of it had been read before reading could be paused
		g.parser.Feed(bytes.Clone(rest))
		p.ask(g, m)
		return
	}
	closes := m.Close || m.Old
	m.Close = true // nothing that is answered before its end can be followed by another request
	g.old, g.headAt = m.Old, time.Time{}
	ev := p.asked(g, m)
	if ask, ok := ev.(reducer.CallerAsked); ok {
		f := &flow{m: m, from: g, length: body.Known(), windows: p.windows, upload: true, body: body}
		g.streaming = true
		left := f.length - body.Came()
		if f.length < 0 {
			left = http1.MaxLarge
		}
		ask.Stream, ask.May, ask.Last, ask.Payload = true, ask.Deadline-p.at(g.read), closes, f
		ask.Deadline += uploadGrace + time.Duration(left)*time.Second/uploadRate
		ev = ask
	}
	p.step(ev)
}
