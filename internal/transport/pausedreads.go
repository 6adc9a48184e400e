package transport

import (
	"slices"
	"syscall"
	"time"

	"lilacglade/internal/reducer"
)

// While unfinished requests hold much memory (requestMemory.isScarce), a client connection is detached and
// read no further once it has brought unpausedInput bytes of a request that is incomplete. What its client
// sends stays with the kernel, which lets the client wait when its buffer is full. A request that has arrived
// whole is read all the same: it is answered soon, whereas an incomplete one may never be. So clients that
// stop in the middle of their requests cost others nothing but the time until the next look.

// unpausedInput is how many bytes of a request are always read.
const unpausedInput = 4 << 10

// pausedLookInterval is the time between two looks at paused connections.
const pausedLookInterval = 20 * time.Millisecond

// pausedReceiveBuffer is the kernel's receive buffer of a paused connection in bytes: the largest request
// that is not streamed fits into what it lets the client send.
const pausedReceiveBuffer = 2 * receiveBufferSize

// readPause is the state of a client connection that is paused. The reducer's goroutine owns it.
type readPause struct {
	active   bool
	unread   int       // bytes that lay unread in the kernel at the last look
	lookedAt time.Time // when that was; until then, when bytes were last read
}

// pausedReads are the paused connections, in the order in which they were paused.
type pausedReads struct {
	conns     []*connection
	scheduled bool // a pausedReadsDue item is posted or will be
}

// readOn reads on on a connection if it is detached: otherwise the library does. It pauses one that brings an
// incomplete request while memory is scarce.
func (p *proxy) readOn(conn *connection) {
	if !conn.isClient || !conn.parser.Partial() || !p.memory.isScarce() {
		conn.pause = readPause{}
		conn.readNext()
		return
	}
	if !conn.isDetached {
		if conn.parser.Buffered() >= unpausedInput {
			conn.requestDetach(false)
		}
		return
	}
	if !conn.mayRead() || conn.pause.active {
		return
	}
	conn.pause = readPause{active: true, lookedAt: conn.arrivals.latest()}
	conn.growReceiveBuffer()
	if p.lookAtPaused(conn); conn.pause.active {
		p.paused.conns = append(p.paused.conns, conn)
		p.schedulePausedLook()
	}
}

// schedulePausedLook has the paused connections looked at after pausedLookInterval.
func (p *proxy) schedulePausedLook() {
	if !p.paused.scheduled {
		p.paused.scheduled = true
		time.AfterFunc(pausedLookInterval, func() { p.inbox.post(pausedReadsDue{}) })
	}
}

// lookAtPausedReads looks at all paused connections, and keeps those that stay so.
func (p *proxy) lookAtPausedReads() {
	p.paused.scheduled = false
	looked := p.paused.conns
	p.paused.conns = nil // a look may pause a connection anew
	for _, conn := range looked {
		if conn.pause.active {
			p.lookAtPaused(conn)
		}
	}
	still := slices.DeleteFunc(looked, func(conn *connection) bool { return !conn.pause.active })
	if p.paused.conns = append(still, p.paused.conns...); len(p.paused.conns) > 0 {
		p.schedulePausedLook()
	}
}

// lookAtPaused ends the pause of a connection if its client has left, if there is memory again, or if its
// request has arrived whole. If there is no memory even for that one, it is rejected.
func (p *proxy) lookAtPaused(conn *connection) {
	if conn.closing || conn.discarding.Load() {
		conn.pause.active = false
		return
	}
	unread, ok := 0, false
	if rawConn, err := conn.stdConn.(syscall.Conn).SyscallConn(); err == nil {
		unread, ok = unreadInput(rawConn)
	}
	if !ok || conn.hungUp() {
		conn.pause.active = false
		p.inbox.post(connClosed{conn, true})
		return
	}
	arrivedAfter := conn.pause.lookedAt
	grown := unread != conn.pause.unread
	conn.pause.unread, conn.pause.lookedAt = unread, time.Now()
	switch {
	case conn.busy: // what has arrived is a later request
	case !p.memory.isScarce():
		p.resumeRead(conn, readSize, arrivedAfter)
	case grown:
		p.reportReading(conn)
		if complete := p.completeBytes(conn, unread); complete == 0 {
			return
		} else if p.memory.admits(complete) {
			p.resumeRead(conn, complete, arrivedAfter)
		} else {
			p.rejectUnread(conn)
		}
	}
}

// resumeRead reads at most size bytes of a paused connection. They are counted as held from now on, so that
// not all paused connections resume at once.
func (p *proxy) resumeRead(conn *connection, size int, arrivedAfter time.Time) {
	delay := conn.pause.lookedAt.Sub(arrivedAfter)
	conn.pause = readPause{}
	p.memory.addInput(size)
	conn.startRead(bytesIn{reserved: size, delay: delay}, func() int { return size })
}

// rejectUnread rejects a request that has arrived whole, for want of the memory to read it.
func (p *proxy) rejectUnread(conn *connection) {
	conn.pause.active = false
	conn.busy = true
	conn.requestPending.Store(true)
	p.step(reducer.RequestUnread{Conn: conn.id})
}

// completeBytes returns how many of the unread bytes complete the head of the incoming request, or all of it;
// 0 if they don't.
func (p *proxy) completeBytes(conn *connection, unread int) int {
	if missing := conn.parser.Missing(); missing >= 0 {
		if int64(unread) < missing {
			return 0
		}
		return int(missing)
	}
	rawConn, err := conn.stdConn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	complete := 0
	// An error is that of a connection that is closed or broken, which the next look finds.
	_ = p.peeks.peek(rawConn, func(input []byte) { complete = conn.parser.Lookahead(input) })
	return complete
}

// growReceiveBuffer has the kernel keep more of a detached connection that is not read.
func (c *connection) growReceiveBuffer() {
	rawConn, err := c.stdConn.(syscall.Conn).SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) {
		// Without it a request that is larger than the buffer may stay incomplete, and is turned away.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pausedReceiveBuffer)
	})
}
