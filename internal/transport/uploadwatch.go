package transport

import (
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// uploadLookInterval is the time between two looks of an uploadWatch.
const uploadLookInterval = 50 * time.Millisecond

// maxUnreadBytes is more than the kernel keeps of a connection that is not being read: its receive buffer,
// of which it allows twice the size that was set, and the segments that had already been sent.
const maxUnreadBytes = 4 * receiveBufferSize

// peekBuffer is what unread bytes are copied to, for all connections in turn.
type peekBuffer struct {
	mu    sync.Mutex
	bytes []byte // allocated when it is first used
}

// peek calls look with the bytes that have arrived on a connection and are unread. They stay unread. It
// returns the error of a connection that is closed or broken.
func (p *peekBuffer) peek(rawConn syscall.RawConn, look func(unread []byte)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes == nil {
		p.bytes = make([]byte, maxUnreadBytes)
	}
	n, peekErr := 0, error(nil)
	err := rawConn.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), p.bytes, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return err
	}
	if peekErr == syscall.EAGAIN || peekErr == syscall.EINTR {
		n, peekErr = 0, nil
	}
	if peekErr == nil {
		look(p.bytes[:n])
	}
	return peekErr
}

// maxClientSendBuffer is what a client's system may hold of a body that the client has sent: the largest
// buffer that Linux gives a TCP connection by default.
const maxClientSendBuffer = 4 << 20

// uploadWatch looks at what arrives of an upload while nothing of it is read: because its server takes
// nothing, no buffer is free or no attempt has begun. The request's time counts from its last byte, read
// or not, and its client may pause no longer than when it is read.
type uploadWatch struct {
	stream     *bodyStream
	lookedAt   time.Time // by then all bytes that had arrived were read, or looked at
	arrived    int64     // bytes by the last look, read or not
	progressAt time.Time // when bytes last arrived, or the client may have been unable to send any
	// notSentAt is the last time at which the client can't have sent its last byte: it could send more and
	// did not, or had more left than its system holds.
	notSentAt time.Time
}

// watchUpload starts to watch an upload. By lastRead all bytes that had arrived were read.
func watchUpload(stream *bodyStream, lastRead time.Time) {
	watch := &uploadWatch{stream: stream, lookedAt: lastRead, progressAt: time.Now(), notSentAt: lastRead}
	watch.schedule()
}

func (w *uploadWatch) schedule() { time.AfterFunc(uploadLookInterval, w.look) }

// look notifies the reducer of what it finds, or schedules the next look.
func (w *uploadWatch) look() {
	now, inbox := time.Now(), w.stream.source.inbox
	state, err := w.state(now)
	switch state {
	case uploadArriving:
		w.lookedAt = now
		if w.maySoonExpire(now) {
			inbox.post(bodyArrived{stream: w.stream, arrivedAfter: w.notSentAt})
			return
		}
		w.schedule()
	case uploadArrived, uploadRead: // an attempt that was stopped may have read the end without a report
		inbox.post(bodyArrived{stream: w.stream, arrivedAfter: w.lookedAt})
	case uploadFailed:
		inbox.post(bodyFailed{w.stream, err})
	case uploadAbandoned:
		inbox.post(connClosed{w.stream.source, true}) // nobody else may be reading it
	}
}

// maySoonExpire reports whether the client may have sent its last byte so long ago that the request's time is
// over before the look after the next: what it has sent may wait in its own system while the server reads
// slowly.
func (w *uploadWatch) maySoonExpire(now time.Time) bool {
	s := w.stream
	rawConn, err := s.source.stdConn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	left := s.length - w.arrived
	if hasReceiveRoom(rawConn) || s.length >= 0 && left > maxClientSendBuffer {
		w.notSentAt = now
	}
	return now.Sub(w.notSentAt) >= max(uploadLookInterval, s.timeout-2*uploadLookInterval)
}

// uploadState is how far an upload has come.
type uploadState uint8

const (
	uploadArriving  uploadState = iota
	uploadArrived               // its last byte is unread in the kernel
	uploadRead                  // its last byte was read
	uploadFailed                // it is malformed, or its client pauses for too long
	uploadAbandoned             // its client has left
)

// state tells how far the upload has come, without reading anything. While it is read, nothing of it
// is unread. The error is the reason for which it failed.
func (w *uploadWatch) state(now time.Time) (uploadState, error) {
	s := w.stream
	if !s.reading.TryLock() {
		w.progressAt = now
		return uploadArriving, nil
	}
	defer s.reading.Unlock()
	if s.body.Done {
		return uploadRead, nil
	}
	rawConn, err := s.source.stdConn.(syscall.Conn).SyscallConn()
	if err != nil {
		return uploadAbandoned, nil
	}
	unread, ok := unreadInput(rawConn)
	if !ok {
		return uploadAbandoned, nil
	}
	arrived := s.received + int64(unread)
	if arrived != w.arrived { // else what has arrived was looked at
		done, err := s.completeWith(rawConn, unread)
		switch {
		case err != nil:
			return uploadFailed, err
		case done:
			return uploadArrived, nil
		}
	}
	if s.clientHungUp() {
		return uploadAbandoned, nil
	}
	if arrived != w.arrived || !hasReceiveRoom(rawConn) {
		w.arrived, w.progressAt = arrived, now
	}
	if now.Sub(w.progressAt) >= maxUploadPause {
		return uploadFailed, os.ErrDeadlineExceeded
	}
	return uploadArriving, nil
}

// completeWith reports whether the bytes that lie unread complete the body. The error is the reason for which
// they can't.
func (s *bodyStream) completeWith(rawConn syscall.RawConn, unread int) (done bool, malformed error) {
	if s.length >= 0 {
		return s.body.Received()+int64(unread) >= s.length, nil
	}
	body := s.body
	// An error is that of a connection that is closed or broken, which is found by its own check.
	_ = s.peeks.peek(rawConn, func(input []byte) {
		for len(input) > 0 && !body.Done && malformed == nil {
			_, input, malformed = body.Next(input)
		}
	})
	return body.Done, malformed
}

// unreadInput returns how many bytes have arrived on a connection and are unread; false if it is closed.
func unreadInput(rawConn syscall.RawConn) (unread int, ok bool) {
	err := error(nil)
	controlErr := rawConn.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return unread, controlErr == nil && err == nil
}

// Indexes in what SO_MEMINFO tells of a socket (linux/sock_diag.h).
const (
	memInfoReceived      = 0 // memory that holds unread bytes
	memInfoReceiveBuffer = 1 // its limit
	memInfoCount         = 9
)

// receiveRoomDivisor divides the receive buffer: if less than that fraction of it is in use, the kernel
// lets the other side send more.
const receiveRoomDivisor = 4

// hasReceiveRoom reports whether the other side of a connection can send more though nothing is read. It
// is false where the kernel doesn't tell.
func hasReceiveRoom(rawConn syscall.RawConn) bool {
	var info [memInfoCount]uint32
	size := uint32(unsafe.Sizeof(info))
	errno := syscall.EBADF
	_ = rawConn.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.SOL_SOCKET, unix.SO_MEMINFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	return errno == 0 && info[memInfoReceived] < info[memInfoReceiveBuffer]/receiveRoomDivisor
}
