package transport

import (
	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// readHop looks for the answer on a hop leg. Whatever is not the one answer that is owed makes
// the leg unfit: the next request could take it for its own.
func (p *proxy) readHop(g *leg, cut bool) {
	if !g.busy {
		if g.parser.Partial() {
			p.step(reducer.HopStray{Leg: g.id})
		}
		return
	}
	m, err := g.parser.Next()
	for ; err == nil && m != nil && m.Status < 200; m, err = g.parser.Next() {
		if g.early++; g.early > mostEarly || m.Status == 101 {
			err = http1.ErrMalformed
			break
		}
	}
	switch {
	case err != nil, m == nil && cut:
		p.answered(g, reducer.HopAnswered{Leg: g.id, Result: lg.ServerError})
	case m != nil:
		p.answered(g, answered(&p.set, g.id, m, !g.parser.Partial() && !cut))
	case g.parser.Large() && !g.isRaw:
		g.pause(false)
	case g.parser.Large() && g.pulling: // whose bytes come first
		g.hush()
	case g.parser.Large():
		p.download(g)
	case g.parser.Open() && g.parser.Status() == 200 && !g.begun:
		g.begun = true
		p.step(reducer.HopBegins{Leg: g.id})
	}
}

// answered takes in that a hop leg owes nothing any more. What is still being passed on to it is stopped.
func (p *proxy) answered(g *leg, ev reducer.HopAnswered) {
	g.busy = false
	if g.flow != nil {
		ev.Gone = g.flow.stop(g)
	}
	p.step(ev)
}

// download begins to pass on an answer whose body is large.
func (p *proxy) download(g *leg) {
	m, body, rest := g.parser.Stream()
	ev := answered(&p.set, g.id, m, len(rest) == 0)
	early := g.flow != nil && !g.flow.ended
	if body.Done || ev.Result != lg.OK || early {
		if !body.Done || early { // one that comes before its request is whole is not passed on either
			ev = reducer.HopAnswered{Leg: g.id, Result: lg.ServerError, Load: ev.Load}
		}
		p.answered(g, ev)
		return
	}
	g.busy, g.streaming = false, true
	p.step(reducer.HopStreams{Leg: g.id, Load: ev.Load, Payload: &flow{m: m, from: g, length: body.Known(),
		windows: p.windows, body: body}})
}
