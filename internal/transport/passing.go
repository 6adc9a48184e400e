package transport

import (
	"errors"
	"os"
	"time"

	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// passedOn takes in that a flow has ended, at a leg that got it.
func (p *proxy) passedOn(w written) {
	to, f, ok, rest := w.leg, w.flow, w.err == nil, w.rest
	from := f.from
	if to.caller {
		to.busy, from.streaming = false, false
		to.asking.Store(false)
		p.observed.unanswered(to, w.err, p.now())
		keep := ok && len(rest) == 0 && !f.m.Close
		p.step(reducer.CallerWritten{Leg: to.id, OK: ok, Keep: keep})
		p.read(to, false)
		from.pull()
		return
	}
	to.flow = nil
	gone := f.stop(to)
	if ok {
		from.streaming = false
		if len(rest) > 0 {
			from.parser.Feed(rest)
		}
		p.read(from, false)
	}
	p.step(reducer.HopWritten{Leg: to.id, OK: ok, Gone: gone})
}

// pass passes a flow on to a leg, on the goroutine that writes on that leg.
func (p *proxy) pass(f *flow, to *leg, head [][]byte) job {
	f.aim(to)
	return job{pass: func() {
		rest, err := f.pass(to, head, func() {
			if f.upload {
				p.inbox.post(whole{f, time.Now()})
			}
		})
		if err != nil && to.caller && f.length < 0 && f.old {
			to.abort()
		}
		switch {
		case err == nil, errors.Is(err, errStopped), errors.Is(err, errTaker), !f.upload:
		case errors.Is(err, os.ErrDeadlineExceeded), err == http1.ErrMalformed, err == http1.ErrBodySize:
			p.inbox.post(spoilt{f.from, err})
		default:
			p.inbox.post(broken{f.from, true})
		}
		p.inbox.post(written{leg: to, err: err, flow: f, rest: rest})
	}}
}
