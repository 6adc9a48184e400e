// Package admin is where operators call: a line protocol on a listener of its own. A connection brings one
// line and gets one answer, from what the reducer has published last; it never waits for the reducer.
package admin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/reducer"
	"lilacglade/internal/sendguard"
	"lilacglade/internal/transient"
)

// What one caller, and all together, may take.
const (
	maxLine  = 128              // bytes of a call, its end included
	maxWork  = 64 << 10         // of one that begins with WORK
	maxConns = 24               // beyond, the connection that has stood longest without a whole call makes room
	stayFor  = 6 * time.Second  // a connection that has made no whole call by then is told so and closed
	takeFor  = 10 * time.Second // an answer that is not read is given up
)

// Server answers operators' calls.
type Server struct {
	// Work answers what follows the word WORK in a call; nil: there is no such call. It may wait for other
	// proxies, so it is owed within some seconds only. It is set before Listen.
	Work    func(call string) []byte
	figures atomic.Pointer[reducer.Metrics]

	mu    sync.Mutex
	conns []*guest // oldest first
}

// guest is a connection that has made no whole call yet.
type guest struct {
	conn netpoll.Connection
	fd   int
	line []byte // what has come of the call
	done bool   // it was answered
}

// Publish has the figures shown from now on. They must not change any more.
func (d *Server) Publish(f *reducer.Metrics) { d.figures.Store(f) }

type guestKey struct{}

// Listen opens the door at an address and answers until the process ends.
func (d *Server) Listen(address string) error {
	var ln netpoll.Listener
	if err := transient.Retry(listenFor, transient.Opening, func() (err error) {
		ln, err = netpoll.CreateListener("tcp", address)
		return err
	}); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	loop, err := netpoll.NewEventLoop(d.heard, netpoll.WithOnPrepare(d.opened))
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	go func() { _ = loop.Serve(quiet{ln}) }() // it ends with the process
	return nil
}

// quiet hides from the poller what went wrong with one connection, or for the moment: the door stays open,
// and the poller, which serves everybody else, too, neither spins nor rests for long.
type quiet struct{ netpoll.Listener }

// listenFor is how long an address that can't be listened on for the moment is tried again.
const listenFor = 3 * time.Second

// acceptPause is waited after an accept that failed, before the poller tries again.
const acceptPause = time.Millisecond

func (l quiet) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		time.Sleep(acceptPause)
		return nil, nil
	}
	return conn, err
}

// opened takes in a connection. Guards against callers who hold connections and say nothing: they can't
// keep others out.
func (d *Server) opened(conn netpoll.Connection) context.Context {
	g := &guest{conn: conn, fd: -1}
	if c, ok := conn.(netpoll.Conn); ok {
		g.fd = c.Fd()
	}
	_ = conn.AddCloseCallback(func(netpoll.Connection) error { d.left(g); return nil })
	d.mu.Lock()
	d.conns = append(d.conns, g)
	var oldest *guest
	if len(d.conns) > maxConns {
		oldest = d.conns[0]
		d.conns = d.conns[1:]
	}
	d.mu.Unlock()
	if oldest != nil {
		_ = oldest.conn.Close()
	}
	time.AfterFunc(stayFor, func() { _ = conn.Close() })
	return context.WithValue(context.Background(), guestKey{}, g)
}

func (d *Server) left(g *guest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, o := range d.conns {
		if o == g {
			d.conns = append(d.conns[:i:i], d.conns[i+1:]...)
			return
		}
	}
}

// heard takes what has come on a connection. It runs for one connection at a time only.
func (d *Server) heard(ctx context.Context, conn netpoll.Connection) error {
	g, _ := ctx.Value(guestKey{}).(*guest)
	r := conn.Reader()
	n := r.Len()
	most := maxLine
	if d.Work != nil {
		most = maxWork
	}
	b, err := r.Next(min(n, most+1))
	if err == nil && !g.done {
		g.line = append(g.line, b...)
	}
	if n > most+1 {
		_ = r.Skip(n - most - 1)
	}
	_ = r.Release()
	if g.done {
		return nil
	}
	line, _, whole := bytes.Cut(g.line, []byte("\n"))
	work, isWork := strings.CutPrefix(string(line), "WORK ")
	switch {
	case whole && isWork && d.Work != nil:
		d.answer(g, d.Work(strings.TrimSuffix(work, "\r")))
	case whole && len(line) < maxLine:
		d.answer(g, Answer(string(bytes.TrimSuffix(line, []byte("\r"))), d.figures.Load()))
	case len(g.line) > most || whole || len(g.line) > maxLine && !isWork:
		d.answer(g, []byte("-ERR the call is too long\n"))
	}
	return nil
}

