package transport

import (
	"errors"
	"os"
	"runtime"
	"time"
)

// A goroutine that always has more to do for one connection must give way after each piece of it. With one
// processor, Go's scheduler lets it run for 10 ms, and what it wakes next to it, while the poller and all
// other connections wait: for 10 ms at each of the some ten steps of a request. So the reducer's goroutine
// yields after each batch of items, and the goroutines that copy bodies or discard input after each read.

// discardInput reads and drops what still arrives on a detached connection, until it is closed.
func (c *connection) discardInput() {
	_ = c.stdConn.SetReadDeadline(time.Time{})
	buffer := make([]byte, readSize)
	for {
		_, err := c.stdConn.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.stdConn.SetReadDeadline(time.Time{}) // it was set for a stream that was stopped
		} else if err != nil {
			c.inbox.post(connClosed{c, true})
			return
		}
		runtime.Gosched()
	}
}
