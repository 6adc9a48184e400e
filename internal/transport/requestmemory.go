package transport

import "sync/atomic"

// requestMemoryDivisor divides the memory limit: unfinished requests may hold that fraction of it together.
// The rest is for the runtime, whose heap grows to about twice what is in use before it is collected, for
// idle connections and for the buffers of streamed bodies.
const requestMemoryDivisor = 4

// incompleteDivisor divides what unfinished requests may hold: while they hold that fraction of it, no more
// is read of those that are incomplete. The rest is for those that arrive whole.
const incompleteDivisor = 2

// requestMemory counts what all unfinished requests hold together, in bytes. Any goroutine may use it. A nil
// requestMemory counts nothing and is never scarce.
type requestMemory struct {
	input    atomic.Int64 // on its way to the parsers, and incomplete messages
	messages atomic.Int64 // requests in progress, and answers that are being written
	limit    atomic.Int64
}

// setLimit derives the limit from the memory limit of the proxy, in bytes, of which another process may need
// a half.
func (m *requestMemory) setLimit(memory int64, shared bool) {
	if shared {
		memory /= 2
	}
	m.limit.Store(memory / requestMemoryDivisor)
}

// addInput counts more bytes of input as held, or fewer.
func (m *requestMemory) addInput(bytes int) {
	if m != nil && bytes != 0 {
		m.input.Add(int64(bytes))
	}
}

// addMessages counts more bytes of messages as held, or fewer.
func (m *requestMemory) addMessages(bytes int) {
	if m != nil && bytes != 0 {
		m.messages.Add(int64(bytes))
	}
}

// isScarce reports whether nothing more is to be read of requests that are incomplete.
func (m *requestMemory) isScarce() bool {
	return m != nil && m.input.Load()+m.messages.Load() >= m.limit.Load()/incompleteDivisor
}

// isFull reports whether not even a request that has arrived whole may be read.
func (m *requestMemory) isFull() bool { return !m.admits(0) }

// admits reports whether a request that has arrived whole may be read, whatever incomplete ones hold: that is
// limited, too.
func (m *requestMemory) admits(bytes int) bool {
	return m == nil || m.messages.Load()+int64(bytes) <= m.limit.Load()/incompleteDivisor
}

// countMemory counts what a connection holds now.
func (c *connection) countMemory() {
	if !c.memoryReleased {
		c.setCounted(c.parser.Memory()+c.uploadMemory, c.messageMemory)
	}
}

// setCounted has these bytes counted of a connection, in place of those before.
func (c *connection) setCounted(input, message int) {
	c.memory.addInput(input - c.countedInput)
	c.memory.addMessages(message - c.countedMessage)
	c.countedInput, c.countedMessage = input, message
}

// holdMessage records how many bytes the message holds that is in progress on a connection: a request until
// it is answered, an answer until it is written. 0: there is none.
func (c *connection) holdMessage(bytes int) {
	c.messageMemory, c.uploadMemory = bytes, 0
	c.countMemory()
}

// holdUpload is holdMessage for what was read of a streamed request: most of it may never arrive.
func (c *connection) holdUpload(bytes int) {
	c.messageMemory, c.uploadMemory = 0, bytes
	c.countMemory()
}

// releaseMemory counts nothing of a connection any more: it is closed.
func (c *connection) releaseMemory() {
	c.memoryReleased = true
	c.setCounted(0, 0)
}
