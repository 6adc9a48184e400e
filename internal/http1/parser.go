// Package http1 reads and writes HTTP/1.1 messages. Heads are parsed in place: what a
// Message holds are slices of the bytes that were fed in. It knows no sockets.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// The largest messages that are read.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10
)

// maxFraming is the most that may frame a chunked body: sizes, extensions and trailers. It lets
// through a body that comes in chunks of one byte.
const maxFraming = 8 * MaxBody

// What can be wrong with a message.
var (
	ErrMalformed = errors.New("malformed message")
	ErrHeadSize  = errors.New("head too large")
	ErrBodySize  = errors.New("body too large")
)

// Field is one line of a head.
type Field struct{ Name, Value []byte }

// Message is a whole request or response. It owns the bytes that its slices point into.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Close          bool   // the sender closes the connection behind it
	Fields         []Field
	Body           []byte
}

// Get returns the first field of that name, nil if there is none.
func (m *Message) Get(name string) []byte {
	for _, f := range m.Fields {
		if equalFold(f.Name, name) {
			return f.Value
		}
	}
	return nil
}

// Count is the number of fields of that name.
func (m *Message) Count(name string) (n int) {
	for _, f := range m.Fields {
		if equalFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Path is the target without its query.
func (m *Message) Path() []byte {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	return path
}

// Parser cuts a stream of bytes into messages. The zero value reads requests.
type Parser struct {
	Responses bool

	buf     []byte
	scanned int // no head ends before here
	msg     *Message
	frame   framing
	left    int // of a body or chunk: bytes still to come
	at, end int // chunked: next byte to read, end of the body decoded in place
	framed  int // chunked: bytes that were not the body's
	chunk   chunkState
	asked   bool
	err     error
}

type framing uint8

const (
	noBody framing = iota
	counted
	chunked
	tillClose
)

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
)

// Feed adds bytes, which the Parser owns from then on.
func (p *Parser) Feed(b []byte) {
	if len(p.buf) == 0 {
		p.buf = b
		return
	}
	p.buf = append(p.buf, b...)
}

// Partial tells whether a message has begun that is not whole yet.
func (p *Parser) Partial() bool { return p.msg != nil || len(p.buf) > 0 }

// Held is the number of bytes kept.
func (p *Parser) Held() int { return len(p.buf) }

// Next returns the next whole message, nil while it is not whole. An error is final.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	m, err := p.next()
	p.err = err
	return m, err
}

func (p *Parser) next() (*Message, error) {
	if p.msg == nil {
		if err := p.readHead(); err != nil || p.msg == nil {
			return nil, err
		}
	}
	switch p.frame {
	case counted:
		if len(p.buf) < p.at+p.left {
			return nil, nil
		}
		p.msg.Body = p.buf[p.at : p.at+p.left : p.at+p.left]
		p.at += p.left
	case chunked:
		start := p.end
		if start == 0 {
			start, p.end = p.at, p.at
			p.msg.Body = p.buf[start:start]
		}
		whole, err := p.readChunks()
		if err != nil {
			return nil, err
		}
		if !whole {
			// Guards against a body that is small and its framing endless.
			p.buf = append(p.buf[:p.end], p.buf[p.at:]...)
			p.at = p.end
			return nil, nil
		}
	case tillClose:
		if len(p.buf)-p.at > MaxBody {
			return nil, ErrBodySize
		}
		return nil, nil
	}
	return p.take(), nil
}

// End says that the stream has ended. It returns a response whose body lasted until then.
func (p *Parser) End() *Message {
	if p.err != nil || p.msg == nil || p.frame != tillClose {
		return nil
	}
	p.msg.Body, p.at = p.buf[p.at:], len(p.buf)
	return p.take()
}

// take hands the message over with its bytes: what follows moves to a buffer of its own, so
// that a message still being written elsewhere never changes under the writer's hands.
func (p *Parser) take() *Message {
	m := p.msg
	if p.frame == chunked {
		m.Body = p.buf[p.left:p.end:p.end]
	}
	rest := p.buf[p.at:]
	*p = Parser{Responses: p.Responses}
	if len(rest) > 0 {
		p.buf = append([]byte(nil), rest...)
	}
	return m
}

// WantsContinue tells, once for each request, that the sender waits for leave to send the body.
func (p *Parser) WantsContinue() bool {
	if p.msg == nil || p.asked || p.err != nil || !equalFold(p.msg.Get("Expect"), "100-continue") {
		return false
	}
	p.asked = true
	return true
}

