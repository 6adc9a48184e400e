package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"lilacglade/internal/http1"
)

// Time limits of streamed bodies.
const (
	uploadPauseBudget = 2 * time.Second // total time that a client may pause,
	minUploadRate     = 48 << 10        // bytes per second: each byte received adds to that time,
	maxUploadPause    = 2 * time.Second // limit of one pause, whatever was received before
)

// bodyStream is a body that is copied from one connection to another as it arrives. It can be sent
// again for as long as nothing beyond its message's part of the body has been read.
type bodyStream struct {
	message  *http1.Message // with the part of the body that had arrived when it was found to be large
	source   *connection
	length   int64         // of the body in bytes, -1 when it is not known
	timeout  time.Duration // upload: the request's time from its last byte on
	buffers  *bufferPool
	isUpload bool
	complete bool // the reducer knows that its last byte has arrived
	http10   bool // the receiver doesn't support chunks: the end of the connection is the end of the body

	peeks *peekBuffer

	running sync.Mutex // held while it is being copied
	reading sync.Mutex // held while bytes are read and decoded
	body    http1.Body // decodes what follows
	reader  *arrivedReader
	// leftover are the bytes that were read behind the body. They belong to whoever learns that its last byte
	// was read, and are not touched after that.
	leftover []byte
	readBudget
	mu          sync.Mutex
	destination *connection // who receives it now, nil once it was stopped
	consumed    bool        // it can't be sent again
}

// readBudget measures how long a client was waited for.
type readBudget struct {
	waited   time.Duration
	received int64
}

// readDeadline is the time by which the next bytes must have arrived.
func (r *readBudget) readDeadline(now time.Time) time.Time {
	allowance := uploadPauseBudget + time.Duration(r.received)*time.Second/minUploadRate
	return now.Add(max(0, min(allowance-r.waited, maxUploadPause)))
}

// setDestination sets the connection that the body is copied to from now on.
func (s *bodyStream) setDestination(destination *connection) {
	s.mu.Lock()
	s.destination = destination
	s.mu.Unlock()
}

// stop ends copying to a connection, unless another one is the destination by now, and reports
// whether the body can't be sent again. Bytes that are read after this are kept.
func (s *bodyStream) stop(destination *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.destination == destination {
		s.destination = nil
		_ = s.source.stdConn.SetReadDeadline(pastDeadline())
	}
	return s.consumed
}

// isConsumed reports whether the body can't be sent again.
func (s *bodyStream) isConsumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed
}

// isDestination reports whether the body still goes to that connection. If so and consumed is true,
// the body can't be sent again.
func (s *bodyStream) isDestination(destination *connection, consumed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consumed = s.consumed || s.destination == destination && consumed
	return s.destination == destination
}

// Reasons for which copying a body ends.
var (
	errStopped    = errors.New("stopped")
	errReceiver   = errors.New("the receiver failed")
	errClientLeft = errors.New("the client has left")
	errEndOfBody  = errors.New("the body has ended with its connection")
)

// clientHungUp reports whether the client of an upload has closed its connection. While a request
// waits nothing is read that would show it, and its body may fill the kernel's buffer, so it is
// checked before the first byte and before the last: a server doesn't start before it has that one.
func (s *bodyStream) clientHungUp() bool { return s.isUpload && stdConnHungUp(s.source.stdConn) }

// copyTo writes a head, the part of the body that has arrived and then the rest as it arrives. It
// returns errStopped, errReceiver, errClientLeft, or the error of the source. It calls onComplete when
// the last byte has arrived.
func (s *bodyStream) copyTo(destination *connection, head [][]byte, onComplete func()) error {
	s.running.Lock()
	defer s.running.Unlock()
	switch {
	case !s.isDestination(destination, false):
		return errStopped
	case s.clientHungUp():
		return errClientLeft
	}
	out := bodyWriter{stream: s, destination: destination, head: head}
	if s.body.Done {
		onComplete()
		return out.send(s.message.Body, true)
	}
	if err := out.send(s.message.Body, false); err != nil {
		return err
	}
	for !s.body.Done {
		err := s.copyNext(&out, onComplete)
		if err == errEndOfBody {
			return out.send(nil, true)
		}
		if err != nil {
			return err
		}
		if !s.body.Done {
			yield()
		}
	}
	return nil
}

