package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
	"lilacglade/internal/transient"
)

// leg is one connection, to a caller or to a next hop.
type connection struct {
	id          reducer.ConnID
	isClient    bool
	inbox       *inbox
	clock       clock
	socket      netpollConn  // nil until a dialed leg is open
	queuedBytes atomic.Int64 // bytes on their way to the reducer's goroutine
	discarding  atomic.Bool  // what still comes is dropped when it is read

	// Owned by the reducer's goroutine.
	parser                  http1.Parser
	lastRead                time.Time     // when the last bytes came in
	requestDelay            time.Duration // caller: how long before that its request may have come
	busy                    bool          // caller: a request is being worked on or answered; hop: an answer is owed
	closing                 bool          // nothing more is taken from it
	responseStarted         bool          // hop: the reducer knows that an answer of unknown length has begun
	interimResponses        int           // hop: 1xx answers before the one that counts
	isDetached, readPending bool          // raw: see raw.go
	streaming               bool          // raw: its bytes are read for a flow
	http10                  bool          // caller: what it asked last was HTTP/1.0
	headTime                time.Time     // caller: when the head came of the request that is coming in; zero: not yet
	requestID               string        // caller: the id of the request that it asked last
	upload                  *bodyStream   // hop: the upload that is on it

	// Set before the first event.
	waitingSince time.Time // caller: it may have waited since then to be accepted; zero: it has not
	acceptedAt   time.Time // and was then

	pollerClosed   atomic.Bool // the poller has ended the library's connection
	requestPending atomic.Bool // caller: as busy, for the poller's goroutines
	bufferedBytes  int         // bytes in the library's buffer; of the goroutine that writes
	onClosed       func()      // its descriptor is free again
	closeOnce      sync.Once

	mu              sync.Mutex
	buffersFreed    bool // the library's buffers are no longer to be touched
	detachRequested bool // it is to be detached from the library, or has been
	detaching       bool // it is being detached
	closedLocally   bool // it was closed here
	stdConn         net.Conn
	stdConnReady    chan struct{} // closed once raw is set, or could not be
	writing         bool
	jobs            []writeJob
}

// maxUnread is the largest message that is read, in any framing.
const maxQueuedBytes = http1.MaxHead + http1.MaxBody

// job is one gathered write.
type writeJob struct {
	buffers  [][]byte
	deadline time.Duration // on the proxy's clock
	report   bool          // post the end of it
	detach   bool          // detach the leg in place of writing
	stream   func()        // pass a flow on in place of writing
	tooLate  func() bool   // asked just before: it is too late to begin, and that was posted; nil: it never is
}

// attach hooks a leg into its connection. It must come before OnRequest is set.
func (c *connection) attach(socket netpoll.Connection, onClosed func()) {
	c.socket, c.onClosed, c.stdConnReady = socket, onClosed, make(chan struct{})
	if notifier, ok := socket.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		_ = notifier.SetOnDisconnect(func(context.Context, netpoll.Connection) { c.pollerClosed.Store(true) })
	}
	socket.AddCloseCallback(func(closed netpoll.Connection) error {
		c.onSocketClosed(closed)
		return nil
	})
}

// onRequest takes all bytes that have come. netpoll calls it again at once for as long as any
// are left, so a partial message must not stay behind in its buffer; and what it returns is
// only valid until Release, hence the copy. Guards against a sender that is faster than the reducer: who
// has more than the largest whole message on its way is read from no more until there is room; a caller who
// sends that much ahead is not worth it, and the rest is dropped.
func (c *connection) onRequest(_ context.Context, socket netpoll.Connection) error {
	readAt := time.Now()
	reader := socket.Reader()
	available := reader.Len()
	keep, overflow := available, available > maxQueuedBytes-int(c.queuedBytes.Load())
	if overflow && c.requestPending.Load() {
		keep = maxQueuedBytes - int(c.queuedBytes.Load())
	}
	if c.discarding.Load() {
		keep = 0
	}
	var data []byte
	if keep > 0 {
		chunk, err := reader.Next(keep)
		if err != nil {
			return err
		}
		data = append(make([]byte, 0, len(chunk)), chunk...)
	}
	if err := reader.Skip(available - len(data)); err != nil {
		return err
	}
	if err := reader.Release(); err != nil {
		return err
	}
	truncated := available > len(data) && !c.discarding.Swap(true)
	if truncated || len(data) > 0 {
		c.queuedBytes.Add(int64(len(data)))
		c.inbox.post(bytesIn{conn: c, data: data, truncated: truncated, readAt: readAt, delay: c.acceptDelay(readAt)})
	}
	if overflow && !truncated && !c.discarding.Load() {
		c.requestDetach(true)
	}
	return nil
}

