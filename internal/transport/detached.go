package transport

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"reflect"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// The library reads whatever comes, as fast as it comes. A leg that brings more than that is detached
// from it and goes on as an ordinary connection, from which only what there is room for is read: it is
// raw.

// pullSize is what is read from a raw leg at a time.
const readSize = 16 << 10

// The library runs one poller. What it has read calls for the leg's handler, which is run before the
// poller goes on. Guards against a poller that reads megabytes from a fast sender before a handler gets
// to pause it.
func init() {
	_ = netpoll.Configure(netpoll.Config{PollerNum: 1, Runner: func(_ context.Context, handle func()) {
		go handle()
		runtime.Gosched()
	}})
}

// barrier tells when the poller is done with the events that it was handling.
type barrier struct {
	mu   sync.Mutex
	conn netpoll.Connection // nil until it is first needed
	fd   int                // writing here is an event of conn
	done chan struct{}
}

var pollerBarrier barrier

// wait returns once the poller handles events that came after the call.
func (b *barrier) wait() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn == nil {
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		socket, err := netpoll.NewFDConnection(fds[0])
		if err != nil {
			return err
		}
		b.fd, b.done = fds[1], make(chan struct{}, 1)
		if err := socket.SetOnRequest(func(_ context.Context, ready netpoll.Connection) error {
			err := ready.Reader().Skip(ready.Reader().Len())
			b.done <- struct{}{}
			return errors.Join(err, ready.Reader().Release())
		}); err != nil {
			return err
		}
		b.conn = socket
	}
	if _, err := syscall.Write(b.fd, []byte{1}); err != nil {
		return err
	}
	<-b.done
	return nil
}

// pause detaches a leg from the library, behind what is being written on it. Its bytes that were read by
// then come first, then detached.
func (c *connection) requestDetach(inHandler bool) {
	c.mu.Lock()
	if c.detachRequested || c.buffersFreed {
		c.mu.Unlock()
		return
	}
	c.detachRequested = true
	if c.writing {
		c.jobs = append(c.jobs, writeJob{detach: true})
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	if inHandler { // what follows waits until the handler is through
		c.detach()
		return
	}
	go c.detach()
}

func (c *connection) detach() {
	c.mu.Lock()
	c.detaching = true
	c.mu.Unlock()
	_ = c.socket.Close() // ended, which it calls, keeps a descriptor of the connection
}

// ended is the library's last call for a connection: it has closed it, or it was detached.
func (c *connection) onSocketClosed(socket netpoll.Connection) {
	// Guards against losing what the poller reads at this moment: it was told that it has nothing to do
	// with the connection any more, but may still be handling an event of it, unless it has ended it
	// itself.
	c.mu.Lock()
	detaching := c.detaching && !c.closedLocally
	c.mu.Unlock()
	if detaching {
		unregister(socket)
	}
	if detaching && !c.pollerClosed.Load() {
		if err := pollerBarrier.wait(); err != nil {
			log.Printf("a leg can't be detached: %v", err)
			c.close()
		}
	}
	descriptor, ok := socket.(netpoll.Conn)
	reset := !ok || wasReset(descriptor.Fd())
	// The library frees its buffers right after this: guards against a writer that is filling them at
	// that moment.
	c.mu.Lock()
	c.buffersFreed = true
	var err error
	if c.detachRequested && !c.closedLocally {
		c.stdConn, err = duplicateConn(socket)
	}
	kept := c.stdConn != nil
	close(c.stdConnReady)
	c.mu.Unlock()
	if err != nil || !kept {
		c.releaseDescriptor()
		c.inbox.post(connClosed{c, reset})
		return
	}
	reader := socket.Reader()
	if n := reader.Len(); n > 0 {
		if data, err := reader.Next(n); err == nil {
			c.queuedBytes.Add(int64(n))
			c.inbox.post(bytesIn{conn: c, data: append(make([]byte, 0, n), data...), readAt: time.Now()})
		}
	}
	c.inbox.post(detached{c})
}

// unregister has the library's poller look at a connection no more. Guards against a connection that was
// closed here in the moment in which its handler returned: the library (0.7.2, onProcess) takes it for one
// that its poller ended, and leaves it registered. To close its descriptor would put that right, but the
// file lives on in the one that own makes, and what happens on it would be told to the next connection that
// gets its operator. The library has no call for it, so the operator is read from its field; a second time
// it does nothing.
func unregister(socket netpoll.Connection) {
	operator := reflect.Indirect(reflect.ValueOf(socket)).FieldByName("operator")
	if !operator.IsValid() || operator.Type() != reflect.TypeFor[*netpoll.FDOperator]() {
		log.Printf("the library has changed: a detached leg may still be looked at")
		return
	}
	if err := (*netpoll.FDOperator)(operator.UnsafePointer()).Control(netpoll.PollDetach); err != nil {
		log.Printf("a leg can't be detached: %v", err)
	}
}

// own makes an ordinary connection of the library's, which then closes its own descriptor only.
func duplicateConn(socket netpoll.Connection) (net.Conn, error) {
	descriptor, ok := socket.(netpoll.Conn)
	if !ok {
		return nil, syscall.EBADF
	}
	fd, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(descriptor.Fd()), syscall.F_DUPFD_CLOEXEC, 0)
	if errno != 0 {
		return nil, errno
	}
	file := os.NewFile(fd, "leg")
	defer file.Close() // the connection gets one more, of its own
	return net.FileConn(file)
}