// copyNext copies what arrives next.
func (s *bodyStream) copyNext(out *bodyWriter, onComplete func()) error {
	buffer, data, err := s.receive(out.destination)
	if err != nil {
		return err
	}
	defer s.buffers.put(buffer)
	if !s.isDestination(out.destination, true) {
		if !s.isConsumed() {
			s.message.Body = append(s.message.Body, data...)
		}
		return errStopped
	}
	s.message.Body = nil
	if s.body.Done {
		if s.clientHungUp() {
			return errClientLeft
		}
		onComplete()
	}
	if len(data) == 0 && !s.body.Done {
		return nil
	}
	return out.send(data, s.body.Done)
}

// bodyWriter writes the parts of a body to one destination.
type bodyWriter struct {
	stream      *bodyStream
	destination *connection
	head        [][]byte // not written yet
}

// send writes the next part of the body, after the head.
func (w *bodyWriter) send(data []byte, last bool) error {
	buffers := w.head
	w.head = nil
	chunked := w.stream.length < 0 && !w.stream.http10
	switch {
	case !chunked:
		buffers = append(buffers, data)
	case len(data) > 0:
		buffers = append(buffers, http1.ChunkHead(len(data)), data, http1.ChunkEnd)
	}
	if chunked && last {
		buffers = append(buffers, http1.LastChunk)
	}
	if err := w.destination.send(buffers, writeLimit{stall: stallTimeout}); err != nil {
		if !w.stream.isDestination(w.destination, false) {
			return errStopped
		}
		return fmt.Errorf("%w: %w", errReceiver, err)
	}
	return nil
}

// receive reads and decodes the next bytes, into a buffer that the caller puts back. The body bytes of one
// read are returned together: a body that arrives in small chunks is not written in as many pieces. It
// returns errEndOfBody if the body ended with its connection.
func (s *bodyStream) receive(destination *connection) (buffer *streamBuffer, data []byte, _ error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	buffer, n, err := s.readSource(destination)
	if err == io.EOF && s.body.UntilClose() && !stdConnReset(s.source.stdConn) {
		return nil, nil, errEndOfBody
	}
	if err != nil {
		return nil, nil, err
	}
	data, rest := buffer.bytes[:0], buffer.bytes[:n]
	for len(rest) > 0 && !s.body.Done {
		chunk, remaining, err := s.body.Next(rest)
		if err != nil {
			s.buffers.put(buffer)
			return nil, nil, err
		}
		data, rest = append(data, chunk...), remaining
	}
	if len(rest) > 0 {
		s.leftover = bytes.Clone(rest)
	}
	return buffer, data, nil
}

// readSource reads from the connection that the body comes from.
func (s *bodyStream) readSource(destination *connection) (*streamBuffer, int, error) {
	now := time.Now()
	deadline := now.Add(stallTimeout)
	if s.isUpload {
		deadline = s.readDeadline(now)
	}
	if err := s.source.stdConn.SetReadDeadline(deadline); err != nil {
		return nil, 0, err
	}
	if !s.isDestination(destination, false) { // stopped before the deadline was set
		return nil, 0, errStopped
	}
	if s.reader == nil {
		var err error
		if s.reader, err = newArrivedReader(s.source.stdConn); err != nil {
			return nil, 0, err
		}
	}
	buffer, n, err := s.reader.read(s.buffers, nil)
	s.waited += time.Since(now)
	s.received += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) && !s.isDestination(destination, false) {
		return nil, 0, errStopped
	}
	return buffer, n, err
}
