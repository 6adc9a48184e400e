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

// discoveryConnectTimeout limits how long a connection to discovery may take to open.
const discoveryConnectTimeout = 3 * time.Second

// callTimeoutSlack is added to the deadline of a call. The reducer times calls out in the order of
// events; a call ends itself this much later.
const callTimeoutSlack = time.Second

// call is one call to discovery.
type call struct {
	target   string
	deadline time.Duration // on the proxy's clock
}

// watcher calls discovery at one address, one call at a time, on a persistent connection.
type watcher struct {
	address   string
	inbox     *inbox
	clock     clock
	decoder   *serverlist.Decoder
	calls     chan call
	conn      netpollConn // opened and closed by run only
	callCount uint64      // calls made so far, the current one included

	mu      sync.Mutex
	stopped bool
}

// newWatcher returns a watcher; run starts it.
func newWatcher(address string, inbox *inbox, clock clock, decoder *serverlist.Decoder) *watcher {
	return &watcher{address: address, inbox: inbox, clock: clock, decoder: decoder, calls: make(chan call, 1)}
}

// request queues a call. It replaces one that has not started yet.
func (w *watcher) request(next call) {
	select {
	case <-w.calls:
	default:
	}
	w.calls <- next
}

// stop ends the current call and the watcher. It only shuts the connection down: closing it would
// free the buffers that run may be reading from.
func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	select {
	case <-w.calls: // not started yet
	default:
	}
	close(w.calls)
	if descriptor, ok := w.conn.(netpoll.Conn); ok {
		_ = syscall.Shutdown(descriptor.Fd(), syscall.SHUT_RDWR) // a connection that broke meanwhile ends by itself
	}
}

// run makes the queued calls one by one, and posts the result of each, until the watcher is stopped.
func (w *watcher) run() {
	for next := range w.calls {
		w.callCount++
		start := time.Now()
		raw, err := w.roundTrip(next)
		if err != nil {
			w.setConn(nil)
		}
		result := listDocument{from: w, err: err, size: len(raw), callNumber: w.callCount,
			duration: time.Since(start), malformed: isMalformed(err)}
		if err == nil { // decoded here: in the reducer's goroutine it would delay requests
			received := time.Now()
			result.list, result.err = w.decoder.Decode(raw)
			result.malformed, result.decodeTime = result.err != nil, time.Since(received)
		}
		w.inbox.post(result)
	}
	w.setConn(nil)
}

// isMalformed reports whether a call failed because its answer was malformed.
func isMalformed(err error) bool {
	return errors.Is(err, http1.ErrMalformed) || errors.Is(err, http1.ErrHeadSize) ||
		errors.Is(err, http1.ErrBodySize)
}

// setConn closes the current connection and stores the given one, unless the watcher was stopped.
// It reports whether there is a connection.
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

// roundTrip makes one call.
func (w *watcher) roundTrip(next call) ([]byte, error) {
	if w.conn == nil || !w.conn.IsActive() {
		conn, err := dial(w.address, min(discoveryConnectTimeout, w.clock.until(next.deadline)))
		if err != nil {
			return nil, err
		}
		if !w.setConn(conn) {
			return nil, errors.New("the watcher was stopped")
		}
	}
	w.inbox.post(discoveryConnected{w})
	for _, part := range http1.GetRequest(next.target, w.address) {
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
		return nil, fmt.Errorf("status %d for %s", message.Status, next.target)
	}
	if message.Close {
		w.setConn(nil)
	}
	return message.Body, nil
}

// readResponse reads the response to a call.
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

// wasReset reports whether the connection was reset instead of closed in good order.
func (w *watcher) wasReset() bool {
	descriptor, ok := w.conn.(netpoll.Conn)
	return !ok || wasReset(descriptor.Fd())
}

// readMore waits for the next bytes.
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

// readBody reads the rest of a large response.
func (w *watcher) readBody(parser *http1.Parser, deadline time.Duration) (*http1.Message, error) {
	message, body, _ := parser.Stream()
	for !body.Done {
		input, err := w.readMore(deadline)
		if err != nil {
			if body.UntilClose() && !w.wasReset() {
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
