package transport

import (
	"errors"
	"time"

	"github.com/cloudwego/netpoll"

	"lilacglade/internal/transient"
)

// netpollConn is the used part of the library's connections: everything but their deadlines. The
// library (0.7.2) keeps a deadline as a wall time and compares it with the wall clock when a wait
// begins, so that after a step of that clock every wait ends at once, or hours late. Timeouts,
// which are durations, it measures by a timer.
type netpollConn interface {
	Reader() netpoll.Reader
	Writer() netpoll.Writer
	IsActive() bool
	Close() error
	// SetReadTimeout and SetWriteTimeout apply to each wait that begins after the call. 0 means no
	// limit: flush and awaitReadable prevent that from being set by accident.
	SetReadTimeout(time.Duration) error
	SetWriteTimeout(time.Duration) error
	SetOnRequest(netpoll.OnRequest) error
	AddCloseCallback(netpoll.CloseCallback) error
}

// errDeadlinePassed reports that the deadline of an operation had passed before it began.
var errDeadlinePassed = errors.New("the deadline has passed already")

// flush writes the contents of a connection's buffer, and waits for that no longer than timeout.
func flush(conn netpollConn, timeout time.Duration) error {
	if timeout <= 0 {
		return errDeadlinePassed
	}
	if err := conn.SetWriteTimeout(timeout); err != nil {
		return err
	}
	return conn.Writer().Flush()
}

// awaitReadable waits for a first byte, no longer than timeout.
func awaitReadable(conn netpollConn, timeout time.Duration) error {
	if timeout <= 0 {
		return errDeadlinePassed
	}
	if err := conn.SetReadTimeout(timeout); err != nil {
		return err
	}
	_, err := conn.Reader().Peek(1)
	return err
}

// dial opens a TCP connection, within timeout at most. To the library a timeout of 0 means none. A
// fault of the local machine is retried: nothing has been sent then.
func dial(address string, timeout time.Duration) (netpoll.Connection, error) {
	deadline := time.Now().Add(timeout)
	for delay := initialRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, errDeadlinePassed
		}
		conn, err := netpoll.DialConnection("tcp", address, remaining)
		if err == nil || !transient.Opening(err) || remaining <= delay {
			return conn, err
		}
		time.Sleep(delay)
	}
}
