package transport

import (
	"errors"
	"os"
	"runtime"
	"time"

	"lilacglade/internal/http1"
)

// A goroutine that always has more to do for one connection must give way after each piece of it. With one
// processor, Go's scheduler lets it run for 10 ms, and what it wakes next to it, while the poller and all
// other connections wait: for 10 ms at each of the some ten steps of a request. So the reducer's goroutine
// yields after each batch of items, and the goroutines that copy bodies or discard input after each read.

// maxDiscardedBytes is how much is read and dropped of a client that goes on sending after its last answer:
// the rest of the largest request. What exceeds it stays unread until the connection is closed.
const maxDiscardedBytes = http1.MaxStreamedBody

// startDiscarding starts to read and drop what arrives on a detached connection, once.
func (c *connection) startDiscarding() { c.discardOnce.Do(func() { go c.discardInput() }) }

// discardInput reads and drops what still arrives on a detached connection, until it is closed.
func (c *connection) discardInput() {
	_ = c.stdConn.SetReadDeadline(time.Time{})
	buffer := make([]byte, readSize)
	for discarded := 0; discarded < maxDiscardedBytes; {
		n, err := c.stdConn.Read(buffer)
		discarded += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.stdConn.SetReadDeadline(time.Time{}) // it was set for a stream that was stopped
		} else if err != nil {
			c.inbox.post(connClosed{c, true})
			return
		}
		runtime.Gosched()
	}
}