// over tells, once, that a leg's descriptor is free again.
func (c *connection) releaseDescriptor() { c.closeOnce.Do(c.onClosed) }

// pull reads the next bytes of a raw leg, on a goroutine of its own, unless that is under way or the leg is
// being read for a stream. What comes is posted, and nothing more is read until it was looked at.
func (c *connection) readNext() {
	if !c.isDetached || c.readPending || c.streaming || c.closing {
		return
	}
	c.readPending = true
	_ = c.stdConn.SetReadDeadline(time.Time{})
	go func() {
		buffer := make([]byte, readSize)
		n, err := c.stdConn.Read(buffer)
		if n > 0 || errors.Is(err, os.ErrDeadlineExceeded) { // hush sets one
			c.queuedBytes.Add(int64(n))
			c.inbox.post(bytesIn{conn: c, data: buffer[:n], readAt: time.Now(), fromDetached: true})
			return
		}
		if err != nil {
			c.inbox.post(connClosed{c, err != io.EOF || stdConnReset(c.stdConn)})
		}
	}()
}

// wasReset tells whether a connection on which nothing more comes was reset, not ended by the other side in
// good order. Guards against an answer without length that is taken for whole where it was cut off: whoever
// reads first takes the error, and every read after it finds an end. The kernel still knows the peer of a
// connection that was ended, and none of one that was reset.
func wasReset(fd int) bool {
	_, err := syscall.Getpeername(fd)
	return err != nil
}

// rawReset is wasReset of a raw connection.
func stdConnReset(conn net.Conn) bool {
	reset := true
	if rawConn, err := conn.(syscall.Conn).SyscallConn(); err == nil {
		_ = rawConn.Control(func(fd uintptr) { reset = wasReset(int(fd)) })
	}
	return reset
}

// rawLeft tells whether the other side of a raw connection has ended it, whatever of it is still unread.
func stdConnHungUp(conn net.Conn) (hungUp bool) {
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	_ = rawConn.Control(func(fd uintptr) { hungUp = peerHungUp(int(fd)) })
	return hungUp
}

// left tells whether a caller has ended its connection, whatever of it is still unread. The poller tells the
// same, but later: it is asked just before an attempt is sent.
func (c *connection) hungUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stdConn != nil {
		return stdConnHungUp(c.stdConn)
	}
	descriptor, ok := c.socket.(netpoll.Conn)
	return !ok || c.buffersFreed || peerHungUp(descriptor.Fd())
}

// hungUp tells whether the other side of a connection has ended it.
func peerHungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// rawQuiet tells whether a raw connection is open and nothing has come on it. It stands apart so that
// the byte that it looks at is on the heap for raw legs only.
func stdConnIdle(conn net.Conn) bool {
	var b [1]byte
	err := error(syscall.EBADF)
	if rawConn, controlErr := conn.(syscall.Conn).SyscallConn(); controlErr == nil {
		_ = rawConn.Control(func(fd uintptr) {
			_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
	}
	return err == syscall.EAGAIN
}

// hush ends a pull that waits: it brings what it has, perhaps nothing.
func (c *connection) interruptRead() {
	if c.readPending {
		_ = c.stdConn.SetReadDeadline(pastDeadline())
	}
}

// drain reads and forgets what still comes on a raw leg that was parted, until it is closed.
func (c *connection) discardInput() {
	_ = c.stdConn.SetReadDeadline(time.Time{})
	buffer := make([]byte, readSize)
	for {
		if _, err := c.stdConn.Read(buffer); errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.stdConn.SetReadDeadline(time.Time{}) // it was set for a flow that was stopped
		} else if err != nil {
			c.inbox.post(connClosed{c, true})
			return
		}
	}
}
