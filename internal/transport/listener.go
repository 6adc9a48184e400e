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

// acceptPause is waited after an accept that failed. The poller waits with it, so it is short; without it,
// it would try again at once for as long as the fault lasts.
const acceptRetryDelay = time.Millisecond

// listener turns away connections beyond the descriptors that callers have, before anything else is spent on
// them. Guards against running out of descriptors between the accepting and the reducer's making room. An
// accept that fails is tried again soon, whatever the error: they all are of one connection or of the
// moment.
type listener struct {
	netpoll.Listener
	openConns, maxConns atomic.Int64
	acceptCalls         atomic.Int64
	closed              atomic.Bool // nothing more is taken; the socket itself stays as it is

	// Of the poller's goroutine.
	failingSince time.Time // when accepting began to fail of what still waits to be taken; zero: nothing does
	waitingSince time.Time // what was accepted last may have waited since then; zero: it has not
	logLimiter   logburst.Limiter
	started      time.Time
}

func newListener(socket netpoll.Listener, maxConns int) *listener {
	l := &listener{Listener: socket, logLimiter: logburst.Limiter{Every: faultLogInterval}, started: time.Now()}
	l.maxConns.Store(int64(maxConns))
	return l
}

// settle calls done once nothing waits to be taken: the poller takes one connection in a round, so that a
// whole round has taken none.
func (l *listener) awaitPending(done func()) {
	defer done()
	for calls := int64(-1); calls != l.acceptCalls.Load(); {
		calls = l.acceptCalls.Load()
		for range 2 { // the first round may have begun before
			if err := pollerBarrier.wait(); err != nil {
				log.Printf("the last callers can't be waited for: %v", err)
				return
			}
		}
	}
}

// errClosed makes the library let go of the listening socket, by the word that it looks for.
var errClosed = errors.New("closed for this process")

// Accept returns no connection and no error when there is nothing to take, or it can't be taken now: then
// the library calls it again.
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

// failed takes in an accept that failed.
func (l *listener) acceptFailed(err error) {
	now := time.Now()
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	if suppressed, ok := l.logLimiter.Allow(now.Sub(l.started)); ok {
		log.Printf("a connection can't be accepted now: %v (%d more since the last line)", err, suppressed)
	}
	time.Sleep(acceptRetryDelay)
	if !readable(l.Fd()) { // it was of a connection that is gone by now
		l.failingSince = time.Time{}
	}
}

// readable tells whether a read on a descriptor, or an accept, has something to get.
func readable(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// calm is the number of caller legs up to which the reducer has time to make room.
func softClientLimit(maxClients int) int { return maxClients * 7 / 8 }
