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

// Intervals and thresholds of logging.
const (
	clockCheckInterval = 100 * time.Millisecond // minimum interval between two comparisons of the clocks
	faultLogInterval   = time.Second            // minimum interval between two log lines about one kind of fault
	slowItemThreshold  = 50 * time.Millisecond  // an item that takes this long is logged
)

// observer reports to operators: it writes the log lines and counts the metrics that the reducer
// can't count. The reducer's goroutine owns it.
type observer struct {
	metrics          reducer.SocketMetrics
	wallClock        wallclock.Monitor
	nextClockCheck   time.Duration // on the proxy's clock
	unwritten        logburst.Limiter
	unserved         logburst.Limiter
	calls            logburst.Limiter // failed calls to discovery
	slow             logburst.Limiter // slow items
	loggedClockError time.Duration    // the error of the wall clock at the start, as it was last logged
	lastCallError    string           // of the last call to discovery; empty: it was answered
}

func newObserver() observer {
	every := logburst.Limiter{Every: faultLogInterval}
	return observer{unwritten: every, unserved: every, calls: every, slow: every}
}

// checkWallClock logs a step of the wall clock. Nothing else depends on it.
func (o *observer) checkWallClock(wallTime time.Time, now time.Duration) {
	if now < o.nextClockCheck {
		return
	}
	o.nextClockCheck = now + clockCheckInterval
	if step := o.wallClock.Observe(time.Duration(wallTime.UnixNano()), now); step != 0 {
		o.metrics.ClockSteps = o.wallClock.Steps()
		log.Printf("the wall clock was stepped by %v", step.Round(time.Millisecond))
	}
}

// recordItem records how long the reducer's goroutine took for an item, and how long the item had
// been queued. A slow item delays every request of the process, so it is logged with its kind.
func (o *observer) recordItem(item any, start time.Time, duration, now time.Duration) {
	metrics := &o.metrics
	metrics.LongestEvent = max(metrics.LongestEvent, duration)
	switch item := item.(type) {
	case bytesIn:
		metrics.LongestQueued = max(metrics.LongestQueued, start.Sub(item.readAt))
	case listDocument:
		metrics.LongestListUpdate = max(metrics.LongestListUpdate, duration)
	}
	if duration < slowItemThreshold {
		return
	}
	metrics.SlowEvents++
	if suppressed, ok := o.slow.Allow(now); ok {
		log.Printf("the reducer took %v for %s (%d more since the last line)", roundForLog(duration),
			itemName(item), suppressed)
	}
}

// recordItem reports to the observer how long an item took.
func (p *proxy) recordItem(item any, start time.Time) {
	end := time.Now()
	p.observer.recordItem(item, start, end.Sub(start), p.at(end))
}

// itemName returns the name of an item in the log.
func itemName(item any) string {
	if document, ok := item.(listDocument); ok {
		return fmt.Sprintf("a server list document of %d bytes", document.size)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", item), "transport.")
}

// recordCall records the end of a call to discovery. A fault is logged when it begins, when it
// changes, and once per interval for as long as it lasts.
func (o *observer) recordCall(document listDocument, err error, now time.Duration) {
	if err == nil {
		o.metrics.CallsAnswered++
		if o.lastCallError != "" {
			log.Printf("discovery: call %d to %s was answered after %v", document.callNumber,
				document.from.address, roundForLog(document.duration))
		}
		o.lastCallError = ""
		return
	}
	o.metrics.CallsFailed++
	changed := err.Error() != o.lastCallError
	o.lastCallError = err.Error()
	if suppressed, ok := o.calls.Allow(now); ok || changed {
		log.Printf("discovery: %v (call %d to %s, after %v; %d more since the last line)", err, document.callNumber,
			document.from.address, roundForLog(document.duration), suppressed)
	}
}

// recordUnwritten records that an answer could not be written. A client that has left is not worth
// a log line.
func (o *observer) recordUnwritten(conn *connection, err error, now time.Duration) {
	if err == nil || isDisconnect(err) {
		return
	}
	o.metrics.UnwrittenAnswers++
	if suppressed, ok := o.unwritten.Allow(now); ok {
		log.Printf("the answer to request %q was not written and its connection is closed: %v (%d more since "+
			"the last line)", conn.requestID, err, suppressed)
	}
}

// recordUnserved records an answer that is about to be written. An answer to an accepted request
// that comes from no server is logged with the attempts made, so that an operator can see why the
// request was not served.
func (o *observer) recordUnserved(conn *connection, effect reducer.Effect, now time.Duration) {
	unserved, ok := effect.Payload.(reducer.FailureDetails)
	if !ok {
		return
	}
	suppressed, ok := o.unserved.Allow(now)
	if !ok {
		return
	}
	attempts := "nothing was sent to a server"
	if unserved.Attempts > 0 {
		attempts = fmt.Sprintf("%d attempts, last result %s", unserved.Attempts, unserved.LastResult)
	}
	log.Printf("request %q is answered %q after %v: %s (%d more since the last line)", conn.requestID,
		effect.Verdict, roundForLog(unserved.Elapsed), attempts, suppressed)
}

// isDisconnect reports whether an answer was not written because the other side has left.
func isDisconnect(err error) bool {
	for _, disconnect := range []error{net.ErrClosed, io.EOF, netpoll.ErrConnClosed, netpoll.ErrEOF,
		syscall.EPIPE, syscall.ECONNRESET, errStopped} {
		if errors.Is(err, disconnect) {
			return true
		}
	}
	return false
}

// roundForLog rounds a duration for a log line.
func roundForLog(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// maxLoggedServers limits the servers that one log line names.
const maxLoggedServers = 12

// stateNames are the names of a server's states in the log.
var stateNames = [...]string{lg.Ready: "ready", lg.Draining: "draining", lg.Gone: "gone"}

// logListChanges logs the changes that the last server list brought.
func (p *proxy) logListChanges() {
	if clockError := p.servers.ClockError(); (clockError -
		p.observer.loggedClockError).Abs() >= wallclock.Threshold {
		p.observer.loggedClockError = clockError
		log.Printf("the wall clock was wrong by about %v when this process started, judging by servers' start "+
			"times: the ages of servers are estimated too low rather than too high", clockError.Round(time.Second))
	}
	changes := p.servers.Changes()
	if len(changes) == 0 {
		return
	}
	var line strings.Builder
	for _, change := range changes[:min(len(changes), maxLoggedServers)] {
		state := stateNames[change.State]
		if change.Restarted {
			state = "restarted"
		}
		fmt.Fprintf(&line, ", %s %s", change.Name, state)
	}
	if more := len(changes) - maxLoggedServers; more > 0 {
		fmt.Fprintf(&line, ", %d more", more)
	}
	log.Printf("server list: version %d%s", p.servers.Version(), &line)
}

// logEffect logs a line, with the name of the server that it concerns.
func (p *proxy) logEffect(effect reducer.Effect) {
	if name := p.servers.Name(effect.Server); effect.Server != 0 && name != "" {
		log.Printf("%s (%s)", effect.Text, name)
		return
	}
	log.Print(effect.Text)
}
