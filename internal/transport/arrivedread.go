package transport

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
)

// bufferSource lends buffers for reading.
type bufferSource interface {
	get() *streamBuffer // doesn't wait
	put(*streamBuffer)
}

// scratchBuffers lends buffers of readSize bytes.
type scratchBuffers struct{ pool sync.Pool }

func (s *scratchBuffers) get() *streamBuffer {
	if buffer, ok := s.pool.Get().(*streamBuffer); ok {
		return buffer
	}
	return &streamBuffer{make([]byte, readSize)}
}

func (s *scratchBuffers) put(buffer *streamBuffer) { s.pool.Put(buffer) }

// readBuffers are for reads whose bytes are copied, or dropped, at once.
var readBuffers scratchBuffers

// arrivedReader reads from one connection. A read borrows its buffer only once bytes have arrived: a
// connection that brings nothing holds none. One goroutine at a time may use it.
type arrivedReader struct {
	rawConn syscall.RawConn
	tryRead func(fd uintptr) bool // attempt, as rawConn calls it
	source  bufferSource
	limit   func() int
	buffer  *streamBuffer // nil: nothing has been read
	n       int
	err     error
}

func newArrivedReader(conn net.Conn) (*arrivedReader, error) {
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	reader := &arrivedReader{rawConn: rawConn}
	reader.tryRead = reader.attempt
	return reader, nil
}

// read waits for bytes, and reads as many as the buffer takes and the limit allows, which may be nil. The
// caller puts the buffer back. The error is that of the wait or of the read, io.EOF at the end of the input;
// the buffer is then nil.
func (r *arrivedReader) read(source bufferSource, limit func() int) (*streamBuffer, int, error) {
	r.source, r.limit, r.buffer, r.n, r.err = source, limit, nil, 0, nil
	err := r.rawConn.Read(r.tryRead)
	switch {
	case err != nil: // the wait ended without a read
	case r.err != nil:
		err = r.err
	case r.n == 0:
		err = io.EOF
	default:
		buffer := r.buffer
		r.buffer = nil
		return buffer, r.n, nil
	}
	if r.buffer != nil {
		source.put(r.buffer)
		r.buffer = nil
	}
	return nil, 0, err
}

// attempt reads without waiting, and reports whether the read has ended: false if nothing has arrived.
func (r *arrivedReader) attempt(fd uintptr) bool {
	r.buffer = r.source.get()
	size := len(r.buffer.bytes)
	if r.limit != nil {
		size = min(size, r.limit())
	}
	for {
		if r.n, r.err = syscall.Read(int(fd), r.buffer.bytes[:size]); r.err != syscall.EINTR {
			break
		}
	}
	if r.err != syscall.EAGAIN {
		return true
	}
	r.source.put(r.buffer)
	r.buffer = nil
	return false
}

// readArrivedBytes reads once, into a slice that is as large as what was read.
func readArrivedBytes(conn net.Conn, limit func() int) ([]byte, error) {
	reader, err := newArrivedReader(conn)
	if err != nil {
		return nil, err
	}
	buffer, n, err := reader.read(&readBuffers, limit)
	if err != nil {
		return nil, err
	}
	defer readBuffers.put(buffer)
	return bytes.Clone(buffer.bytes[:n]), nil
}
