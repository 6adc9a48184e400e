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
const pullSize = 16 << 10

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
	mu     sync.Mutex
	conn   netpoll.Connection // nil until it is first needed
	fd     int                // writing here is an event of conn
	passed chan struct{}
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
		conn, err := netpoll.NewFDConnection(fds[0])
		if err != nil {
			return err
		}
		b.fd, b.passed = fds[1], make(chan struct{}, 1)
		if err := conn.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
			err := c.Reader().Skip(c.Reader().Len())
			b.passed <- struct{}{}
			return errors.Join(err, c.Reader().Release())
		}); err != nil {
			return err
		}
		b.conn = conn
	}
	if _, err := syscall.Write(b.fd, []byte{1}); err != nil {
		return err
	}
	<-b.passed
	return nil
}

// pause detaches a leg from the library, behind what is being written on it. Its bytes that were read by
// then come first, then detached.
func (g *leg) pause(handling bool) {
	g.mu.Lock()
	if g.pausing || g.gone {
		g.mu.Unlock()
		return
	}
	g.pausing = true
	if g.writing {
		g.jobs = append(g.jobs, job{detach: true})
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	if handling { // what follows waits until the handler is through
		g.detach()
		return
	}
	go g.detach()
}

func (g *leg) detach() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	_ = g.conn.Close() // ended, which it calls, keeps a descriptor of the connection
}

// ended is the library's last call for a connection: it has closed it, or it was detached.
func (g *leg) ended(conn netpoll.Connection) {
	// Guards against losing what the poller reads at this moment: it was told that it has nothing to do
	// with the connection any more, but may still be handling an event of it, unless it has ended it
	// itself.
	g.mu.Lock()
	leaving := g.leaving && !g.shut
	g.mu.Unlock()
	if leaving {
		unregister(conn)
	}
	if leaving && !g.hup.Load() {
		if err := pollerBarrier.wait(); err != nil {
			log.Printf("a leg can't be detached: %v", err)
			g.close()
		}
	}
	c, ok := conn.(netpoll.Conn)
	reset := !ok || wasReset(c.Fd())
	// The library frees its buffers right after this: guards against a writer that is filling them at
	// that moment.
	g.mu.Lock()
	g.gone = true
	var err error
	if g.pausing && !g.shut {
		g.raw, err = own(conn)
	}
	kept := g.raw != nil
	close(g.rawSet)
	g.mu.Unlock()
	if err != nil || !kept {
		g.over()
		g.inbox.post(broken{g, reset})
		return
	}
	r := conn.Reader()
	if n := r.Len(); n > 0 {
		if b, err := r.Next(n); err == nil {
			g.unread.Add(int64(n))
			g.inbox.post(bytesIn{leg: g, data: append(make([]byte, 0, n), b...), read: time.Now()})
		}
	}
	g.inbox.post(detached{g})
}

// unregister has the library's poller look at a connection no more. Guards against a connection that was
// closed here in the moment in which its handler returned: the library (0.7.2, onProcess) takes it for one
// that its poller ended, and leaves it registered. To close its descriptor would put that right, but the
// file lives on in the one that own makes, and what happens on it would be told to the next connection that
// gets its operator. The library has no call for it, so the operator is read from its field; a second time
// it does nothing.
func unregister(conn netpoll.Connection) {
	op := reflect.Indirect(reflect.ValueOf(conn)).FieldByName("operator")
	if !op.IsValid() || op.Type() != reflect.TypeFor[*netpoll.FDOperator]() {
		log.Printf("the library has changed: a detached leg may still be looked at")
		return
	}
	if err := (*netpoll.FDOperator)(op.UnsafePointer()).Control(netpoll.PollDetach); err != nil {
		log.Printf("a leg can't be detached: %v", err)
	}
}

// own makes an ordinary connection of the library's, which then closes its own descriptor only.
func own(conn netpoll.Connection) (net.Conn, error) {
	c, ok := conn.(netpoll.Conn)
	if !ok {
		return nil, syscall.EBADF
	}
	fd, _, no := syscall.Syscall(syscall.SYS_FCNTL, uintptr(c.Fd()), syscall.F_DUPFD_CLOEXEC, 0)
	if no != 0 {
		return nil, no
	}
	f := os.NewFile(fd, "leg")
	defer f.Close() // the connection gets one more, of its own
	return net.FileConn(f)
}

// over tells, once, that a leg's descriptor is free again.
func (g *leg) over() { g.ending.Do(g.closed) }

// pull reads the next bytes of a raw leg, on a goroutine of its own, unless that is under way or the leg is
// being read for a stream. What comes is posted, and nothing more is read until it was looked at.
func (g *leg) pull() {
	if !g.isRaw || g.pulling || g.streaming || g.parted {
		return
	}
	g.pulling = true
	_ = g.raw.SetReadDeadline(time.Time{})
	go func() {
		b := make([]byte, pullSize)
		n, err := g.raw.Read(b)
		if n > 0 || errors.Is(err, os.ErrDeadlineExceeded) { // hush sets one
			g.unread.Add(int64(n))
			g.inbox.post(bytesIn{leg: g, data: b[:n], read: time.Now(), pulled: true})
			return
		}
		if err != nil {
			g.inbox.post(broken{g, err != io.EOF || rawReset(g.raw)})
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
func rawReset(conn net.Conn) bool {
	reset := true
	if raw, err := conn.(syscall.Conn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { reset = wasReset(int(fd)) })
	}
	return reset
}

// rawLeft tells whether the other side of a raw connection has ended it, whatever of it is still unread.
func rawLeft(conn net.Conn) (left bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	_ = raw.Control(func(fd uintptr) { left = hungUp(int(fd)) })
	return left
}

// left tells whether a caller has ended its connection, whatever of it is still unread. The poller tells the
// same, but later: it is asked just before an attempt is sent.
func (g *leg) left() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.raw != nil {
		return rawLeft(g.raw)
	}
	c, ok := g.conn.(netpoll.Conn)
	return !ok || g.gone || hungUp(c.Fd())
}

// hungUp tells whether the other side of a connection has ended it.
func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// rawQuiet tells whether a raw connection is open and nothing has come on it. It stands apart so that
// the byte that it looks at is on the heap for raw legs only.
func rawQuiet(conn net.Conn) bool {
	var b [1]byte
	err := error(syscall.EBADF)
	if raw, no := conn.(syscall.Conn).SyscallConn(); no == nil {
		_ = raw.Control(func(fd uintptr) {
			_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
	}
	return err == syscall.EAGAIN
}

// hush ends a pull that waits: it brings what it has, perhaps nothing.
func (g *leg) hush() {
	if g.pulling {
		_ = g.raw.SetReadDeadline(past())
	}
}

// drain reads and forgets what still comes on a raw leg that was parted, until it is closed.
func (g *leg) drain() {
	_ = g.raw.SetReadDeadline(time.Time{})
	b := make([]byte, pullSize)
	for {
		if _, err := g.raw.Read(b); errors.Is(err, os.ErrDeadlineExceeded) {
			_ = g.raw.SetReadDeadline(time.Time{}) // it was set for a flow that was stopped
		} else if err != nil {
			g.inbox.post(broken{g, true})
			return
		}
	}
}
