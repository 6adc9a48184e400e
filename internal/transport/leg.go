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
type leg struct {
	id     reducer.LegID
	caller bool
	inbox  *inbox
	clock  clock
	conn   connection   // nil until a dialed leg is open
	unread atomic.Int64 // bytes on their way to the reducer's goroutine
	deaf   atomic.Bool  // what still comes is dropped when it is read

	// Owned by the reducer's goroutine.
	parser         http1.Parser
	read           time.Time     // when the last bytes came in
	late           time.Duration // caller: how long before that its request may have come
	busy           bool          // caller: a request is being worked on or answered; hop: an answer is owed
	parted         bool          // nothing more is taken from it
	begun          bool          // hop: the reducer knows that an answer of unknown length has begun
	early          int           // hop: 1xx answers before the one that counts
	isRaw, pulling bool          // raw: see raw.go
	streaming      bool          // raw: its bytes are read for a flow
	old            bool          // caller: what it asked last was HTTP/1.0
	headAt         time.Time     // caller: when the head came of the request that is coming in; zero: not yet
	asked          string        // caller: the id of the request that it asked last
	flow           *flow         // hop: the upload that is on it

	// Set before the first event.
	waited time.Time // caller: it may have waited since then to be accepted; zero: it has not
	taken  time.Time // and was then

	hup      atomic.Bool // the poller has ended the library's connection
	asking   atomic.Bool // caller: as busy, for the poller's goroutines
	buffered int         // bytes in the library's buffer; of the goroutine that writes
	closed   func()      // its descriptor is free again
	ending   sync.Once

	mu      sync.Mutex
	gone    bool // the library's buffers are no longer to be touched
	pausing bool // it is to be detached from the library, or has been
	leaving bool // it is being detached
	shut    bool // it was closed here
	raw     net.Conn
	rawSet  chan struct{} // closed once raw is set, or could not be
	writing bool
	jobs    []job
}

// maxUnread is the largest message that is read, in any framing.
const maxUnread = http1.MaxHead + http1.MaxBody

// job is one gathered write.
type job struct {
	bufs   [][]byte
	by     time.Duration // on the proxy's clock
	report bool          // post the end of it
	detach bool          // detach the leg in place of writing
	pass   func()        // pass a flow on in place of writing
	late   func() bool   // asked just before: it is too late to begin, and that was posted; nil: it never is
}

// attach hooks a leg into its connection. It must come before OnRequest is set.
func (g *leg) attach(conn netpoll.Connection, closed func()) {
	g.conn, g.closed, g.rawSet = conn, closed, make(chan struct{})
	if c, ok := conn.(interface {
		SetOnDisconnect(netpoll.OnDisconnect) error
	}); ok {
		_ = c.SetOnDisconnect(func(context.Context, netpoll.Connection) { g.hup.Store(true) })
	}
	conn.AddCloseCallback(func(c netpoll.Connection) error {
		g.ended(c)
		return nil
	})
}

// onRequest takes all bytes that have come. netpoll calls it again at once for as long as any
// are left, so a partial message must not stay behind in its buffer; and what it returns is
// only valid until Release, hence the copy. Guards against a sender that is faster than the reducer: who
// has more than the largest whole message on its way is read from no more until there is room; a caller who
// sends that much ahead is not worth it, and the rest is dropped.
func (g *leg) onRequest(_ context.Context, conn netpoll.Connection) error {
	read := time.Now()
	r := conn.Reader()
	n := r.Len()
	take, much := n, n > maxUnread-int(g.unread.Load())
	if much && g.asking.Load() {
		take = maxUnread - int(g.unread.Load())
	}
	if g.deaf.Load() {
		take = 0
	}
	var data []byte
	if take > 0 {
		b, err := r.Next(take)
		if err != nil {
			return err
		}
		data = append(make([]byte, 0, len(b)), b...)
	}
	if err := r.Skip(n - len(data)); err != nil {
		return err
	}
	if err := r.Release(); err != nil {
		return err
	}
	cut := n > len(data) && !g.deaf.Swap(true)
	if cut || len(data) > 0 {
		g.unread.Add(int64(len(data)))
		g.inbox.post(bytesIn{leg: g, data: data, cut: cut, read: read, late: g.lateness(read)})
	}
	if much && !cut && !g.deaf.Load() {
		g.pause(true)
	}
	return nil
}

