package http1

import (
	"bytes"
	"unsafe"
)

// fieldMemory is the memory of one parsed field in bytes, without the text that it points to.
const fieldMemory = int(unsafe.Sizeof(Field{}))

// Memory returns the bytes of memory that the message holds: its text with all that was read into the same
// buffer, and its parsed fields.
func (m *Message) Memory() int { return m.bufferSize + cap(m.Fields)*fieldMemory }

// Memory returns the bytes of memory that the Parser holds for input that Next has not returned.
func (p *Parser) Memory() int {
	if p.message == nil {
		return cap(p.buf)
	}
	return cap(p.buf) + cap(p.message.Fields)*fieldMemory
}

// reserve makes room for more input. The buffer grows by half at a time, but not beyond the end of a message
// whose length is known.
func (p *Parser) reserve(more int) {
	needed := len(p.buf) + more
	if needed <= cap(p.buf) {
		return
	}
	size := len(p.buf) + len(p.buf)/2
	if p.message != nil && p.body.framing == fixedLength {
		size = int(min(int64(size), int64(len(p.buf))+p.body.remaining))
	}
	p.buf = append(make([]byte, 0, max(needed, size)), p.buf...)
}

// Lookahead returns how many bytes of the input that follows would complete the head of the current message,
// or the message; 0 if they don't. Input that is malformed counts as complete. Nothing is fed by it.
func (p *Parser) Lookahead(next []byte) int {
	if p.message == nil {
		return p.lookaheadHead(next)
	}
	body, rest := p.body, next
	for len(rest) > 0 && !body.Done {
		var err error
		if _, rest, err = body.Next(rest); err != nil {
			return len(next)
		}
	}
	if !body.Done {
		return 0
	}
	return len(next) - len(rest)
}

// lookaheadHead is Lookahead while the head is incomplete.
func (p *Parser) lookaheadHead(next []byte) int {
	end := []byte("\r\n\r\n")
	known := p.buf[max(0, len(p.buf)-len(end)+1):]
	if at := bytes.Index(append(bytes.Clone(known), next...), end); at >= 0 {
		return at + len(end) - len(known)
	}
	if excess := len(p.buf) + len(next) - MaxHead; excess > 0 {
		return len(next) // too large: the next call of Next fails
	}
	return 0
}

// Missing returns how many bytes of the current message's body have not been fed, or -1 if that is not known.
func (p *Parser) Missing() int64 {
	if p.message == nil || p.body.framing != fixedLength {
		return -1
	}
	return p.body.remaining
}