// thereAtOnce is how soon after a connection is accepted bytes are read that had come before.
const immediateDataWindow = 50 * time.Millisecond

// lateness is how long before they were read bytes may have come. Guards against time that a caller has
// spent waiting to be accepted, while accepting failed, and that would be told to a server as left.
func (c *connection) acceptDelay(readAt time.Time) time.Duration {
	if c.waitingSince.IsZero() || readAt.Sub(c.acceptedAt) > immediateDataWindow {
		return 0
	}
	return readAt.Sub(c.waitingSince)
}

// write has the slices written in order, after what was asked for before. It never waits:
// netpoll's Flush does when the other side doesn't read, so it runs on a goroutine of its own.
func (c *connection) write(job writeJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs = append(c.jobs, job); !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

func (c *connection) writeLoop() {
	for {
		c.mu.Lock()
		if len(c.jobs) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		job := c.jobs[0]
		c.jobs = c.jobs[1:]
		c.mu.Unlock()
		switch {
		case job.detach:
			c.detach()
			continue
		case job.tooLate != nil && job.tooLate():
			continue
		case job.stream != nil:
			job.stream()
			continue
		}
		err := c.send(job.buffers, c.clock.until(job.deadline))
		if job.report {
			c.inbox.post(written{conn: c, err: err})
		}
	}
}

// fit tells whether a hop leg can carry a request: it is open, and nothing has come on it that
// the next request could take for its answer, neither here, nor on the way here, nor unread.
func (c *connection) usable() bool {
	return !c.discarding.Load() && c.idle()
}

// quiet tells whether a leg is open and nothing has come on it that was not taken as part of a message.
func (c *connection) idle() bool {
	if c.parser.Partial() || c.queuedBytes.Load() > 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stdConn != nil {
		return stdConnIdle(c.stdConn)
	}
	descriptor, ok := c.socket.(netpoll.Conn)
	if !ok || c.buffersFreed || c.detachRequested || c.socket.Reader().Len() > 0 {
		return false
	}
	var b [1]byte
	_, _, err := syscall.Recvfrom(descriptor.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// part ends sending; the other side reads what was sent and then the end.
func (c *connection) closeWrite() {
	c.closing = true
	c.discarding.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stdConn != nil {
		if tcpConn, ok := c.stdConn.(*net.TCPConn); ok {
			_ = tcpConn.CloseWrite()
		}
		go c.discardInput()
		return
	}
	if descriptor, ok := c.socket.(netpoll.Conn); ok && !c.buffersFreed {
		_ = syscall.Shutdown(descriptor.Fd(), syscall.SHUT_WR) // a leg that broke meanwhile says so itself
	}
}

// abort has a leg reset once it is closed. Guards against a caller that takes what it got for all of an
// answer that ends with its connection.
func (c *connection) resetOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tcpConn, ok := c.stdConn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0) // one that broke meanwhile was reset, or tells nobody anything any more
	} else if descriptor, ok := c.socket.(netpoll.Conn); ok && !c.buffersFreed {
		_ = syscall.SetsockoptLinger(descriptor.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// close ends a leg, open or not.
func (c *connection) close() {
	c.closing = true
	c.discarding.Store(true)
	c.mu.Lock()
	stdConn := c.stdConn
	c.closedLocally = true
	c.mu.Unlock()
	if stdConn != nil {
		_ = stdConn.Close()
		c.releaseDescriptor()
	} else if c.socket != nil {
		_ = c.socket.Close()
	}
}

// dial opens a leg by the given time.
func (c *connection) dial(address string, deadline time.Duration) {
	socket, err := dial(address, c.clock.until(deadline))
	if err != nil {
		c.inbox.post(dialed{conn: c, localFault: transient.Opening(err)})
		return
	}
	c.inbox.post(dialed{conn: c, socket: socket})
}

// open makes a dialed leg ready. It is called by the reducer's goroutine, so that closing it
// can't cross with its opening.
func (c *connection) open(socket netpoll.Connection) bool {
	// Guards against the library's reading megabytes ahead before a leg can be paused: it reads what the
	// kernel holds.
	if descriptor, ok := socket.(netpoll.Conn); ok {
		_ = syscall.SetsockoptInt(descriptor.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferSize)
	}
	c.attach(socket, func() {})
	if err := socket.SetOnRequest(c.onRequest); err != nil || !socket.IsActive() {
		c.close()
		return false
	}
	return true
}
