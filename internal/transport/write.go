package transport

import (
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"
	"unsafe"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"lilacglade/internal/transient"
)

// Delays between attempts of a write or a dial that failed for a transient reason.
const (
	initialRetryDelay = 200 * time.Microsecond
	maxRetryDelay     = 10 * time.Millisecond
)

// send writes the buffers in order. It waits until they are written, for timeout at most, or until
// the connection is closed.
func (c *connection) send(buffers [][]byte, timeout time.Duration) error {
	if timeout <= 0 {
		return errDeadlinePassed
	}
	deadline := time.Now().Add(timeout)
	for delay := initialRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := c.trySend(&buffers, deadline)
		if err == nil || !transient.Transfer(err) || time.Now().Add(delay).After(deadline) {
			return err
		}
		time.Sleep(delay)
	}
}

// trySend writes as much as possible and removes it from remaining. After a transient error it may
// be called again.
func (c *connection) trySend(remaining *[][]byte, deadline time.Time) error {
	c.mu.Lock()
	if c.detaching && !c.buffersFreed { // being detached
		c.mu.Unlock()
		<-c.stdConnReady
		c.mu.Lock()
	}
	if stdConn := c.stdConn; stdConn != nil {
		c.mu.Unlock()
		return sendStd(stdConn, remaining, deadline)
	}
	err := c.writeNonblocking(remaining)
	if err == syscall.EAGAIN { // the other side reads slowly: the library waits for it
		if err = c.bufferWrite(*remaining); err == nil {
			*remaining = nil
		}
	}
	c.mu.Unlock()
	if err != nil || c.bufferedBytes == 0 {
		return err
	}
	err = flush(c.socket, time.Until(deadline))
	if err == nil {
		c.bufferedBytes = 0
	}
	return err
}

// writeNonblocking writes what the kernel accepts at once. It bypasses the library, which closes a
// connection at a transient error. EAGAIN means that the kernel accepts no more for now. The caller
// holds c.mu, so that the descriptor is still the connection's.
func (c *connection) writeNonblocking(remaining *[][]byte) error {
	descriptor, ok := c.socket.(netpoll.Conn)
	if !ok || c.buffersFreed || !c.socket.IsActive() {
		return net.ErrClosed
	}
	if c.bufferedBytes > 0 { // what the library has buffered comes first
		return nil
	}
	for len(*remaining) > 0 {
		if len((*remaining)[0]) == 0 {
			*remaining = (*remaining)[1:]
			continue
		}
		n, err := sendmsg(descriptor.Fd(), *remaining)
		if err != nil {
			return err
		}
		*remaining = skipBytes(*remaining, n)
	}
	return nil
}

// maxVectors limits the buffers of one sendmsg call.
const maxVectors = 16

// sendmsg passes buffers to the kernel. The call never waits, and is made without notifying the
// scheduler: with one processor another goroutine would run first, and the reducer would receive
// the client's next request before it is notified that this answer was written.
func sendmsg(fd int, buffers [][]byte) (int, error) {
	var vectors [maxVectors]unix.Iovec
	count := 0
	for _, buffer := range buffers {
		if len(buffer) == 0 {
			continue
		}
		vectors[count].Base = &buffer[0]
		vectors[count].SetLen(len(buffer))
		if count++; count == maxVectors {
			break
		}
	}
	message := unix.Msghdr{Iov: &vectors[0]}
	message.SetIovlen(count)
	n, _, errno := syscall.RawSyscall(syscall.SYS_SENDMSG, uintptr(fd), uintptr(unsafe.Pointer(&message)),
		unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	runtime.KeepAlive(buffers)
	runtime.KeepAlive(&vectors)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// skipBytes returns the buffers without their first n bytes. It doesn't modify the given ones.
func skipBytes(buffers [][]byte, n int) [][]byte {
	for len(buffers) > 0 && n >= len(buffers[0]) {
		n -= len(buffers[0])
		buffers = buffers[1:]
	}
	if n > 0 {
		buffers = slices.Concat([][]byte{buffers[0][n:]}, buffers[1:])
	}
	return buffers
}

// bufferWrite copies the buffers into the library's buffer. The caller holds c.mu.
func (c *connection) bufferWrite(buffers [][]byte) error {
	if c.buffersFreed || !c.socket.IsActive() {
		return net.ErrClosed
	}
	for _, buffer := range buffers {
		if _, err := c.socket.Writer().WriteBinary(buffer); err != nil {
			return err
		}
		c.bufferedBytes += len(buffer)
	}
	return nil
}

// sendStd writes to a connection of the standard library, and removes what was written from
// remaining.
func sendStd(conn net.Conn, remaining *[][]byte, deadline time.Time) error {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	buffers := net.Buffers(slices.Clone(*remaining)) // WriteTo removes what it has written
	_, err := buffers.WriteTo(conn)
	*remaining = buffers
	return err
}
