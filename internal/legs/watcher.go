package legs

import (
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"

	"lilacglade/internal/http1"
)

// answerWithin is how long discovery may take beyond what it was allowed to wait.
const answerWithin = 3 * time.Second

// call is one call to discovery.
type call struct {
	target string
	by     time.Time
}

// watcher calls discovery, one call at a time on a connection that it keeps.
type watcher struct {
	address string
	inbox   *inbox
	calls   chan call
	conn    netpoll.Connection
}

func newWatcher(address string, b *inbox) *watcher {
	return &watcher{address: address, inbox: b, calls: make(chan call, 1)}
}

// ask wants a call made. One that is not yet begun is replaced.
func (w *watcher) ask(c call) {
	select {
	case <-w.calls:
	default:
	}
	w.calls <- c
}

func (w *watcher) run() {
	for c := range w.calls {
		raw, err := w.do(c)
		if err != nil && w.conn != nil {
			_ = w.conn.Close()
			w.conn = nil
		}
		w.inbox.post(document{raw, err})
	}
}

// do makes one call.
func (w *watcher) do(c call) ([]byte, error) {
	if w.conn == nil || !w.conn.IsActive() {
		if w.conn != nil {
			_ = w.conn.Close()
		}
		conn, err := netpoll.DialConnection("tcp", w.address, min(answerWithin, time.Until(c.by)))
		if w.conn = conn; err != nil {
			w.conn = nil
			return nil, err
		}
	}
	for _, b := range http1.Ask(c.target, w.address) {
		if _, err := w.conn.Writer().WriteBinary(b); err != nil {
			return nil, err
		}
	}
	if err := w.conn.SetDeadline(c.by); err != nil {
		return nil, err
	}
	if err := w.conn.Writer().Flush(); err != nil {
		return nil, err
	}
	m, err := w.read()
	if err != nil {
		return nil, err
	}
	if m.Status != 200 {
		return nil, fmt.Errorf("status %d to %s", m.Status, c.target)
	}
	if m.Close {
		_ = w.conn.Close()
		w.conn = nil
	}
	return m.Body, nil
}

func (w *watcher) read() (*http1.Message, error) {
	parser := http1.Parser{Responses: true}
	r := w.conn.Reader()
	for {
		if _, err := r.Peek(1); err != nil {
			if m := parser.End(); m != nil {
				return m, nil
			}
			return nil, err
		}
		b, err := r.ReadBinary(r.Len())
		if err != nil {
			return nil, err
		}
		if err := r.Release(); err != nil {
			return nil, err
		}
		parser.Feed(b)
		if m, err := parser.Next(); m != nil || err != nil {
			return m, err
		}
	}
}
