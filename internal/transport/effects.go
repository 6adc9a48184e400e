package transport

import (
	"fmt"
	"time"

	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// step hands the reducer an event and carries out what it asks for.
func (p *proxy) step(ev reducer.Event) {
	t := time.Now()
	now := p.at(t)
	p.observed.lookAtClock(t, now)
	for _, e := range p.state.Step(now, ev) {
		p.carryOut(e)
	}
}

func (p *proxy) carryOut(e reducer.Effect) {
	switch e.Do {
	case reducer.AnswerCaller:
		if g := p.callers[e.Leg]; g != nil {
			g.busy = true
			g.asking.Store(true)
			if f, ok := e.Payload.(*flow); ok && e.Verdict == reducer.Served {
				f.old = g.old
				g.write(p.pass(f, g, f.m.BackHead(fieldLoad, f.length, f.old, e.Last)))
				return
			}
			p.observed.unserved(g, e, p.now())
			g.write(job{bufs: answer(e), by: e.At, report: true})
		}
	case reducer.EaseCaller:
		if g := p.callers[e.Leg]; g != nil {
			p.inbox.post(easing{g})
		}
	case reducer.PartCaller:
		if g := p.callers[e.Leg]; g != nil {
			g.part()
		}
	case reducer.CloseCaller:
		if g := p.callers[e.Leg]; g != nil {
			g.close()
		}
	case reducer.Dial:
		g := &leg{id: e.Leg, inbox: p.inbox, clock: p.clock, parser: http1.Parser{Responses: true}}
		p.hops[e.Leg] = g
		go g.dial(p.servers.Address(e.Server), e.At)
	case reducer.Forward:
		if g := p.hops[e.Leg]; g != nil {
			p.forward(g, e)
		}
	case reducer.CloseHop:
		if g := p.hops[e.Leg]; g != nil {
			delete(p.hops, e.Leg)
			if g.flow != nil {
				g.flow.stop(g)
			}
			g.close()
		}
	case reducer.StreamHop:
		if g := p.hops[e.Leg]; g != nil && g.busy {
			g.parser.Enlarge()
			if g.pulling {
				g.hush()
			} else {
				p.inbox.post(bytesIn{leg: g, read: time.Now()}) // looked at once this effect is done
			}
		}
	case reducer.Arm:
		p.timer.Reset(p.until(e.At))
	case reducer.Watch:
		p.watch(e)
	case reducer.Publish:
		figures := e.Payload.(*reducer.Figures)
		figures.Sockets = p.observed.figures
		p.published(figures)
	case reducer.Stop:
		stopped := e.Payload.(reducer.Stopped)
		p.peers.Stopped(stopped.Index, stopped.Clear, stopped.Own)
	case reducer.Log:
		p.logServer(e)
	case reducer.TellCallers:
		go p.listener.settle(func() { p.inbox.post(allTold{}) })
	case reducer.Finish:
		p.done = true
	}
}

// forward has a request written to a server, unless that can't be done well any more: then the reducer hears
// of it, in the order of events.
func (p *proxy) forward(g *leg, e reducer.Effect) {
	if !g.fit() {
		p.inbox.post(unfit{g})
		return
	}
	if client := p.callers[e.Client]; client != nil && client.left() {
		p.inbox.post(left{client})
		p.inbox.post(unsent{g})
		return
	}
	g.busy, g.begun, g.early = true, false, 0
	ms := fmt.Sprint(max(1, (e.At - p.now()).Milliseconds()))
	if f, ok := e.Payload.(*flow); ok {
		g.flow = f
		j := p.pass(f, g, f.m.ForwardHead(fieldTimeout, ms, f.length))
		j.late = p.late(e, written{leg: g, flow: f})
		g.write(j)
		return
	}
	bufs := e.Payload.(*http1.Message).Forward(fieldTimeout, ms)
	g.write(job{bufs: bufs, by: e.At, report: true, late: p.late(e, written{leg: g})})
}

// watch has discovery asked.
func (p *proxy) watch(e reducer.Effect) {
	if p.watcher == nil || p.watcher.address != e.Text || e.Anew {
		if p.watcher != nil {
			p.watcher.stop()
		}
		if p.watcher != nil && p.watcher.address != e.Text {
			p.servers.Forget()
		}
		p.watcher = newWatcher(e.Text, p.inbox, p.clock, p.decoder)
		go p.watcher.run()
	}
	p.watcher.ask(call{p.servers.Query(p.now(), e.At), e.GiveUp + giveUpSlack})
}
