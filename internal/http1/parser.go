// Package http1 reads and writes HTTP/1.1 messages. Messages are parsed in place: the slices in a Message
// point into the bytes that were fed to the Parser. The package does no input or output.
package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Size limits, in bytes.
const (
	MaxHead = 16 << 10 // request or status line and fields; also one framing line of a chunked body
	MaxBody = 64 << 10 // a body that is buffered; a larger one is streamed, up to MaxStreamedBody
)

// MaxFields is the number of fields in the largest head. A parsed field takes twelve times the memory of the
// shortest one.
const MaxFields = 256

// The framing of a chunked body (sizes, extensions and trailers) may take maxFramingBase bytes plus
// maxFramingPerByte bytes for each byte of the body. This accepts a body sent in chunks of one byte.
const (
	maxFramingBase    = 2 * MaxHead
	maxFramingPerByte = 8
)

// Errors that Parser.Next and Body.Next return.
var (
	ErrMalformed = errors.New("malformed message")
	ErrHeadSize  = errors.New("head too large")
	ErrBodySize  = errors.New("body too large")
)

// Field is one header field.
type Field struct{ Name, Value []byte }

// Message is a request or a response. It owns the bytes that its slices point into.
type Message struct {
	Method, Target []byte // set for a request
	Status         int    // set for a response
	Close          bool   // the sender closes the connection after this message
	HTTP10         bool   // the version is HTTP/1.0
	Fields         []Field
	Body           []byte

	bufferSize int // of the buffer that the slices point into, in bytes
}

// Get returns the value of the first field with the given name, or nil if there is none.
func (m *Message) Get(name string) []byte {
	for _, f := range m.Fields {
		if equalFold(f.Name, name) {
			return f.Value
		}
	}
	return nil
}

