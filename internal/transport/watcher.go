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
const discoveryConnectTimeout = 3 * time.Second

// giveUpSlack is how much later than the reducer, which ends them in the order of events, a call ends itself.
const callTimeoutSlack = time.Second

// call is one call to discovery.
type call struct {
	target   string
	deadline time.Duration // on the proxy's clock
}

// watcher calls discovery at one address, one call at a time on a connection that it keeps.
type watcher struct {
	address   string
	inbox     *inbox
	clock     clock
	decoder   *serverlist.Decoder
	calls     chan call
	conn      netpollConn // opened and closed by run alone
	callCount uint64      // of the last call that it made

	mu      sync.Mutex
	stopped bool
}

func newWatcher(address string, inbox *inbox, clock clock, decoder *serverlist.Decoder) *watcher {
	return &watcher{address: address, inbox: inbox, clock: clock, decoder: decoder, calls: make(chan call, 1)}
}

// ask wants a call made. One that is not yet begun is replaced.
func (w *watcher) request(next call) {
	select {
	case <-w.calls:
	default:
	}
	w.calls <- next
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
	if descriptor, ok := w.conn.(netpoll.Conn); ok {
		_ = syscall.Shutdown(descriptor.Fd(), syscall.SHUT_RDWR) // one that broke meanwhile ends by itself
	}
}

func (w *watcher) run() {
	for next := range w.calls {
		w.callCount++
		start := time.Now()
		raw, err := w.roundTrip(next)
		if err != nil {
			w.setConn(nil)
		}
		result := listDocument{from: w, err: err, size: len(raw), callNumber: w.callCount, duration: time.Since(start)}
		if err == nil { // here and not in the reducer, which it would hold up
			received := time.Now()
			result.list, result.err = w.decoder.Decode(raw)
			result.malformed, result.decodeTime = result.err != nil, time.Since(received)
		}
		w.inbox.post(result)
	}
	w.setConn(nil)
}

// hold closes the connection and keeps the given one, unless the watcher was stopped.
func (w *watcher) setConn(conn netpollConn) bool {
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
func (w *watcher) roundTrip(next call) ([]byte, error) {
	if w.conn == nil || !w.conn.IsActive() {
		conn, err := dial(w.address, min(discoveryConnectTimeout, w.clock.until(next.deadline)))
		if err != nil {
			return nil, err
		}
		if !w.setConn(conn) {
			return nil, errors.New("given up")
		}
	}
	w.inbox.post(discoveryConnected{w})
	for _, part := range http1.Ask(next.target, w.address) {
		if _, err := w.conn.Writer().WriteBinary(part); err != nil {
			return nil, err
		}
	}
	if err := flush(w.conn, w.clock.until(next.deadline)); err != nil {
		return nil, err
	}
	message, err := w.readResponse(next.deadline)
	if err != nil {
		return nil, err
	}
	if message.Status != 200 {
		return nil, fmt.Errorf("status %d to %s", message.Status, next.target)
	}
	if message.Close {
		w.setConn(nil)
	}
	return message.Body, nil
}

func (w *watcher) readResponse(deadline time.Duration) (*http1.Message, error) {
	parser := http1.Parser{Responses: true}
	for {
		data, err := w.readMore(deadline)
		if err != nil {
			if message := parser.End(); message != nil && !w.wasReset() {
				return message, nil
			}
			return nil, err
		}
		parser.Feed(data)
		message, err := parser.Next()
		if message != nil || err != nil {
			return message, err
		}
		if parser.Large() { // a list of many servers
			return w.readBody(&parser, deadline)
		}
	}
}

// reset tells whether the connection did not end in good order.
func (w *watcher) wasReset() bool {
	descriptor, ok := w.conn.(netpoll.Conn)
	return !ok || wasReset(descriptor.Fd())
}

// more waits for the next bytes.
func (w *watcher) readMore(deadline time.Duration) ([]byte, error) {
	if err := awaitReadable(w.conn, w.clock.until(deadline)); err != nil {
		return nil, err
	}
	reader := w.conn.Reader()
	data, err := reader.ReadBinary(reader.Len())
	if err != nil {
		return nil, err
	}
	return data, reader.Release()
}

// rest reads the rest of a large answer.
func (w *watcher) readBody(parser *http1.Parser, deadline time.Duration) (*http1.Message, error) {
	message, body, _ := parser.Stream()
	for !body.Done {
		input, err := w.readMore(deadline)
		if err != nil {
			if body.TillClose() && !w.wasReset() {
				return message, nil
			}
			return nil, err
		}
		for len(input) > 0 && !body.Done {
			var data []byte
			if data, input, err = body.Next(input); err != nil {
				return nil, err
			}
			message.Body = append(message.Body, data...)
		}
	}
	return message, nil
}
