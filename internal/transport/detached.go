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

	"lilacglade/internal/http1"
)

// The library reads whatever arrives, as fast as it arrives. A connection that brings more than can
// be processed is detached from it: it goes on as a connection of the standard library, from which
// only as much is read as there is headroom for.

// readSize is the number of bytes that are read from a detached connection at a time.
const readSize = 16 << 10

// The library runs one poller. After a read it starts the connection's handler, which gets to run
// before the poller goes on. Otherwise the poller could read megabytes from a fast sender before a
// handler pauses it.
func init() {
	_ = netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: newLibraryLog(),
		Runner: func(_ context.Context, handle func()) {
			go handle()
			runtime.Gosched()
		}})
}

// barrier waits until the poller has finished the events that it was handling.
type barrier struct {
	mu   sync.Mutex
	conn netpoll.Connection // nil until it is first needed
	fd   int                // a write to it is an event of conn
	done chan struct{}
}

var pollerBarrier barrier

// wait returns once the poller handles events that arrived after the call.
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

// requestDetach detaches a connection from the library, after the writes that are queued on it. The
// bytes that were read until then are posted first, then detached.
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
	if inHandler { // what follows waits until the handler returns
		c.detach()
		return
	}
	go c.detach()
}

// detach has the library close its side of the connection; onSocketClosed does the rest.
func (c *connection) detach() {
	c.mu.Lock()
	c.detaching = true
	c.mu.Unlock()
	_ = c.socket.Close() // onSocketClosed, which it calls, keeps a duplicate of the descriptor
}

// onSocketClosed is the library's last callback for a connection: the library has closed it, or it
// was detached.
func (c *connection) onSocketClosed(socket netpoll.Connection) {
	// The poller may still be handling an event of the connection although it was unregistered,
	// unless the poller has closed the connection itself. Without the barrier the bytes that it
	// reads at this point would be lost.
	c.mu.Lock()
	detaching := c.detaching && !c.closedLocally
	c.mu.Unlock()
	if detaching {
		unregister(socket)
	}
	if detaching && !c.pollerClosed.Load() {
		if err := pollerBarrier.wait(); err != nil {
			log.Printf("a connection can't be detached: %v", err)
			c.close()
		}
	}
	descriptor, ok := socket.(netpoll.Conn)
	reset := !ok || wasReset(descriptor.Fd())
	// The library frees its buffers right after this: no writer may be filling them then.
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
	if n := reader.Len(); n > 0 && !c.discarding.Load() {
		if data, err := reader.Next(n); err == nil {
			c.postInput(bytesIn{data: append(make([]byte, 0, n), data...), readAt: time.Now()})
		}
	}
	c.inbox.post(detached{c})
}

// unregister removes a connection from the library's poller. A connection that was closed here
// while its handler returned stays registered: the library (0.7.2, onProcess) assumes that its
// poller closed it. Closing the descriptor doesn't help since duplicateConn keeps the file open,
// and events on that file would be delivered to the next connection that gets the same operator.
// The library has no call for this, so the operator is read from its field; a second removal does
// nothing.
func unregister(socket netpoll.Connection) {
	operator := reflect.Indirect(reflect.ValueOf(socket)).FieldByName("operator")
	if !operator.IsValid() || operator.Type() != reflect.TypeFor[*netpoll.FDOperator]() {
		log.Printf("netpoll has changed: a detached connection may still be registered with its poller")
		return
	}
	if err := (*netpoll.FDOperator)(operator.UnsafePointer()).Control(netpoll.PollDetach); err != nil {
		log.Printf("a connection can't be detached: %v", err)
	}
}

// duplicateConn makes a standard library connection from one of the library, which then closes only
// its own descriptor.
func duplicateConn(socket netpoll.Connection) (net.Conn, error) {
	descriptor, ok := socket.(netpoll.Conn)
	if !ok {
		return nil, syscall.EBADF
	}
	fd, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(descriptor.Fd()), syscall.F_DUPFD_CLOEXEC, 0)
	if errno != 0 {
		return nil, errno
	}
	file := os.NewFile(fd, "connection")
	defer file.Close() // FileConn duplicates the descriptor again
	return net.FileConn(file)
}

