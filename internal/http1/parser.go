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

// The most that may frame a chunked body: sizes, extensions and trailers, a part of it for each byte of the
// body. It lets through a body that comes in chunks of one byte.
const (
	maxFraming      = 2 * MaxHead
	maxFramingParts = 8
)

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
	HTTP10         bool   // HTTP/1.0
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
	body    Body
	at, end int // next byte of the body to decode; where the decoded ends
	start   int // and where it starts
	large   bool
	asked   bool
	err     error
}

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

// Buffered is the number of bytes kept.
func (p *Parser) Buffered() int { return len(p.buf) }

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
	// The body is decoded over itself. Guards against one that is small and its framing endless: what was
	// decoded is not kept twice.
	for !p.body.Done && (p.at < len(p.buf) || p.body.frame == noBody) {
		data, rest, err := p.body.Next(p.buf[p.at:])
		if err != nil {
			return nil, err
		}
		if p.end < len(p.buf)-len(rest)-len(data) {
			copy(p.buf[p.end:], data)
		}
		p.end += len(data)
		p.at = len(p.buf) - len(rest)
	}
	p.msg.Body = p.buf[p.start:p.end:p.end]
	if p.end-p.start > MaxBody {
		p.large = true
	}
	if !p.body.Done {
		p.buf = append(p.buf[:p.end], p.buf[p.at:]...)
		p.at = p.end
	}
	if !p.body.Done || p.large {
		return nil, nil
	}
	return p.take(), nil
}

// Large tells whether the message that is being read has a body beyond MaxBody: Next never returns it.
// Stream hands it over.
func (p *Parser) Large() bool { return p.large && p.err == nil }

// LengthUnknown tells whether the message that is being read has a body whose length is not known.
func (p *Parser) LengthUnknown() bool { return p.msg != nil && !p.body.Done && p.body.Length() < 0 }

// Status is that of the response that is being read, 0 while its head has not come.
func (p *Parser) Status() int {
	if p.msg == nil {
		return 0
	}
	return p.msg.Status
}

// MarkLarge has a message whose length is not known taken for a large one.
func (p *Parser) MarkLarge() { p.large = p.large || p.LengthUnknown() }

// Stream hands over a large message with as much of its body as has come, what decodes the rest, and
// what has come behind the body.
func (p *Parser) Stream() (m *Message, body Body, rest []byte) {
	m, body, rest = p.msg, p.body, p.buf[p.at:]
	*p = Parser{Responses: p.Responses}
	return m, body, rest
}

// Received is how much of the body has come of the message that is being read; Head tells whether its head has.
func (p *Parser) Received() int64 { return p.body.came }

// HeadComplete tells whether the head has come of the message that is being read.
func (p *Parser) HeadComplete() bool { return p.msg != nil }

// End says that the stream has ended. It returns a response whose body lasted until then.
func (p *Parser) End() *Message {
	if p.err != nil || p.msg == nil || p.large || p.body.frame != untilClose {
		return nil
	}
	return p.take()
}

// take hands the message over with its bytes: what follows moves to a buffer of its own, so
// that a message still being written elsewhere never changes under the writer's hands.
func (p *Parser) take() *Message {
	m := p.msg
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
	p.at, p.start, p.end = n+4, n+4, n+4
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
	} else if m.Method, m.Target = a, origin(b); !token(a) || m.Target == nil {
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

// origin is a target without scheme and host, where they are given; nil when it is no target.
func origin(target []byte) []byte {
	const scheme = "http://"
	if len(target) > len(scheme) && equalFold(target[:len(scheme)], scheme) {
		at := bytes.IndexAny(target[len(scheme):], "/?")
		if at < 0 {
			return []byte("/")
		}
		if target = target[len(scheme)+at:]; target[0] == '?' {
			return append([]byte("/"), target...)
		}
	}
	if len(target) == 0 || target[0] != '/' && string(target) != "*" {
		return nil
	}
	return target
}

// framing tells from the head where the body ends.
func (p *Parser) framing(minor int) error {
	m := p.msg
	m.HTTP10 = minor == 0
	m.Close = m.HTTP10
	lengths, codings, hosts := 0, 0, 0
	for _, f := range m.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			// A repeated length is refused even where both agree: two parsers could differ on it.
			n, err := strconv.ParseUint(string(f.Value), 10, 62)
			if lengths++; err != nil || lengths > 1 {
				return ErrMalformed
			}
			p.body = Body{frame: counted, left: int64(min(n, MaxStreamedBody+1))}
			p.body.Done = n == 0
		case equalFold(f.Name, "Transfer-Encoding"):
			if codings++; codings > 1 || !equalFold(f.Value, "chunked") || minor == 0 {
				return ErrMalformed
			}
			p.body = Body{frame: chunked}
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
		p.body = Body{Done: true}
	} else if p.Responses && p.body.frame == noBody {
		p.body.frame, m.Close = untilClose, true
	}
	if p.body.frame == counted && p.body.left > MaxStreamedBody {
		return ErrBodySize
	}
	p.large = p.body.frame == counted && p.body.left > MaxBody
	return nil
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
		if !isText(c) {
			return false
		}
	}
	return true
}

func isText(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }
