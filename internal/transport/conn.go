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

// connection is one connection, to a client or to a server.
type connection struct {
	id          reducer.ConnID
	isClient    bool
	inbox       *inbox
	memory      *requestMemory
	clock       clock
	socket      netpollConn  // nil until a dialed connection is open
	queuedBytes atomic.Int64 // bytes on their way to the reducer's goroutine
	discarding  atomic.Bool  // input is dropped when it is read
	writeClosed atomic.Bool  // closeWrite was called

	// Owned by the reducer's goroutine.
	parser                  http1.Parser
	arrivals                arrivals      // client: when its bytes were read
	requestDelay            time.Duration // client: how long before they were read they may have arrived
	busy                    bool          // client: a request is pending; server: a response is pending
	closing                 bool          // no more input is accepted
	responseStarted         bool          // server: a response of unknown length has started and was reported
	interimResponses        int           // server: 1xx responses before the final one
	isDetached, readPending bool          // readPending: readNext is reading; see detached.go
	streaming               bool          // detached: a bodyStream reads its bytes
	http10                  bool          // client: its last request was HTTP/1.0
	headTime                time.Time     // client: when the incoming request's head was read; zero: not yet
	requestID               string        // client: the id of its last request
	upload                  *bodyStream   // server: the upload that is being written to it
	messageMemory           int           // bytes held by the message that is in progress on it,
	uploadMemory            int           // or, until it is answered, by what was read of a streamed request
	countedInput            int           // bytes that are counted in memory of what its parser holds,
	countedMessage          int           // and of messageMemory
	memoryReleased          bool          // nothing of it is counted any more
	pause                   readPause     // client: see pausedreads.go

	// Set before the first event.
	waitingSince time.Time // client: it may have waited since then to be accepted; zero: it has not
	acceptedAt   time.Time // client: when it was accepted

	pollerClosed   atomic.Bool // the poller has closed the library's connection
	requestPending atomic.Bool // client: same as busy, for the poller's goroutines
	bufferedBytes  int         // bytes in the library's buffer; owned by the goroutine that writes
	onClosed       func()      // called once its descriptor is free again
	closeOnce      sync.Once
	discardOnce    sync.Once

	mu              sync.Mutex
	buffersFreed    bool // the library's buffers must not be touched any more
	detachRequested bool // it is to be detached from the library, or has been
	detaching       bool // it is being detached
	closedLocally   bool // it was closed by this process
	stdConn         net.Conn
	stdConnReady    chan struct{} // closed once stdConn is set, or could not be
	writing         bool
	jobs            []writeJob
}

// maxQueuedBytes is the size of the largest message that is read, in any framing.
const maxQueuedBytes = http1.MaxHead + http1.MaxBody

// writeJob is one gathered write, or another action in the order of the writes.
type writeJob struct {
	buffers  [][]byte
	deadline time.Duration // on the proxy's clock; 0: it may wait for as long as the other side takes bytes
	report   bool          // post a written item at the end
	detach   bool          // detach the connection instead of writing
	stream   func()        // stream a body instead of writing
	// tooLate is called just before writing; nil: it is never too late. If it returns true, the write is
	// skipped, and an item that reports so was posted.
	tooLate func() bool
}

// attach installs the callbacks of a connection's socket. It must be called before SetOnRequest.
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

// onRequest reads all available bytes. netpoll calls it again at once for as long as any are left,
// so a partial message must not stay in its buffer. The bytes are valid only until Release, hence
// the copy.
//
// A sender that is faster than the reducer must not fill the memory. A connection with more than the
// largest whole message on its way to the reducer is not read until there is headroom. If a client
// sends that much ahead while its request is pending, the rest is dropped.
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
	crowded := c.isClient && c.memory.isScarce() && int(c.queuedBytes.Load())+available >= unpausedInput
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
		c.postInput(bytesIn{data: data, truncated: truncated, readAt: readAt, delay: c.acceptDelay(readAt)})
	}
	switch {
	case c.discarding.Load(): // the library would go on reading as much as the client sends
		if c.isClient {
			c.requestDetach(true)
		}
	case crowded, overflow && !truncated:
		c.requestDetach(true)
	}
	return nil
}

// postInput posts bytes that were read to the reducer's goroutine.
func (c *connection) postInput(input bytesIn) {
	input.conn = c
	c.queuedBytes.Add(int64(len(input.data)))
	c.memory.addInput(len(input.data))
	c.inbox.post(input)
}

// immediateDataWindow is how soon after a connection was accepted bytes are read that had arrived
// before.
const immediateDataWindow = 50 * time.Millisecond

// acceptDelay returns how long before they were read bytes may have arrived: while accepting failed, the
// client had to wait. Otherwise that time would be reported to a server as still left.
func (c *connection) acceptDelay(readAt time.Time) time.Duration {
	if c.waitingSince.IsZero() || readAt.Sub(c.acceptedAt) > immediateDataWindow {
		return 0
	}
	return readAt.Sub(c.waitingSince)
}

// write queues the buffers to be written in order, after the writes queued before. It never waits:
// netpoll's Flush does when the other side doesn't read, so the writes run on a goroutine of their
// own.
func (c *connection) write(job writeJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs = append(c.jobs, job); !c.writing {
		c.writing = true
		go c.writeLoop()
	}
}

// writeLoop runs the queued jobs in order and ends when none is left.
func (c *connection) writeLoop() {
	for {
		c.mu.Lock()
		if len(c.jobs) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		job := c.jobs[0]
		c.jobs[0] = writeJob{} // an idle connection must not keep the last message that it carried
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
		err := c.send(job.buffers, c.limit(job))
		if job.report {
			c.inbox.post(written{conn: c, err: err})
		}
	}
}

// limit returns how long a job's write may wait.
func (c *connection) limit(job writeJob) writeLimit {
	if job.deadline == 0 {
		return writeLimit{stall: stallTimeout}
	}
	return writeLimit{deadline: time.Now().Add(c.clock.until(job.deadline))}
}

// usable reports whether a server connection can carry a request: it is open, and nothing has
// arrived on it that the next request could take for its response, neither in the parser nor on its
// way there nor unread.
func (c *connection) usable() bool {
	return !c.discarding.Load() && c.idle()
}

// idle reports whether a connection is open and nothing has arrived on it that is not part of a
// complete message.
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

// dial opens a connection to a server before the deadline.
func (c *connection) dial(address string, deadline time.Duration) {
	socket, err := dial(address, c.clock.until(deadline))
	if err != nil {
		c.inbox.post(dialed{conn: c, localFault: transient.Opening(err)})
		return
	}
	c.inbox.post(dialed{conn: c, socket: socket})
}

// open makes a dialed connection ready. The reducer's goroutine calls it, so that closing a
// connection can't race with opening it.
func (c *connection) open(socket netpoll.Connection) bool {
	// The library reads whatever the kernel holds. Without this limit it would read megabytes ahead
	// before a connection can be paused.
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