// readHead looks for a whole head and parses it.
func (p *Parser) readHead() error {
	for !p.Responses && p.scanned == 0 && len(p.buf) > 1 && p.buf[0] == '\r' && p.buf[1] == '\n' {
		p.buf = p.buf[2:] // an empty line before a request is skipped, as RFC 9112 advises
	}
	n := bytes.Index(p.buf[p.scanned:], []byte("\r\n\r\n"))
	if n < 0 {
		if len(p.buf) > MaxHead {
			return ErrHeadSize
		}
		p.scanned = max(0, len(p.buf)-3)
		return nil
	}
	n += p.scanned
	if n+4 > MaxHead {
		return ErrHeadSize
	}
	m := &Message{Fields: make([]Field, 0, 16)}
	line, rest, _ := bytes.Cut(p.buf[:n+2], []byte("\r\n"))
	minor, err := m.startLine(line, p.Responses)
	if err != nil {
		return err
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !ok || !token(name) || !text(value) {
			return ErrMalformed
		}
		m.Fields = append(m.Fields, Field{name, value})
	}
	p.at = n + 4
	p.msg = m
	return p.framing(minor)
}

// startLine parses a request line or a status line and returns the minor version.
func (m *Message) startLine(line []byte, response bool) (int, error) {
	a, rest, _ := bytes.Cut(line, []byte(" "))
	b, c, _ := bytes.Cut(rest, []byte(" "))
	if !text(line) {
		return 0, ErrMalformed
	}
	version := c
	if response {
		version = a
		status, err := strconv.Atoi(string(b))
		if err != nil || len(b) != 3 || status < 100 {
			return 0, ErrMalformed
		}
		m.Status = status
	} else if m.Method, m.Target = a, b; !token(a) || len(b) == 0 || b[0] != '/' && string(b) != "*" {
		return 0, ErrMalformed
	}
	switch string(version) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, ErrMalformed
}

// framing tells from the head where the body ends.
func (p *Parser) framing(minor int) error {
	m := p.msg
	m.Close = minor == 0
	lengths, codings, hosts := 0, 0, 0
	for _, f := range m.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			// A repeated length is refused even where both agree: two parsers could differ on it.
			n, err := strconv.ParseUint(string(f.Value), 10, 62)
			if lengths++; err != nil || lengths > 1 {
				return ErrMalformed
			}
			p.left = int(min(n, MaxBody+1))
			p.frame = counted
		case equalFold(f.Name, "Transfer-Encoding"):
			if codings++; codings > 1 || !equalFold(f.Value, "chunked") || minor == 0 {
				return ErrMalformed
			}
			p.frame = chunked
		case equalFold(f.Name, "Host"):
			hosts++
		case equalFold(f.Name, "Connection"):
			if listed(f.Value, "close") {
				m.Close = true
			} else if minor == 0 && listed(f.Value, "keep-alive") {
				m.Close = false
			}
		}
	}
	if lengths > 0 && codings > 0 || !p.Responses && hosts != 1 {
		return ErrMalformed
	}
	if p.Responses && (m.Status < 200 || m.Status == 204 || m.Status == 304) {
		p.frame = noBody
	} else if p.Responses && p.frame == noBody {
		p.frame, m.Close = tillClose, true
	}
	if p.frame == counted && p.left > MaxBody {
		return ErrBodySize
	}
	return nil
}

// readChunks decodes what has come of a chunked body over itself; left holds where the
// body starts once it is whole.
func (p *Parser) readChunks() (bool, error) {
	start := p.end - len(p.msg.Body)
	for {
		if p.chunk == chunkData {
			n := min(p.left, len(p.buf)-p.at)
			copy(p.buf[p.end:], p.buf[p.at:p.at+n])
			p.at, p.end, p.left = p.at+n, p.end+n, p.left-n
			p.msg.Body = p.buf[start:p.end]
			if p.left > 0 {
				return false, nil
			}
			p.chunk = chunkEnd
		}
		n := bytes.Index(p.buf[p.at:], []byte("\r\n"))
		if n < 0 {
			if len(p.buf)-p.at > MaxHead {
				return false, ErrMalformed
			}
			return false, nil
		}
		line := p.buf[p.at : p.at+n]
		p.at += n + 2
		if p.framed += n + 2; p.framed > maxFraming {
			return false, ErrMalformed
		}
		switch p.chunk {
		case chunkSize:
			digits, _, _ := bytes.Cut(line, []byte(";"))
			size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 62)
			if err != nil {
				return false, ErrMalformed
			}
			if size > uint64(MaxBody-len(p.msg.Body)) {
				return false, ErrBodySize
			}
			p.left, p.chunk = int(size), chunkData
			if size == 0 {
				p.chunk = chunkTrailer
			}
		case chunkEnd:
			if n > 0 {
				return false, ErrMalformed
			}
			p.chunk = chunkSize
		case chunkTrailer:
			if n == 0 {
				p.left = start
				return true, nil
			}
		}
	}
}

func equalFold(b []byte, s string) bool {
	return len(b) == len(s) && bytes.EqualFold(b, []byte(s))
}

// listed tells whether a comma-separated list holds the word.
func listed(list []byte, word string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if equalFold(bytes.TrimSpace(part), word) {
			return true
		}
	}
	return false
}

// token tells whether b may be a method or a field's name.
func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// text tells whether b holds no control character but tabs.
func text(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
