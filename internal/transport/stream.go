package transport

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"lilacglade/internal/http1"
)

// Times of bodies that are passed on as they come.
const (
	uploadPauseBudget = 2 * time.Second  // a caller may rest so long altogether,
	minUploadRate     = 48 << 10         // brings at least so many bytes a second beside,
	maxUploadPause    = 2 * time.Second  // and never rests for longer than this, however much it brought before
	stallTimeout      = 10 * time.Second // a side that takes or gives nothing for so long has broken off
)

// windowSize is what one body may have between its two legs beyond what was there when it began to be
// passed on.
const streamBufferSize = 32 << 10

// windows bounds what all bodies together have between their legs. A body waits for its window.
type bufferPool chan []byte

// windowParts of the memory limit may be in windows.
const streamMemoryDivisor = 8

func newBufferPool(memory int64) bufferPool {
	pool := make(bufferPool, max(4, memory/streamMemoryDivisor/streamBufferSize))
	for range cap(pool) {
		pool <- nil // made when it is first used
	}
	return pool
}

func (pool bufferPool) get() []byte {
	if buffer := <-pool; buffer != nil {
		return buffer
	}
	return make([]byte, streamBufferSize)
}

// flow is a body that is passed on from one leg to another as it comes. It can begin anew for as long as
// nothing behind what its message holds has been read.
type bodyStream struct {
	message  *http1.Message // with the part of the body that had come when it was found to be large
	source   *connection
	length   int64 // of the body, -1 when it is not known
	buffers  bufferPool
	isUpload bool
	complete bool // the reducer knows that its last byte has come
	http10   bool // who gets it knows no chunks: the end of the connection is the end of the body

	running sync.Mutex // held while it is being passed on
	body    http1.Body // decodes what follows
	readBudget
	mu          sync.Mutex
	destination *connection // who gets it now, nil when it was stopped
	consumed    bool        // it can't begin anew
}

// rests measures how long a caller was waited for.
type readBudget struct {
	waited   time.Duration
	received int64
}

// by is when the next bytes must have come.
func (r *readBudget) readDeadline(now time.Time) time.Time {
	allowance := uploadPauseBudget + time.Duration(r.received)*time.Second/minUploadRate
	return now.Add(max(0, min(allowance-r.waited, maxUploadPause)))
}

// aim has the body passed on to a leg from now on.
func (s *bodyStream) setDestination(destination *connection) {
	s.mu.Lock()
	s.destination = destination
	s.mu.Unlock()
}

// stop ends the passing on, unless it goes to another leg by now, and tells whether the body can't
// begin anew. What is read after this is kept.
func (s *bodyStream) stop(destination *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.destination == destination {
		s.destination = nil
		_ = s.source.stdConn.SetReadDeadline(pastDeadline())
	}
	return s.consumed
}

// spent tells whether the body can't begin anew.
func (s *bodyStream) isConsumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed
}

// wanted tells whether the leg still gets the body; if so and it was read from, it can't begin anew.
func (s *bodyStream) isDestination(destination *connection, consumed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consumed = s.consumed || s.destination == destination && consumed
	return s.destination == destination
}

// What ends the passing on of a body.
var (
	errStopped    = errors.New("stopped")
	errReceiver   = errors.New("the side that gets it broke off")
	errClientLeft = errors.New("its caller has left")
)

// left tells whether who brought a request has left. While the request waits nothing is read that would
// tell, and its body may fill what the kernel keeps, so it is asked before the first byte and before the
// last: until that has come, a next hop does nothing.
func (s *bodyStream) clientHungUp() bool { return s.isUpload && stdConnHungUp(s.source.stdConn) }

// pass writes a head, what is there of the body and then the rest as it comes. It returns errStopped,
// errTaker, or what went wrong at the side that gives it; and what had come behind the body. Whole is
// called when the last byte has come.
func (s *bodyStream) copyTo(destination *connection, head [][]byte, onComplete func()) (leftover []byte, _ error) {
	s.running.Lock()
	defer s.running.Unlock()
	switch {
	case !s.isDestination(destination, false):
		return nil, errStopped
	case s.clientHungUp():
		return nil, errClientLeft
	}
	chunked := s.length < 0 && !s.http10
	send := func(data []byte, last bool) error {
		buffers := head
		head = nil
		switch {
		case !chunked:
			buffers = append(buffers, data)
		case len(data) > 0:
			buffers = append(buffers, http1.ChunkHead(len(data)), data, http1.ChunkEnd)
		}
		if chunked && last {
			buffers = append(buffers, http1.LastChunk)
		}
		if err := destination.send(buffers, stallTimeout); err != nil {
			if !s.isDestination(destination, false) {
				return errStopped
			}
			return fmt.Errorf("%w: %w", errReceiver, err)
		}
		return nil
	}
	if s.body.Done {
		onComplete()
		return nil, send(s.message.Body, true)
	}
	if err := send(s.message.Body, false); err != nil {
		return nil, err
	}
	buffer := s.buffers.get()
	defer func() { s.buffers <- buffer }()
	for !s.body.Done {
		n, err := s.readSource(destination, buffer)
		if n == 0 && err == io.EOF && s.body.TillClose() && !stdConnReset(s.source.stdConn) {
			return nil, send(nil, true)
		}
		if n == 0 && err != nil {
			return nil, err
		}
		// What belongs to the body is moved together: an answer to a caller who sends small chunks is not
		// written in as many pieces.
		data, input := buffer[:0], buffer[:n]
		for len(input) > 0 && !s.body.Done {
			chunk, remaining, err := s.body.Next(input)
			if err != nil {
				return nil, err
			}
			data, input = append(data, chunk...), remaining
		}
		leftover = append(leftover, input...)
		if !s.isDestination(destination, true) {
			if !s.isConsumed() {
				s.message.Body = append(s.message.Body, data...)
			}
			return nil, errStopped
		}
		s.message.Body = nil
		if s.body.Done {
			if s.clientHungUp() {
				return nil, errClientLeft
			}
			onComplete()
		}
		if len(data) == 0 && !s.body.Done {
			continue
		}
		if err := send(data, s.body.Done); err != nil {
			return nil, err
		}
	}
	return leftover, nil
}

// read reads from the side that gives the body.
func (s *bodyStream) readSource(destination *connection, buffer []byte) (int, error) {
	now := time.Now()
	deadline := now.Add(stallTimeout)
	if s.isUpload {
		deadline = s.readDeadline(now)
	}
	if err := s.source.stdConn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	if !s.isDestination(destination, false) { // stopped before the deadline was set
		return 0, errStopped
	}
	n, err := s.source.stdConn.Read(buffer)
	s.waited += time.Since(now)
	s.received += int64(n)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !s.isDestination(destination, false) {
		return 0, errStopped
	}
	return n, err
}
