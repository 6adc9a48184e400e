package transport

import (
	"errors"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"lilacglade/internal/logburst"
)

// acceptRetryDelay is the pause after an accept that failed. The poller waits meanwhile, so it is
// short; without it, the poller would retry in a busy loop for as long as the fault lasts.
const acceptRetryDelay = time.Millisecond

// listener closes connections beyond the descriptors reserved for clients, before anything else is
// allocated for them. Otherwise descriptors could run out before the reducer has
// closed other connections. An accept that fails is retried soon, whatever the error: every error concerns
// one connection only or is transient.
type listener struct {
	netpoll.Listener
	openConns, maxConns atomic.Int64
	acceptCalls         atomic.Int64
	closed              atomic.Bool // nothing more is accepted; the socket itself stays open

	// Owned by the poller's goroutine.
	failingSince time.Time // when accepting began to fail for connections that still wait; zero: none waits
	waitingSince time.Time // since when the last accepted connection may have waited; zero: it has not
	logLimiter   logburst.Limiter
	started      time.Time
}

func newListener(socket netpoll.Listener, maxConns int) *listener {
	l := &listener{Listener: socket, logLimiter: logburst.Limiter{Every: faultLogInterval}, started: time.Now()}
	l.maxConns.Store(int64(maxConns))
	return l
}

// awaitPending calls done once no connection waits to be accepted. The poller accepts one
// connection in a round, so it waits for a whole round without any.
func (l *listener) awaitPending(done func()) {
	defer done()
	for calls := int64(-1); calls != l.acceptCalls.Load(); {
		calls = l.acceptCalls.Load()
		for range 2 { // the first round may have begun before
			if err := pollerBarrier.wait(); err != nil {
				log.Printf("can't wait for pending connections: %v", err)
				return
			}
		}
	}
}

// errClosed makes the library stop using the listening socket: it looks for the word "closed".
var errClosed = errors.New("closed for this process")

// Accept returns no connection and no error when none is waiting, or when it can't be accepted now:
// the library then calls it again.
func (l *listener) Accept() (net.Conn, error) {
	if l.closed.Load() {
		return nil, errClosed
	}
	conn, err := l.Listener.Accept()
	l.acceptCalls.Add(1)
	l.waitingSince = l.failingSince
	switch {
	case errors.Is(err, net.ErrClosed):
		return nil, err
	case err != nil:
		l.acceptFailed(err)
		return nil, nil
	case !l.failingSince.IsZero() && !readable(l.Fd()):
		l.failingSince = time.Time{}
	}
	if conn != nil && l.openConns.Load() >= l.maxConns.Load() {
		_ = conn.Close()
		return nil, nil
	}
	return conn, nil
}

// acceptFailed handles an accept that failed.
func (l *listener) acceptFailed(err error) {
	now := time.Now()
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	if suppressed, ok := l.logLimiter.Allow(now.Sub(l.started)); ok {
		log.Printf("a connection can't be accepted now: %v (%d more since the last line)", err, suppressed)
	}
	time.Sleep(acceptRetryDelay)
	if !readable(l.Fd()) { // the error concerned a connection that is gone by now
		l.failingSince = time.Time{}
	}
}

// readable reports whether a read on a descriptor, or an accept, would return something.
func readable(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// softClientLimit is the number of client connections above which the reducer starts to close idle
// ones: early enough to stay below the limit of the listener.
func softClientLimit(maxClients int) int { return maxClients * 7 / 8 }
