package legs

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"lilacglade/internal/http1"
	"lilacglade/internal/proxystate"
)

// leg is one connection, to a caller or to a next hop.
type leg struct {
	id     proxystate.LegID
	caller bool
	inbox  *inbox
	conn   netpoll.Connection // nil until a dialed leg is open

	// Owned by the reducer's goroutine.
	parser http1.Parser
	read   time.Time // when the last bytes came in
	busy   bool      // a request is being worked on or answered
	parted bool      // what still comes is dropped

	mu      sync.Mutex
	gone    bool // its buffers are no longer to be touched
	writing bool
	jobs    []job
}

// job is one gathered write.
type job struct {
	bufs   [][]byte
	by     time.Time
	report bool // post the end of it
}

// attach hooks a leg into its connection. It must come before OnRequest is set.
func (g *leg) attach(conn netpoll.Connection) {
	g.conn = conn
	conn.AddCloseCallback(func(netpoll.Connection) error {
		// The library frees its buffers right after this: guards against a writer that is
		// filling them at that moment.
		g.mu.Lock()
		g.gone = true
		g.mu.Unlock()
		g.inbox.post(broken{g})
		return nil
	})
}

// onRequest takes all bytes that have come. netpoll calls it again at once for as long as any
// are left, so a partial message must not stay behind in its buffer; and what it returns is
// only valid until Release, hence the copy.
func (g *leg) onRequest(_ context.Context, conn netpoll.Connection) error {
	read := time.Now()
	r := conn.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	data := append(make([]byte, 0, len(b)), b...)
	if err := r.Release(); err != nil {
		return err
	}
	g.inbox.post(bytesIn{g, data, read})
	return nil
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
		ok := !g.gone && g.conn.IsActive()
		for _, b := range j.bufs {
			if !ok {
				break
			}
			_, err := g.conn.Writer().WriteBinary(b)
			ok = err == nil
		}
		g.mu.Unlock()
		if ok {
			ok = g.conn.SetWriteDeadline(j.by) == nil && g.conn.Writer().Flush() == nil
		}
		if j.report {
			g.inbox.post(written{g, ok})
		}
	}
}

// part ends sending; the other side reads what was sent and then the end.
func (g *leg) part() {
	g.parted = true
	g.mu.Lock()
	defer g.mu.Unlock()
	if c, ok := g.conn.(netpoll.Conn); ok && !g.gone {
		_ = syscall.Shutdown(c.Fd(), syscall.SHUT_WR) // a leg that broke meanwhile says so itself
	}
}

// close ends a leg, open or not.
func (g *leg) close() {
	g.parted = true
	if g.conn != nil {
		_ = g.conn.Close()
	}
}

// dial opens a leg by the given time.
func (g *leg) dial(address string, by time.Time) {
	conn, err := netpoll.DialConnection("tcp", address, time.Until(by)) // the library wants a time-out
	if err != nil {
		g.inbox.post(dialed{leg: g})
		return
	}
	g.inbox.post(dialed{g, conn})
}

// open makes a dialed leg ready. It is called by the reducer's goroutine, so that closing it
// can't cross with its opening.
func (g *leg) open(conn netpoll.Connection) bool {
	g.attach(conn)
	if err := conn.SetOnRequest(g.onRequest); err != nil || !conn.IsActive() {
		g.close()
		return false
	}
	return true
}
