package transport

import (
	"net"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// Whoever learns that a connection has ended posts connClosed, which may be more than one and more than once:
// the library, the reader of a detached connection, the stream or the watch of an upload, a look at a paused
// connection, and closeSocket. The handler of connClosed closes the descriptor, in whatever state the
// connection is.

// closeWrite ends sending; the other side reads what was sent and then the end.
func (c *connection) closeWrite() {
	c.closing = true
	c.discarding.Store(true)
	c.writeClosed.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stdConn != nil {
		if tcpConn, ok := c.stdConn.(*net.TCPConn); ok {
			_ = tcpConn.CloseWrite()
		}
		c.startDiscarding()
		return
	}
	if descriptor, ok := c.socket.(netpoll.Conn); ok && !c.buffersFreed {
		// A connection that broke meanwhile is reported by its own callback.
		_ = syscall.Shutdown(descriptor.Fd(), syscall.SHUT_WR)
	}
}

// resetOnClose has a connection reset once it is closed. Otherwise a client would take a truncated
// body that is delimited by the end of the connection for a complete one.
func (c *connection) resetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tcpConn, ok := c.stdConn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0) // a connection that broke meanwhile was reset, or nobody reads it any more
	} else if descriptor, ok := c.socket.(netpoll.Conn); ok && !c.buffersFreed {
		_ = syscall.SetsockoptLinger(descriptor.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER,
			&syscall.Linger{Onoff: 1})
	}
}

// close closes a connection, open or not.
func (c *connection) close() {
	c.closing = true
	c.closeSocket()
}

// closeSocket is close for goroutines other than the reducer's.
func (c *connection) closeSocket() {
	c.discarding.Store(true)
	c.mu.Lock()
	stdConn := c.stdConn
	c.closedLocally = true
	c.mu.Unlock()
	if stdConn != nil {
		_ = stdConn.Close()
		c.closeOnce.Do(func() {
			c.onClosed()
			c.inbox.post(connClosed{c, true}) // whoever reads it may not be there to notice
		})
	} else if c.socket != nil {
		_ = c.socket.Close()
	}
}

// releaseDescriptor reports, once, that a connection's descriptor is free again.
func (c *connection) releaseDescriptor() { c.closeOnce.Do(c.onClosed) }
