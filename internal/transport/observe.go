package transport

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/logburst"
	"lilacglade/internal/reducer"
	"lilacglade/internal/wallclock"
)

// Times of what is observed for operators.
const (
	clockEvery  = 100 * time.Millisecond // the clocks are compared at most so often
	faultsEvery = time.Second            // faults of one kind are logged at most so often
	slowEvent   = 50 * time.Millisecond  // an event that takes so long holds up every request of the process
)

// observer is what the sockets tell operators about: the log's lines and the figures that the reducer can't
// count. The reducer's goroutine owns it.
type observer struct {
	figures   reducer.SocketFigures
	clock     wallclock.Monitor
	clockDue  time.Duration
	unwritten logburst.Limiter
	refused   logburst.Limiter
	calls     logburst.Limiter
	slow      logburst.Limiter
	wrong     time.Duration // what was logged last of the wall clock at the start
	lastFault string        // of the last call to discovery; empty: it was answered
}

func newObserver() observer {
	every := logburst.Limiter{Every: faultsEvery}
	return observer{unwritten: every, refused: every, calls: every, slow: every}
}

// lookAtClock logs a step of the wall clock. Nothing depends on it.
func (o *observer) lookAtClock(t time.Time, now time.Duration) {
	if now < o.clockDue {
		return
	}
	o.clockDue = now + clockEvery
	if step := o.clock.Observe(time.Duration(t.UnixNano()), now); step != 0 {
		o.figures.ClockSteps = o.clock.Steps()
		log.Printf("the wall clock was stepped by %v", step.Round(time.Millisecond))
	}
}

// handled takes in how long the reducer's goroutine took for an item, and how long the item had waited. A
// slow one holds up every request of the process, so it is logged with what it was.
func (o *observer) handled(item any, began time.Time, took, now time.Duration) {
	f := &o.figures
	f.LongestEvent = max(f.LongestEvent, took)
	switch item := item.(type) {
	case bytesIn:
		f.LongestQueued = max(f.LongestQueued, began.Sub(item.read))
	case document:
		f.LongestList = max(f.LongestList, took)
	}
	if took < slowEvent {
		return
	}
	f.SlowEvents++
	if more, ok := o.slow.Allow(now); ok {
		log.Printf("the reducer took %v for %s (%d more since the last line)", rounded(took), itemName(item), more)
	}
}

// handled tells the observer how long an item took that was begun at a moment.
func (p *proxy) handled(item any, began time.Time) {
	end := time.Now()
	p.observed.handled(item, began, end.Sub(began), p.at(end))
}

// itemName is what the log calls an item.
func itemName(item any) string {
	if d, ok := item.(document); ok {
		return fmt.Sprintf("a document of the server list, %d bytes", d.bytes)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", item), "transport.")
}

// called takes in the end of a call to discovery. A fault is logged when it begins, when it changes, and
// once a burst for as long as it lasts.
func (o *observer) called(d document, err error, now time.Duration) {
	if err == nil {
		o.figures.CallsAnswered++
		if o.lastFault != "" {
			log.Printf("discovery: call %d to %s was answered after %v", d.call, d.from.address, rounded(d.took))
		}
		o.lastFault = ""
		return
	}
	o.figures.CallsFailed++
	changed := err.Error() != o.lastFault
	o.lastFault = err.Error()
	if more, ok := o.calls.Allow(now); ok || changed {
		log.Printf("discovery: %v (call %d to %s, after %v; %d more since the last line)", err, d.call,
			d.from.address, rounded(d.took), more)
	}
}

// unanswered takes in that an answer could not be written. That its client has left is nothing to tell.
func (o *observer) unanswered(g *leg, err error, now time.Duration) {
	if err == nil || clientLeft(err) {
		return
	}
	o.figures.Unwritten++
	if more, ok := o.unwritten.Allow(now); ok {
		log.Printf("the answer to request %q was not written and its connection is closed: %v (%d more since "+
			"the last line)", g.asked, err, more)
	}
}

// unserved takes in an answer that is about to be written. One that is no server's, to a request that was
// taken, is logged with what had been tried, so that an operator can tell why a client was turned away.
func (o *observer) unserved(g *leg, e reducer.Effect, now time.Duration) {
	u, ok := e.Payload.(reducer.Unserved)
	if !ok {
		return
	}
	more, ok := o.refused.Allow(now)
	if !ok {
		return
	}
	tried := "nothing was sent to a server"
	if u.Attempts > 0 {
		tried = fmt.Sprintf("%d attempts, last result %s", u.Attempts, u.Last)
	}
	log.Printf("request %q is answered %q after %v: %s (%d more since the last line)", g.asked, e.Verdict,
		rounded(u.Took), tried, more)
}

// clientLeft tells whether an answer was not written because the other side has gone.
func clientLeft(err error) bool {
	for _, left := range []error{net.ErrClosed, io.EOF, netpoll.ErrConnClosed, netpoll.ErrEOF, syscall.EPIPE,
		syscall.ECONNRESET, errStopped} {
		if errors.Is(err, left) {
			return true
		}
	}
	return false
}

// rounded is a duration as a log line has it.
func rounded(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// mostNamed bounds the servers that one line of the log names.
const mostNamed = 12

// stateNames are what the log calls a server's states.
var stateNames = [...]string{lg.Ready: "ready", lg.Draining: "draining", lg.Gone: "gone"}

// logChanges logs what the server list that came last has changed.
func (p *proxy) logChanges() {
	if wrong := p.servers.ClockError(); (wrong - p.observed.wrong).Abs() >= wallclock.Threshold {
		p.observed.wrong = wrong
		log.Printf("the wall clock was wrong by about %v when this process started, as servers' start times tell: "+
			"servers are taken for younger rather than older", wrong.Round(time.Second))
	}
	changes := p.servers.Changes()
	if len(changes) == 0 {
		return
	}
	var line strings.Builder
	for _, c := range changes[:min(len(changes), mostNamed)] {
		state := stateNames[c.State]
		if c.Restarted {
			state = "restarted"
		}
		fmt.Fprintf(&line, ", %s %s", c.Name, state)
	}
	if more := len(changes) - mostNamed; more > 0 {
		fmt.Fprintf(&line, ", %d more", more)
	}
	log.Printf("server list: version %d%s", p.servers.Version(), &line)
}

// logServer logs a line, with the name of the server that it is about.
func (p *proxy) logServer(e reducer.Effect) {
	if name := p.servers.Name(e.Server); e.Server != 0 && name != "" {
		log.Printf("%s (%s)", e.Text, name)
		return
	}
	log.Print(e.Text)
}