// answer writes an answer and ends the connection. It goes past the library, which takes a caller that has
// ended its sending for one that has left; while this runs the descriptor stays open.
func (d *Server) answer(g *guest, text []byte) {
	g.done, g.line = true, nil
	for by := time.Now().Add(takeFor); len(text) > 0; {
		n, err := syscall.Write(g.fd, text)
		if n > 0 {
			text = text[n:]
		}
		if err == syscall.EAGAIN && time.Now().Before(by) {
			time.Sleep(10 * time.Millisecond) // its buffer is full: it doesn't read
		} else if err != nil && err != syscall.EINTR {
			break
		}
	}
	// Guards against a reset that overtakes the answer: the caller closes, or the time for its stay ends.
	_ = syscall.Shutdown(g.fd, syscall.SHUT_WR)
}

// Answer words the answer to a call.
func Answer(call string, f *reducer.Metrics) []byte {
	switch {
	case call != "HEALTH" && call != "DUMP":
		return []byte("-ERR unknown call; known are HEALTH and DUMP\n")
	case f == nil:
		return []byte("-ERR starting\n")
	case call == "DUMP":
		return append(append([]byte("+OK\n"), Dump(f)...), ".\n"...)
	case !f.Ready:
		return []byte("-ERR this process takes no requests\n")
	}
	return []byte("+OK serving\n")
}

// prefix begins the name of every figure.
const prefix = "node_"

// Dump words the figures, a line each.
func Dump(f *reducer.Metrics) []byte {
	var out []byte
	line := func(name string, n uint64) {
		out = append(out, prefix...)
		out = append(out, name...)
		out = append(out, ' ')
		out = append(strconv.AppendUint(out, n, 10), '\n')
	}
	for _, h := range f.Handled {
		for _, o := range []struct {
			outcome string
			n       uint64
		}{{"passed", h.Passed}, {"dropped", h.Dropped}, {"bad_gateway", h.BadGateway}} {
			line("handled{category="+strconv.Quote(h.Class)+",outcome="+strconv.Quote(o.outcome)+"}", o.n)
		}
	}
	line("in_progress", uint64(max(0, f.InProgress)))
	line("upstream_tries", f.RequestsWritten)
	line("known_album_servers", uint64(f.KnownServers))
	line("skipped_album_servers", uint64(f.SkippedServers))
	line("loads", f.Loads)
	line("load_errors", f.LoadErrors)
	for result, n := range f.Attempts {
		line("attempts{result="+strconv.Quote(lg.Result(result).String())+"}", n)
	}
	for cause, n := range f.Closes {
		line("client_closes{cause="+strconv.Quote(reducer.CloseCause(cause).String())+"}", n)
	}
	for rule, n := range f.Violations {
		if rule := sendguard.Rule(rule); rule != sendguard.None {
			line("violations{rule="+strconv.Quote(rule.String())+"}", n)
		}
	}
	line("list_heard", asNumber(f.List.Received))
	line("list_unheard_ms", millis(f.List.SinceAnswer))
	line("list_longest_pause_ms", millis(f.List.LongestPause))
	line("list_calls_failed_in_a_row", uint64(max(0, f.List.FailedCalls)))
	line("list_outdated_attempts", f.List.OutdatedAttempts)
	line("list_expired", f.List.LeaseExpirations)
	line("list_withheld_attempts", f.List.WithheldAttempts)
	line("discovery_calls{outcome=\"answered\"}", f.Sockets.CallsAnswered)
	line("discovery_calls{outcome=\"failed\"}", f.Sockets.CallsFailed)
	line("answers_unwritten", f.Sockets.UnwrittenAnswers)
	line("clock_steps", f.Sockets.ClockSteps)
	line("reducer_slow_events", f.Sockets.SlowEvents)
	line("reducer_longest_event_us", micros(f.Sockets.LongestEvent))
	line("reducer_longest_queued_us", micros(f.Sockets.LongestQueued))
	line("reducer_longest_list_us", micros(f.Sockets.LongestListUpdate))
	return out
}

func asNumber(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// millis and micros are spans as figures have them.
func millis(d time.Duration) uint64 { return uint64(max(0, d).Milliseconds()) }

func micros(d time.Duration) uint64 { return uint64(max(0, d).Microseconds()) }
