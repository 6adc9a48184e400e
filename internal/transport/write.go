package transport

import (
	"errors"
	"net"
	"os"
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

// send writes the buffers in order. It waits until they are written, as long as the limit allows, or
// until the connection is closed.
func (c *connection) send(buffers [][]byte, limit writeLimit) error {
	wait := newWriteWait(limit)
	if wait.expired(wait.movedAt) {
		return errDeadlinePassed
	}
	for delay := initialRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := c.trySend(&buffers, &wait)
		if err == nil || !transient.Transfer(err) || wait.expired(time.Now().Add(delay)) {
			return err
		}
		time.Sleep(delay)
	}
}

// trySend writes as much as possible and removes it from remaining. After a transient error it may
// be called again.
func (c *connection) trySend(remaining *[][]byte, wait *writeWait) error {
	c.mu.Lock()
	if c.detaching && !c.buffersFreed { // being detached
		c.mu.Unlock()
		<-c.stdConnReady
		c.mu.Lock()
	}
	if stdConn := c.stdConn; stdConn != nil {
		c.mu.Unlock()
		return sendStd(stdConn, remaining, wait)
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
	if err = c.flush(wait); err == nil {
		c.bufferedBytes = 0
	}
	return err
}

// flush has the library write what it has buffered. The library can only wait until all of it is
// written or a timeout has passed, and can't go on after that: so it is given the deadline, and a
// connection whose other side takes nothing is closed meanwhile.
func (c *connection) flush(wait *writeWait) error {
	timeout := wait.untilDeadline(time.Now())
	if wait.limit.stall <= 0 {
		return flush(c.socket, timeout)
	}
	watched := *wait // on the heap, but only if a write has to wait
	done, stalled := make(chan struct{}), make(chan bool)
	go func() { stalled <- c.closeWhenStalled(&watched, done) }()
	err := flush(c.socket, timeout)
	close(done)
	if <-stalled {
		return errStalled
	}
	return err
}

// closeWhenStalled closes a connection once its other side has taken nothing for too long, and reports
// whether it has. It returns when the connection is closed or done is.
func (c *connection) closeWhenStalled(wait *writeWait, done <-chan struct{}) bool {
	ticker := time.NewTicker(wait.limit.stall / stallChecks)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return false
		case <-ticker.C:
		}
		if !c.lookAtQueue(wait) {
			return false
		}
		if wait.stalled(time.Now()) {
			// The rest must not look like the whole of an answer that the connection's end delimits.
			c.resetOnClose()
			c.closeSocket()
			return true
		}
	}
}

// lookAtQueue checks whether the other side has taken bytes. It returns false if the connection is
// closed.
func (c *connection) lookAtQueue(wait *writeWait) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	descriptor, ok := c.socket.(netpoll.Conn)
	if !ok || c.buffersFreed {
		return false
	}
	wait.look(unacknowledged(descriptor.Fd()), time.Now())
	return true
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
func sendStd(conn net.Conn, remaining *[][]byte, wait *writeWait) error {
	buffers := net.Buffers(slices.Clone(*remaining)) // WriteTo removes what it has written
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(wait.untilLook(time.Now()))); err != nil {
			return err
		}
		n, err := buffers.WriteTo(conn)
		*remaining = buffers
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if n > 0 {
			wait.moved(time.Now())
		} else if err := lookAtStdQueue(conn, wait); err != nil {
			return err
		}
		if wait.stalled(time.Now()) {
			return errStalled
		}
		if wait.expired(time.Now()) {
			return err
		}
	}
}

// lookAtStdQueue is lookAtQueue of a connection of the standard library.
func lookAtStdQueue(conn net.Conn, wait *writeWait) error {
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	queued := unknownQueue
	err = rawConn.Control(func(fd uintptr) { queued = unacknowledged(int(fd)) })
	wait.look(queued, time.Now())
	return err
}
