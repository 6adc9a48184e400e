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

// Pauses between tries of a write that the system could not do for the moment.
const (
	initialRetryDelay = 200 * time.Microsecond
	maxRetryDelay     = 10 * time.Millisecond
)

// send writes the slices in order. It waits until they are written, so long at most, or until the leg is
// gone.
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

// sendOnce writes as much as can be written, and takes it from rest. An error that passes may be followed by
// another try.
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

// writeNow writes what the kernel takes at once, past the library, which ends a connection at an error that
// passes. EAGAIN says that the kernel takes no more for now. The caller holds g.mu, so that the descriptor
// is still the connection's.
func (c *connection) writeNonblocking(remaining *[][]byte) error {
	descriptor, ok := c.socket.(netpoll.Conn)
	if !ok || c.buffersFreed || !c.socket.IsActive() {
		return net.ErrClosed
	}
	if c.bufferedBytes > 0 { // what went to the library before comes first
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

// mostSlices are handed to the kernel at a time.
const maxVectors = 16

// sendNow hands slices to the kernel. The call never waits, and is made without telling the scheduler: with
// one processor another goroutine would go on first, and the reducer would hear of the client's next request
// before it hears that this answer was written.
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

// without is slices less their first bytes. It leaves the given ones as they are.
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

// fill puts the slices into the library's buffer. The caller holds g.mu.
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

// sendRaw writes to a connection of the standard library, and takes what was written from rest.
func sendStd(conn net.Conn, remaining *[][]byte, deadline time.Time) error {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	buffers := net.Buffers(slices.Clone(*remaining)) // what it has written it takes out of them
	_, err := buffers.WriteTo(conn)
	*remaining = buffers
	return err
}
