package http1

import (
	"bytes"
	"strconv"
)

// hopByHopFields are the fields that apply to one connection only, and those that are generated for each
// message.
var hopByHopFields = []string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

var (
	space          = []byte(" ")
	colonSpace     = []byte(": ")
	crlf           = []byte("\r\n")
	requestLineEnd = []byte(" HTTP/1.1\r\n")
)

// appendFields appends the end-to-end fields to out, except the one named drop.
func (m *Message) appendFields(out [][]byte, drop string) [][]byte {
	var connectionFields []byte // the names listed in Connection fields, which are hop-by-hop too
	for _, f := range m.Fields {
		if equalFold(f.Name, "Connection") {
			connectionFields = append(append(connectionFields, f.Value...), ',')
		}
	}
nextField:
	for _, f := range m.Fields {
		for _, name := range hopByHopFields {
			if equalFold(f.Name, name) {
				continue nextField
			}
		}
		if !equalFold(f.Name, drop) && !listContains(connectionFields, string(f.Name)) {
			out = append(out, f.Name, colonSpace, f.Value, crlf)
		}
	}
	return out
}

// ForwardRequest returns the request as it is sent to a server, as buffers for a vectored write. The named
// field is replaced by one with the given value; hop-by-hop fields are dropped.
func (m *Message) ForwardRequest(name, value string) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+8), m.Method, space, m.Target, requestLineEnd)
	out = m.appendFields(out, name)
	fields := name + ": " + value + "\r\n"
	if len(m.Body) > 0 || !bytes.Equal(m.Method, []byte("GET")) {
		fields += "Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n"
	}
	return append(out, []byte(fields+"\r\n"), m.Body)
}

// ForwardRequestHead returns the head of a request whose body is streamed. The length of the body is in
// bytes; with -1 (unknown) the body is sent in chunks.
func (m *Message) ForwardRequestHead(name, value string, length int64) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+8), m.Method, space, m.Target, requestLineEnd)
	return append(m.appendFields(out, name), []byte(name+": "+value+"\r\n"+framingField(length)+"\r\n"))
}

// ForwardResponseHead returns the head of a response whose body is streamed, without the field named
// drop. The length of the body is in bytes; with -1 (unknown) the body is sent in chunks, or to an
// HTTP/1.0 client until the connection closes. With last set the connection closes after the response.
func (m *Message) ForwardResponseHead(drop string, length int64, http10, last bool) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+4), statusLine(m.Status))
	fields := framingField(length)
	if http10 && length < 0 {
		fields = ""
	}
	if last {
		fields += "Connection: close\r\n"
	}
	return append(m.appendFields(out, drop), []byte(fields+"\r\n"))
}

// framingField returns the header line that declares the framing of a streamed body; length is -1 if
// unknown.
func framingField(length int64) string {
	if length < 0 {
		return "Transfer-Encoding: chunked\r\n"
	}
	return "Content-Length: " + strconv.FormatInt(length, 10) + "\r\n"
}

// ChunkHead returns the line that precedes a chunk of the given number of bytes.
func ChunkHead(length int) []byte { return append(strconv.AppendInt(nil, int64(length), 16), crlf...) }

// ChunkEnd follows the data of each chunk; LastChunk ends a chunked body.
var (
	ChunkEnd  = crlf
	LastChunk = []byte("0\r\n\r\n")
)

// ForwardResponse returns the response as it is sent to a client, without the field named drop and the
// hop-by-hop fields. With last set the connection closes after the response.
func (m *Message) ForwardResponse(drop string, last bool) [][]byte {
	out := append(make([][]byte, 0, 4*len(m.Fields)+4), statusLine(m.Status))
	out = m.appendFields(out, drop)
	return append(out, []byte(headEnd(len(m.Body), last)), m.Body)
}

// Answer returns a response that the proxy generates itself. Each of fields is a complete header line with
// its line end. With last set the connection closes after the response.
func Answer(status int, fields, body string, last bool) [][]byte {
	return [][]byte{statusLine(status), []byte(fields + headEnd(len(body), last) + body)}
}

// Continue returns a 100 (Continue) response, on which the client sends the body.
func Continue() [][]byte { return [][]byte{[]byte("HTTP/1.1 100 Continue\r\n\r\n")} }

// GetRequest returns a GET request.
func GetRequest(target, host string) [][]byte {
	return [][]byte{[]byte("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")}
}

// reasonPhrases holds the reason phrases of 200 and of the responses that the proxy generates itself. Other
// statuses are forwarded with an empty phrase.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// statusLine returns the status line with its line end.
func statusLine(status int) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + reasonPhrases[status] + "\r\n")
}

// headEnd returns the end of a head from the Content-Length field on, its empty line included.
func headEnd(length int, last bool) string {
	fields := "Content-Length: " + strconv.Itoa(length) + "\r\n"
	if last {
		fields += "Connection: close\r\n"
	}
	return fields + "\r\n"
}