// thereAtOnce is how soon after a connection is accepted bytes are read that had come before.
const thereAtOnce = 50 * time.Millisecond

// lateness is how long before they were read bytes may have come. Guards against time that a caller has
// spent waiting to be accepted, while accepting failed, and that would be told to a server as left.
func (g *leg) lateness(read time.Time) time.Duration {
	if g.waited.IsZero() || read.Sub(g.taken) > thereAtOnce {
		return 0
	}
	return read.Sub(g.waited)
}

// write has the slices written in order, after what was asked for before. It never waits:
// netpoll's Flush does when the other side doesn't read, so it runs on a goroutine of its own.
func (g *leg) write(j job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs = append(g.jobs, j); !g.writing {
		g.writing = true
		go g.flush()
	}
}

func (g *leg) flush() {
	for {
		g.mu.Lock()
		if len(g.jobs) == 0 {
			g.writing = false
			g.mu.Unlock()
			return
		}
		j := g.jobs[0]
		g.jobs = g.jobs[1:]
		g.mu.Unlock()
		switch {
		case j.detach:
			g.detach()
			continue
		case j.late != nil && j.late():
			continue
		case j.pass != nil:
			j.pass()
			continue
		}
		err := g.send(j.bufs, g.clock.until(j.by))
		if j.report {
			g.inbox.post(written{leg: g, err: err})
		}
	}
}

// fit tells whether a hop leg can carry a request: it is open, and nothing has come on it that
// the next request could take for its answer, neither here, nor on the way here, nor unread.
func (g *leg) fit() bool {
	return !g.deaf.Load() && g.quiet()
}

// quiet tells whether a leg is open and nothing has come on it that was not taken as part of a message.
func (g *leg) quiet() bool {
	if g.parser.Partial() || g.unread.Load() > 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.raw != nil {
		return rawQuiet(g.raw)
	}
	c, ok := g.conn.(netpoll.Conn)
	if !ok || g.gone || g.pausing || g.conn.Reader().Len() > 0 {
		return false
	}
	var b [1]byte
	_, _, err := syscall.Recvfrom(c.Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// part ends sending; the other side reads what was sent and then the end.
func (g *leg) part() {
	g.parted = true
	g.deaf.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.raw != nil {
		if c, ok := g.raw.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
		go g.drain()
		return
	}
	if c, ok := g.conn.(netpoll.Conn); ok && !g.gone {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR) // a leg that broke meanwhile says so itself
	}
}

// abort has a leg reset once it is closed. Guards against a caller that takes what it got for all of an
// answer that ends with its connection.
func (g *leg) abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.raw.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // one that broke meanwhile was reset, or tells nobody anything any more
	} else if c, ok := g.conn.(netpoll.Conn); ok && !g.gone {
		_ = syscall.SetsockoptLinger(c.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// close ends a leg, open or not.
func (g *leg) close() {
	g.parted = true
	g.deaf.Store(true)
	g.mu.Lock()
	raw := g.raw
	g.shut = true
	g.mu.Unlock()
	if raw != nil {
		_ = raw.Close()
		g.over()
	} else if g.conn != nil {
		_ = g.conn.Close()
	}
}

// dial opens a leg by the given time.
func (g *leg) dial(address string, by time.Duration) {
	conn, err := dial(address, g.clock.until(by))
	if err != nil {
		g.inbox.post(dialed{leg: g, local: transient.Opening(err)})
		return
	}
	g.inbox.post(dialed{leg: g, conn: conn})
}

// open makes a dialed leg ready. It is called by the reducer's goroutine, so that closing it
// can't cross with its opening.
func (g *leg) open(conn netpoll.Connection) bool {
	// Guards against the library's reading megabytes ahead before a leg can be paused: it reads what the
	// kernel holds.
	if c, ok := conn.(netpoll.Conn); ok {
		_ = syscall.SetsockoptInt(c.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, recvBuffer)
	}
	g.attach(conn, func() {})
	if err := conn.SetOnRequest(g.onRequest); err != nil || !conn.IsActive() {
		g.close()
		return false
	}
	return true
}
