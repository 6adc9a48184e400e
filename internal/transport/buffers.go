package transport

import "sync"

// Sizes of the buffers through which bodies are copied, in bytes: what one body may have in transit
// between its two connections, beyond what had arrived before streaming began.
const (
	streamBufferSize      = 32 << 10
	smallStreamBufferSize = 4 << 10
)

// streamMemoryDivisor divides the memory limit: the large buffers may take that fraction of it.
const streamMemoryDivisor = 8

// minStreamBuffers is the number of large buffers that there are at any memory limit.
const minStreamBuffers = 4

// streamBuffer holds the bytes of one body that are in transit.
type streamBuffer struct{ bytes []byte }

// bufferPool lends a buffer for one read and the write that follows. It is borrowed once bytes have arrived.
// Its large buffers are limited; when all are lent, small ones are. So a body never waits for another one:
// readers that take their answers slowly hold large buffers, and the rest of the bodies goes on through small
// ones. Their number is limited by that of the connections. Buffers that nobody uses are left to the garbage
// collector.
type bufferPool struct {
	lent         chan struct{} // has an element for each large buffer that is lent
	large, small sync.Pool     // of *streamBuffer
}

// newBufferPool returns the pool for a memory limit in bytes.
func newBufferPool(memory int64) *bufferPool {
	limit := max(minStreamBuffers, memory/streamMemoryDivisor/streamBufferSize)
	pool := &bufferPool{lent: make(chan struct{}, limit)}
	pool.large.New = func() any { return &streamBuffer{make([]byte, streamBufferSize)} }
	pool.small.New = func() any { return &streamBuffer{make([]byte, smallStreamBufferSize)} }
	return pool
}

// get lends a buffer. It doesn't wait.
func (pool *bufferPool) get() *streamBuffer {
	select {
	case pool.lent <- struct{}{}:
		return pool.large.Get().(*streamBuffer)
	default:
		return pool.small.Get().(*streamBuffer)
	}
}

// put takes a buffer back.
func (pool *bufferPool) put(buffer *streamBuffer) {
	if len(buffer.bytes) == smallStreamBufferSize {
		pool.small.Put(buffer)
		return
	}
	pool.large.Put(buffer)
	<-pool.lent
}