// Count returns the number of fields with the given name.
func (m *Message) Count(name string) (n int) {
	for _, f := range m.Fields {
		if equalFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Path returns the target without its query.
func (m *Message) Path() []byte {
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	return path
}

// Parser splits a stream of bytes into messages. The zero value reads requests.
type Parser struct {
	Responses bool // the stream consists of responses

	buf                []byte
	scanned            int // offset in buf before which no head ends
	emptyLines         int // bytes of empty lines skipped before the current message
	message            *Message
	body               Body
	undecoded, bodyEnd int  // offsets in buf: next byte of the body to decode; end of the decoded body
	bodyStart          int  // offset in buf where the decoded body begins
	large              bool // see Large
	reported           bool // WantsContinue has returned true
	err                error
}

// Feed adds input. The Parser owns the slice from then on.
func (p *Parser) Feed(input []byte) {
	if len(p.buf) == 0 {
		p.buf = input
		return
	}
	p.reserve(len(input))
	p.buf = append(p.buf, input...)
}

// Partial reports whether a message has begun but is not complete.
func (p *Parser) Partial() bool { return p.message != nil || len(p.buf) > 0 }

// Buffered returns the number of buffered bytes.
func (p *Parser) Buffered() int { return len(p.buf) }

// Next returns the next complete message, or nil if more input is needed. An error is final: later calls
// return it again.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	message, err := p.parse()
	p.err = err
	return message, err
}

// parse is Next without the check for an earlier error.
func (p *Parser) parse() (*Message, error) {
	if p.message == nil {
		if err := p.readHead(); err != nil || p.message == nil {
			return nil, err
		}
	}
	// The body is decoded in place, over its own framing. Otherwise a small body with endless framing would
	// fill the buffer.
	for !p.body.Done && (p.undecoded < len(p.buf) || p.body.framing == noBody) {
		data, rest, err := p.body.Next(p.buf[p.undecoded:])
		if err != nil {
			return nil, err
		}
		if p.bodyEnd < len(p.buf)-len(rest)-len(data) {
			copy(p.buf[p.bodyEnd:], data)
		}
		p.bodyEnd += len(data)
		p.undecoded = len(p.buf) - len(rest)
	}
	p.message.Body = p.buf[p.bodyStart:p.bodyEnd:p.bodyEnd]
	if p.bodyEnd-p.bodyStart > MaxBody {
		p.large = true
	}
	if !p.body.Done {
		p.buf = append(p.buf[:p.bodyEnd], p.buf[p.undecoded:]...)
		p.undecoded = p.bodyEnd
	}
	if !p.body.Done || p.large {
		return nil, nil
	}
	return p.take(), nil
}

// Large reports whether the body of the current message exceeds MaxBody, or MarkLarge was called. Next
// never returns such a message; the caller takes it with Stream.
func (p *Parser) Large() bool { return p.large && p.err == nil }

// LengthUnknown reports whether the current message has an incomplete body of undeclared length.
func (p *Parser) LengthUnknown() bool { return p.message != nil && !p.body.Done && p.body.Length() < 0 }

// Status returns the status of the current response, or 0 until its head is complete.
func (p *Parser) Status() int {
	if p.message == nil {
		return 0
	}
	return p.message.Status
}

// MarkLarge makes the current message a large one if its head is complete and its body is not.
func (p *Parser) MarkLarge() { p.large = p.large || p.message != nil && !p.body.Done }

// Stream returns the current large message with the part of its body received so far, the decoder for the
// remaining body, and the input that is not decoded yet. It resets the Parser.
func (p *Parser) Stream() (message *Message, body Body, rest []byte) {
	message, body, rest = p.message, p.body, p.buf[p.undecoded:]
	message.bufferSize = cap(p.buf)
	*p = Parser{Responses: p.Responses}
	return message, body, rest
}

// Received returns the number of body bytes decoded so far of the current message.
func (p *Parser) Received() int64 { return p.body.received }

// HeadComplete reports whether the head of the current message is complete.
func (p *Parser) HeadComplete() bool { return p.message != nil }

// End handles the end of the stream. It returns the response whose body ends there, or nil if there is
// none.
func (p *Parser) End() *Message {
	if p.err != nil || p.message == nil || p.large || p.body.framing != untilClose {
		return nil
	}
	return p.take()
}

// take returns the current message with its bytes and resets the Parser. Input that follows is copied to a
// new buffer, because later input must not overwrite a message that is still being written elsewhere.
func (p *Parser) take() *Message {
	message := p.message
	message.bufferSize = cap(p.buf)
	rest := p.buf[p.undecoded:]
	*p = Parser{Responses: p.Responses}
	if len(rest) > 0 {
		p.buf = append([]byte(nil), rest...)
	}
	return message
}

// WantsContinue reports whether the client waits for a 100 (Continue) response before it sends the body. It
// returns true once per request.
func (p *Parser) WantsContinue() bool {
	if p.message == nil || p.reported || p.err != nil || !equalFold(p.message.Get("Expect"), "100-continue") {
		return false
	}
	p.reported = true
	return true
}

// readHead parses the head of the next message if it is complete.
func (p *Parser) readHead() error {
	for !p.Responses && p.scanned == 0 && len(p.buf) > 1 && p.buf[0] == '\r' && p.buf[1] == '\n' {
		p.buf = p.buf[2:] // an empty line before a request is skipped, as RFC 9112 advises
		if p.emptyLines += 2; p.emptyLines > MaxHead {
			return ErrMalformed
		}
	}
	end := bytes.Index(p.buf[p.scanned:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(p.buf) > MaxHead {
			return ErrHeadSize
		}
		p.scanned = max(0, len(p.buf)-3)
		return nil
	}
	end += p.scanned
	if end+4 > MaxHead {
		return ErrHeadSize
	}
	message := &Message{Fields: make([]Field, 0, 16)}
	line, rest, _ := bytes.Cut(p.buf[:end+2], []byte("\r\n"))
	minor, err := message.parseStartLine(line, p.Responses)
	if err != nil {
		return err
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		value = bytes.Trim(value, " \t")
		if !ok || !isToken(name) || !isTextOnly(value) {
			return ErrMalformed
		}
		if len(message.Fields) == MaxFields {
			return ErrHeadSize
		}
		message.Fields = append(message.Fields, Field{name, value})
	}
	p.undecoded, p.bodyStart, p.bodyEnd = end+4, end+4, end+4
	p.message = message
	return p.setFraming(minor)
}

// parseStartLine parses a request line or a status line and returns the minor version.
func (m *Message) parseStartLine(line []byte, response bool) (int, error) {
	first, rest, _ := bytes.Cut(line, []byte(" "))
	second, third, _ := bytes.Cut(rest, []byte(" "))
	if !isTextOnly(line) {
		return 0, ErrMalformed
	}
	version := third
	if response {
		version = first
		status, err := strconv.Atoi(string(second))
		if err != nil || len(second) != 3 || status < 100 {
			return 0, ErrMalformed
		}
		m.Status = status
	} else if m.Method, m.Target = first, originForm(second); !isToken(first) || m.Target == nil {
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

// originForm returns the target without scheme and host if it has them, or nil if it is invalid.
func originForm(target []byte) []byte {
	const scheme = "http://"
	if len(target) > len(scheme) && equalFold(target[:len(scheme)], scheme) {
		pathStart := bytes.IndexAny(target[len(scheme):], "/?")
		if pathStart < 0 {
			return []byte("/")
		}
		if target = target[len(scheme)+pathStart:]; target[0] == '?' {
			return append([]byte("/"), target...)
		}
	}
	if len(target) == 0 || target[0] != '/' && string(target) != "*" {
		return nil
	}
	return target
}

// setFraming derives the framing of the body from the head and rejects heads that leave it ambiguous.
func (p *Parser) setFraming(minor int) error {
	m := p.message
	m.HTTP10 = minor == 0
	m.Close = m.HTTP10
	lengths, codings, hosts := 0, 0, 0
	for _, f := range m.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			// A repeated Content-Length is rejected even if the values agree: another parser on the path
			// could interpret it differently.
			length, err := strconv.ParseUint(string(f.Value), 10, 62)
			if lengths++; err != nil || lengths > 1 {
				return ErrMalformed
			}
			p.body = Body{framing: fixedLength, remaining: int64(min(length, MaxStreamedBody+1))}
			p.body.Done = length == 0
		case equalFold(f.Name, "Transfer-Encoding"):
			if codings++; codings > 1 || !equalFold(f.Value, "chunked") || minor == 0 {
				return ErrMalformed
			}
			p.body = Body{framing: chunked}
		case equalFold(f.Name, "Host"):
			hosts++
		case equalFold(f.Name, "Connection"):
			if listContains(f.Value, "close") {
				m.Close = true
			} else if minor == 0 && listContains(f.Value, "keep-alive") {
				m.Close = false
			}
		}
	}
	if lengths > 0 && codings > 0 || !p.Responses && hosts != 1 {
		return ErrMalformed
	}
	if p.Responses && (m.Status < 200 || m.Status == 204 || m.Status == 304) {
		p.body = Body{Done: true}
	} else if p.Responses && p.body.framing == noBody {
		p.body.framing, m.Close = untilClose, true
	}
	if p.body.framing == fixedLength && p.body.remaining > MaxStreamedBody {
		return ErrBodySize
	}
	p.large = p.body.framing == fixedLength && p.body.remaining > MaxBody
	return nil
}

// equalFold reports whether b and s are equal without regard to case.
func equalFold(b []byte, s string) bool {
	return len(b) == len(s) && bytes.EqualFold(b, []byte(s))
}

// listContains reports whether a comma-separated list contains the word, without regard to case.
func listContains(list []byte, word string) bool {
	for element := range bytes.SplitSeq(list, []byte(",")) {
		if equalFold(bytes.TrimSpace(element), word) {
			return true
		}
	}
	return false
}

// isToken reports whether b is a valid method or field name.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// isTextOnly reports whether b contains no control characters other than tabs.
func isTextOnly(b []byte) bool {
	for _, c := range b {
		if !isText(c) {
			return false
		}
	}
	return true
}

// isText reports whether c is a tab or no control character.
func isText(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }
