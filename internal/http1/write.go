package http1

import (
	"bytes"
	"strconv"
)

// hopByHop are the fields that concern one connection only, or that are written anew.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

var (
	space  = []byte(" ")
	colon  = []byte(": ")
	crlf   = []byte("\r\n")
	onward = []byte(" HTTP/1.1\r\n")
)

// passOn adds the fields that go on to the next machine, less those named in drop.
func (m *Message) passOn(out [][]byte, drop string) [][]byte {
	var named []byte
	for _, f := range m.Fields {
		if equalFold(f.Name, "Connection") {
			named = append(append(named, f.Value...), ',')
		}
	}
next:
	for _, f := range m.Fields {
		for _, name := range hopByHop {
			if equalFold(f.Name, name) {
				continue next
			}
		}
		if !equalFold(f.Name, drop) && !listed(named, string(f.Name)) {
			out = append(out, f.Name, colon, f.Value, crlf)
		}
	}
	return out
}

// ForwardRequest returns the request as it goes on, for a gathered write: the fields that pass on
// unchanged, then the field that is set anew.
func (m *Message) ForwardRequest(name, value string) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+8), m.Method, space, m.Target, onward)
	out = m.passOn(out, name)
	tail := name + ": " + value + "\r\n"
	if len(m.Body) > 0 || !bytes.Equal(m.Method, []byte("GET")) {
		tail += "Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n"
	}
	return append(out, []byte(tail+"\r\n"), m.Body)
}

// ForwardRequestHead is the head of a request whose body follows as it comes; its length is -1 where it is not
// known.
func (m *Message) ForwardRequestHead(name, value string, length int64) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+8), m.Method, space, m.Target, onward)
	return append(m.passOn(out, name), []byte(name+": "+value+"\r\n"+framed(length)+"\r\n"))
}

// ForwardResponseHead is the head of a response whose body follows as it comes. Where its length is not known, it goes
// in chunks, or, to who knows none, until the end of the connection.
func (m *Message) ForwardResponseHead(drop string, length int64, old, last bool) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+4), statusLine(m.Status))
	tail := framed(length)
	if old && length < 0 {
		tail = ""
	}
	if last {
		tail += "Connection: close\r\n"
	}
	return append(m.passOn(out, drop), []byte(tail+"\r\n"))
}

func framed(length int64) string {
	if length < 0 {
		return "Transfer-Encoding: chunked\r\n"
	}
	return "Content-Length: " + strconv.FormatInt(length, 10) + "\r\n"
}

// ChunkHead begins a chunk, ChunkEnd ends it, LastChunk ends the body.
func ChunkHead(n int) []byte { return append(strconv.AppendInt(nil, int64(n), 16), crlf...) }

// Parts of a chunked body.
var (
	ChunkEnd  = crlf
	LastChunk = []byte("0\r\n\r\n")
)

// ForwardResponse returns a response as it goes back, less the field named in drop.
func (m *Message) ForwardResponse(drop string, last bool) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+4), statusLine(m.Status))
	out = m.passOn(out, drop)
	return append(out, []byte(tail(len(m.Body), last)), m.Body)
}

// Answer returns a response of the proxy's own; fields are whole lines.
func Answer(status int, fields, body string, last bool) [][]byte {
	return [][]byte{statusLine(status), []byte(fields + tail(len(body), last) + body)}
}

// Continue is the leave to send a body.
func Continue() [][]byte { return [][]byte{[]byte("HTTP/1.1 100 Continue\r\n\r\n")} }

// GetRequest returns a request without a body.
func GetRequest(target, host string) [][]byte {
	return [][]byte{[]byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")}
}

// reasons are the phrases of the answers that the proxy words itself, and of a served one.
var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

func statusLine(status int) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + reasons[status] + "\r\n")
}

func tail(length int, last bool) string {
	s := "Content-Length: " + strconv.Itoa(length) + "\r\n"
	if last {
		s += "Connection: close\r\n"
	}
	return s + "\r\n"
}
