package transport

import (
	"errors"
	"time"

	"github.com/cloudwego/netpoll"

	"lilacglade/internal/transient"
)

// connection is what is used of the library's connections: all but their deadlines. The library (0.7.2)
// keeps a deadline as a wall time and compares it with the wall clock when a wait begins, so that after a
// step of that clock every wait ends at once, or hours late. Time-outs, which are spans, it measures by a
// timer.
type netpollConn interface {
	Reader() netpoll.Reader
	Writer() netpoll.Writer
	IsActive() bool
	Close() error
	// SetReadTimeout and SetWriteTimeout hold for each wait that begins after the call. 0 means no limit:
	// flush and await keep that from being asked for by chance.
	SetReadTimeout(time.Duration) error
	SetWriteTimeout(time.Duration) error
	SetOnRequest(netpoll.OnRequest) error
	AddCloseCallback(netpoll.CloseCallback) error
}

// errOverdue says that the time for something was over before it began.
var errDeadlinePassed = errors.New("its time is over")

// flush writes what is in a connection's buffer, and waits for that no longer than so long.
func flush(conn netpollConn, timeout time.Duration) error {
	if timeout <= 0 {
		return errDeadlinePassed
	}
	if err := conn.SetWriteTimeout(timeout); err != nil {
		return err
	}
	return conn.Writer().Flush()
}

// await waits for a first byte, no longer than so long.
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

// dial opens a connection, no longer than so long. To the library a time-out of 0 means none. What fails by
// a fault of this machine is tried again: nothing has left it.
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
