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
type connection interface {
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
var errOverdue = errors.New("its time is over")

// flush writes what is in a connection's buffer, and waits for that no longer than so long.
func flush(c connection, within time.Duration) error {
	if within <= 0 {
		return errOverdue
	}
	if err := c.SetWriteTimeout(within); err != nil {
		return err
	}
	return c.Writer().Flush()
}

// await waits for a first byte, no longer than so long.
func await(c connection, within time.Duration) error {
	if within <= 0 {
		return errOverdue
	}
	if err := c.SetReadTimeout(within); err != nil {
		return err
	}
	_, err := c.Reader().Peek(1)
	return err
}

// dial opens a connection, no longer than so long. To the library a time-out of 0 means none. What fails by
// a fault of this machine is tried again: nothing has left it.
func dial(address string, within time.Duration) (netpoll.Connection, error) {
	by := time.Now().Add(within)
	for pause := firstRetry; ; pause = min(2*pause, mostRetry) {
		left := time.Until(by)
		if left <= 0 {
			return nil, errOverdue
		}
		conn, err := netpoll.DialConnection("tcp", address, left)
		if err == nil || !transient.Opening(err) || left <= pause {
			return conn, err
		}
		time.Sleep(pause)
	}
}
