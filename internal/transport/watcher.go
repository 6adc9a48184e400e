package transport

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"lilacglade/internal/http1"
	"lilacglade/internal/serverlist"
)

// connectWithin is how long a connection to discovery may take to come up.
const connectWithin = 3 * time.Second

// giveUpSlack is how much later than the reducer, which ends them in the order of events, a call ends itself.
const giveUpSlack = time.Second

// call is one call to discovery.
type call struct {
	target string
	by     time.Duration // on the proxy's clock
}

// watcher calls discovery at one address, one call at a time on a connection that it keeps.
type watcher struct {
	address string
	inbox   *inbox
	clock   clock
	decoder *serverlist.Decoder
	calls   chan call
	conn    connection // opened and closed by run alone
	number  uint64     // of the last call that it made

	mu      sync.Mutex
	stopped bool
}

func newWatcher(address string, b *inbox, c clock, d *serverlist.Decoder) *watcher {
	return &watcher{address: address, inbox: b, clock: c, decoder: d, calls: make(chan call, 1)}
}

// ask wants a call made. One that is not yet begun is replaced.
func (w *watcher) ask(c call) {
	select {
	case <-w.calls:
	default:
	}
	w.calls <- c
}

// stop ends the call that is out, and with it the watcher. The connection is only shut down
// here: to close it frees the buffers that run may be reading from.
func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	select {
	case <-w.calls: // not begun yet
	default:
	}
	close(w.calls)
	if c, ok := w.conn.(netpoll.Conn); ok {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_RDWR) // one that broke meanwhile ends by itself
	}
}

func (w *watcher) run() {
	for c := range w.calls {
		w.number++
		began := time.Now()
		raw, err := w.do(c)
		if err != nil {
			w.hold(nil)
		}
		d := document{from: w, err: err, bytes: len(raw), call: w.number, took: time.Since(began)}
		if err == nil { // here and not in the reducer, which it would hold up
			came := time.Now()
			d.list, d.err = w.decoder.Decode(raw)
			d.unusable, d.decoding = d.err != nil, time.Since(came)
		}
		w.inbox.post(d)
	}
	w.hold(nil)
}

// hold closes the connection and keeps the given one, unless the watcher was stopped.
func (w *watcher) hold(conn connection) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		_ = w.conn.Close()
	}
	if w.conn = conn; w.stopped && conn != nil {
		_ = conn.Close()
		w.conn = nil
	}
	return w.conn != nil
}

// do makes one call.
func (w *watcher) do(c call) ([]byte, error) {
	if w.conn == nil || !w.conn.IsActive() {
		conn, err := dial(w.address, min(connectWithin, w.clock.until(c.by)))
		if err != nil {
			return nil, err
		}
		if !w.hold(conn) {
			return nil, errors.New("given up")
		}
	}
	w.inbox.post(reached{w})
	for _, b := range http1.Ask(c.target, w.address) {
		if _, err := w.conn.Writer().WriteBinary(b); err != nil {
			return nil, err
		}
	}
	if err := flush(w.conn, w.clock.until(c.by)); err != nil {
		return nil, err
	}
	m, err := w.read(c.by)
	if err != nil {
		return nil, err
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("status %d to %s", m.Status, c.target)
	}
	if m.Close {
		w.hold(nil)
	}
	return m.Body, nil
}

func (w *watcher) read(by time.Duration) (*http1.Message, error) {
	parser := http1.Parser{Responses: true}
	for {
		b, err := w.more(by)
		if err != nil {
			if m := parser.End(); m != nil && !w.reset() {
				return m, nil
			}
			return nil, err
		}
		parser.Feed(b)
		m, err := parser.Next()
		if m != nil || err != nil {
			return m, err
		}
		if parser.Large() { // a list of many servers
			return w.rest(&parser, by)
		}
	}
}

// reset tells whether the connection did not end in good order.
func (w *watcher) reset() bool {
	c, ok := w.conn.(netpoll.Conn)
	return !ok || wasReset(c.Fd())
}

// more waits for the next bytes.
func (w *watcher) more(by time.Duration) ([]byte, error) {
	if err := await(w.conn, w.clock.until(by)); err != nil {
		return nil, err
	}
	r := w.conn.Reader()
	b, err := r.ReadBinary(r.Len())
	if err != nil {
		return nil, err
	}
	return b, r.Release()
}

// rest reads the rest of a large answer.
func (w *watcher) rest(parser *http1.Parser, by time.Duration) (*http1.Message, error) {
	m, body, _ := parser.Stream()
	for !body.Done {
		in, err := w.more(by)
		if err != nil {
			if body.TillClose() && !w.reset() {
				return m, nil
			}
			return nil, err
		}
		for len(in) > 0 && !body.Done {
			var data []byte
			if data, in, err = body.Next(in); err != nil {
				return nil, err
			}
			m.Body = append(m.Body, data...)
		}
	}
	return m, nil
}