// readNext reads the next bytes of a detached connection on a goroutine of its own, unless a read
// is pending or a bodyStream reads the connection. The bytes are posted, and nothing more is read
// until they were handled.
func (c *connection) readNext() {
	if !c.mayRead() {
		return
	}
	c.startRead(bytesIn{}, func() int {
		if c.isClient && c.memory.isScarce() {
			return unpausedInput
		}
		return readSize
	})
}

// mayRead reports whether a read of a detached connection can be started.
func (c *connection) mayRead() bool {
	return c.isDetached && !c.readPending && !c.streaming && !c.closing
}

// startRead starts a read with a limit in bytes, which is asked for once bytes have arrived. What is posted
// is otherwise as given. mayRead must hold.
func (c *connection) startRead(input bytesIn, limit func() int) {
	c.readPending, input.fromDetached = true, true
	_ = c.stdConn.SetReadDeadline(time.Time{})
	go func() {
		var err error
		input.data, err = readArrivedBytes(c.stdConn, limit)
		input.readAt = time.Now()
		if len(input.data) > 0 || errors.Is(err, os.ErrDeadlineExceeded) { // interruptRead sets a deadline
			c.postInput(input)
			return
		}
		c.memory.addInput(-input.reserved)
		c.inbox.post(connClosed{c, err != io.EOF || stdConnReset(c.stdConn)})
	}()
}

// wasReset reports whether a connection that has no more input was reset instead of closed in good
// order. The first reader of a reset gets the error, and every read after it an end of file, so a
// truncated response without length could be taken for a complete one. The kernel still knows the
// peer of a connection that was closed, but not of one that was reset.
func wasReset(fd int) bool {
	_, err := syscall.Getpeername(fd)
	return err != nil
}

// stdConnReset is wasReset of a detached connection.
func stdConnReset(conn net.Conn) bool {
	reset := true
	if rawConn, err := conn.(syscall.Conn).SyscallConn(); err == nil {
		_ = rawConn.Control(func(fd uintptr) { reset = wasReset(int(fd)) })
	}
	return reset
}

// stdConnHungUp reports whether the other side of a detached connection has closed it, even if
// input is still unread.
func stdConnHungUp(conn net.Conn) (hungUp bool) {
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	_ = rawConn.Control(func(fd uintptr) { hungUp = peerHungUp(int(fd)) })
	return hungUp
}

// hungUp reports whether a client has closed its connection, even if input is still unread. The
// poller reports the same, but later: this is checked just before an attempt is sent.
func (c *connection) hungUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stdConn != nil {
		return stdConnHungUp(c.stdConn)
	}
	descriptor, ok := c.socket.(netpoll.Conn)
	return !ok || c.buffersFreed || peerHungUp(descriptor.Fd())
}

// peerHungUp reports whether the other side of a connection has closed it.
func peerHungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// stdConnIdle reports whether a detached connection is open and nothing has arrived on it. It is a
// function of its own so that its buffer is allocated on the heap for detached connections only.
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

// interruptRead ends a pending read: it returns what it has, possibly nothing.
func (c *connection) interruptRead() {
	if c.readPending {
		_ = c.stdConn.SetReadDeadline(pastDeadline())
	}
}

// maxDiscardedBytes is how much is read and dropped of a client that goes on sending after its last answer:
// the rest of the largest request. What exceeds it stays unread until the connection is closed.
const maxDiscardedBytes = http1.MaxStreamedBody

// startDiscarding starts to read and drop what arrives on a detached connection, once.
func (c *connection) startDiscarding() { c.discardOnce.Do(func() { go c.discardInput() }) }

// discardInput reads and drops what still arrives on a detached connection, until it is closed.
func (c *connection) discardInput() {
	_ = c.stdConn.SetReadDeadline(time.Time{})
	reader, err := newArrivedReader(c.stdConn)
	if err != nil {
		c.inbox.post(connClosed{c, true})
		return
	}
	for discarded := 0; discarded < maxDiscardedBytes; {
		buffer, n, err := reader.read(&readBuffers, nil)
		if err == nil {
			readBuffers.put(buffer)
		}
		if c.writeClosed.Load() {
			discarded += n
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.stdConn.SetReadDeadline(time.Time{}) // it was set for a stream that was stopped
		} else if err != nil {
			c.inbox.post(connClosed{c, true})
			return
		}
		yield()
	}
}
