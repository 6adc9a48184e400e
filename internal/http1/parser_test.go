package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// parseAll feeds a stream in pieces of the given size in bytes and returns a text of the messages, and
// of the error if there is one.
func parseAll(stream []byte, size int, responses bool) string {
	var out strings.Builder
	p := Parser{Responses: responses}
	for len(stream) > 0 {
		n := min(size, len(stream))
		p.Feed(append([]byte(nil), stream[:n]...))
		stream = stream[n:]
		for {
			m, err := p.Next()
			if err != nil {
				fmt.Fprintf(&out, "error %v", err)
				return out.String()
			}
			if m == nil && p.Large() { // decode the rest as a streaming caller does
				m, body, rest := p.Stream()
				m.Body = append([]byte(nil), m.Body...)
				for {
					for len(rest) > 0 && !body.Done {
						var data []byte
						if data, rest, err = body.Next(rest); err != nil {
							fmt.Fprintf(&out, "error %v", err)
							return out.String()
						}
						m.Body = append(m.Body, data...)
					}
					if body.Done || len(stream) == 0 {
						break
					}
					n := min(size, len(stream))
					rest, stream = append([]byte(nil), stream[:n]...), stream[n:]
				}
				if !body.Done && !body.UntilClose() {
					return out.String()
				}
				describe(&out, m)
				p.Feed(append([]byte(nil), rest...))
				continue
			}
			if m == nil {
				break
			}
			describe(&out, m)
		}
	}
	if m := p.End(); m != nil {
		describe(&out, m)
	}
	return out.String()
}

// describe appends one line that shows every part of the message.
func describe(out *strings.Builder, m *Message) {
	fmt.Fprintf(out, "%s %s %d %t %q", m.Method, m.Target, m.Status, m.Close, m.Body)
	for _, f := range m.Fields {
		fmt.Fprintf(out, " %q=%q", f.Name, f.Value)
	}
	out.WriteString("\n")
}

const (
	host          = "HTTP/1.1\r\nHost: h\r\n"
	contentLength = "Content-Length: 3\r\n"
)

// TestRequests covers valid and invalid requests, each fed in pieces of several sizes.
func TestRequests(t *testing.T) {
	chunks := "POST /api " + host + "Transfer-Encoding: chunked\r\n\r\n"
	big := strings.Repeat("0123456789", 7000)
	long := strings.Repeat("x", MaxHead)
	tests := map[string]struct{ input, body, err string }{
		"no body":        {"GET /api " + host + "\r\n", "", ""},
		"counted":        {"POST /api " + host + "Content-Length: 3\r\n\r\nabc", "abc", ""},
		"chunked":        {chunks + "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n", "abcde", ""},
		"large, counted": {"POST / " + host + "Content-Length: 70000\r\n\r\n" + big, big, ""},
		"large, chunked": {chunks + "8000;q=\"a\" \r\n" + big[:32768] +
			"\r\n9170 \r\n" + big[32768:] + "\r\n0\r\n\r\n", big, ""},
		"absolute target":    {"POST http://h:1/api " + host + "Content-Length: 3\r\n\r\nabc", "abc", ""},
		"trailer, no end":    {chunks + "0\r\nT: u\rx", "", "malformed"},
		"line feed in chunk": {chunks + "3\nabc", "", "malformed"},
		"empty line first":   {"\r\nGET /api " + host + "\r\n", "", ""},
		"repeated length":    {"POST / " + host + contentLength + contentLength + "\r\nabc", "", "malformed"},
		"signed length":      {"POST / " + host + "Content-Length: +3\r\n\r\nabc", "", "malformed"},
		"both framings":      {chunks[:len(chunks)-2] + "Content-Length: 3\r\n\r\nabc", "", "malformed"},
		"unknown coding":     {"POST / " + host + "Transfer-Encoding: gzip\r\n\r\n", "", "malformed"},
		"no host":            {"GET / HTTP/1.1\r\n\r\n", "", "malformed"},
		"space before colon": {"GET / " + host + "A : b\r\n\r\n", "", "malformed"},
		"folded line":        {"GET / " + host + "A: b\r\n c: d\r\n\r\n", "", "malformed"},
		"bare line feed":     {"GET / " + host + "A: b\nc: d\r\n\r\n", "", "malformed"},
		"other version":      {"GET / HTTP/2.0\r\nHost: h\r\n\r\n", "", "malformed"},
		"chunk size":         {chunks + "-1\r\n", "", "malformed"},
		"chunk too long":     {chunks + "3\r\nabcd\r\n", "", "malformed"},
		"head too large":     {"GET / " + host + "A: " + long, "", "head too large"},
		"body too large":     {"POST / " + host + "Content-Length: 33554433\r\n\r\n", "", "body too large"},
		"chunks too large":   {chunks + "2000001\r\n", "", "body too large"},
	}
	for name, tc := range tests {
		for _, size := range []int{1, 7, 1 << 20} {
			got := parseAll([]byte(tc.input), size, false)
			if tc.err != "" && !strings.Contains(got, "error "+tc.err) {
				t.Errorf("%s in pieces of %d: got %s, want %s", name, size, got, tc.err)
			}
			if tc.err == "" && !strings.Contains(got, fmt.Sprintf("%q \"Host\"", tc.body)) {
				t.Errorf("%s in pieces of %d: got %s, want body %q", name, size, got, tc.body)
			}
		}
	}
}

// TestEndlessFraming checks that a chunked body with little data and unlimited extensions or trailers fails
// before it fills the buffer.
func TestEndlessFraming(t *testing.T) {
	for _, piece := range []string{"1;" + strings.Repeat("x", 4000) + "\r\na\r\n", "T: u\r\n"} {
		p := Parser{Responses: true}
		p.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		if piece[0] == 'T' {
			p.Feed([]byte("0\r\n"))
		}
		fed, maxBuffered := 0, 0
		var err error
		for ; err == nil && fed < 2*maxFramingBase; fed += len(piece) {
			p.Feed([]byte(piece))
			_, err = p.Next()
			maxBuffered = max(maxBuffered, p.Buffered())
		}
		if err == nil || maxBuffered > MaxHead+MaxBody {
			t.Errorf("%.9q: error %v, %d bytes buffered", piece, err, maxBuffered)
		}
	}
}

// TestResponseEndsAtConnectionClose covers a response without a declared length.
func TestResponseEndsAtConnectionClose(t *testing.T) {
	if got := parseAll([]byte("HTTP/1.1 200 OK\r\n\r\nabc"), 4, true); !strings.Contains(got, `200 true "abc"`) {
		t.Errorf("got %s", got)
	}
}

// TestReturnedMessageIsImmutable checks that input received later on the same connection does not
// overwrite a message that Next has returned and that may still be in use.
func TestReturnedMessageIsImmutable(t *testing.T) {
	var p Parser
	p.Feed([]byte("POST /api " + host + "Content-Length: 3\r\n\r\nabcGET /x"))
	m, err := p.Next()
	if err != nil || m == nil {
		t.Fatal(m, err)
	}
	p.Feed([]byte(strings.Repeat("z", 200)))
	if _, err := p.Next(); err != nil || string(m.Body) != "abc" || string(m.Target) != "/api" {
		t.Errorf("got %s %s, %v", m.Target, m.Body, err)
	}
}

// TestContinueRequestedOnce checks that WantsContinue returns true only once per request.
func TestContinueRequestedOnce(t *testing.T) {
	var p Parser
	p.Feed([]byte("POST /api " + host + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"))
	if _, err := p.Next(); err != nil || !p.WantsContinue() || p.WantsContinue() {
		t.Errorf("WantsContinue did not return true exactly once, error %v", err)
	}
}

// TestForwardRequestDropsHopByHopFields covers the fixed fields and those listed in a Connection field.
func TestForwardRequestDropsHopByHopFields(t *testing.T) {
	var p Parser
	p.Feed([]byte("POST /api?a=b " + host + "Connection: close, X-Own\r\nX-Own: 1\r\nKeep: me\r\n" +
		"Wait: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	m, err := p.Next()
	if err != nil {
		t.Fatal(err)
	}
	want := "POST /api?a=b HTTP/1.1\r\nHost: h\r\nKeep: me\r\nWait: 2\r\nContent-Length: 1\r\n\r\na"
	if got := string(bytes.Join(m.ForwardRequest("Wait", "2"), nil)); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// FuzzParser checks that the result does not depend on how the stream is split, and that a forwarded
// request parses back to the same body.
func FuzzParser(f *testing.F) {
	chunked := "POST /api " + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	f.Add([]byte(chunked+"GET / "+host+"\r\n"), 5, false)
	f.Add([]byte("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 503 X\r\nContent-Length: 1\r\n\r\na"), 2, true)
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\ntill the end"), 3, true)
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"), 9, false)
	f.Fuzz(func(t *testing.T, stream []byte, size int, responses bool) {
		whole := parseAll(stream, len(stream)+1, responses)
		if pieces := parseAll(stream, max(1, size), responses); pieces != whole {
			t.Fatalf("whole: %s\nin pieces: %s", whole, pieces)
		}
		p := Parser{}
		p.Feed(append([]byte(nil), stream...))
		if m, err := p.Next(); err == nil && m != nil {
			var reparser Parser
			reparser.Feed(bytes.Join(m.ForwardRequest("X", "1"), nil))
			again, err := reparser.Next()
			// The added fields may push a head that is close to MaxHead over the limit.
			if err == nil && !bytes.Equal(again.Body, m.Body) || err != nil && !errors.Is(err, ErrHeadSize) {
				t.Fatalf("%q reads back as %v, %v", stream, again, err)
			}
		}
	})
}

// TestEmptyLinesAreBounded guards against a client that sends empty lines without end: some before a request
// are skipped, in one read or many, and more than a head may take are an error.
func TestEmptyLinesAreBounded(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, tc := range []struct {
		lines, perRead int
		valid          bool
	}{{1, 1, true}, {MaxHead / 2, 100, true}, {MaxHead/2 + 1, 100, false}, {MaxHead, MaxHead, false}} {
		var p Parser
		for left := tc.lines; left > 0; left -= tc.perRead {
			p.Feed([]byte(strings.Repeat("\r\n", min(left, tc.perRead))))
			p.Next()
		}
		for range 2 { // the second request has no empty lines before it
			p.Feed([]byte(request))
			if message, err := p.Next(); (message != nil) != tc.valid || (err == nil) != tc.valid {
				t.Errorf("%d empty lines: %v, %v", tc.lines, message, err)
			}
		}
	}
}

// TestFieldsAreBounded guards against heads of very many short fields, which take many times their size once
// they are parsed.
func TestFieldsAreBounded(t *testing.T) {
	for _, tc := range []struct {
		fields int
		want   error
	}{{MaxFields, nil}, {MaxFields + 1, ErrHeadSize}, {3000, ErrHeadSize}} {
		var p Parser
		p.Feed([]byte("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", tc.fields-1) + "\r\n"))
		message, err := p.Next()
		if err != tc.want || (message != nil) != (tc.want == nil) {
			t.Errorf("%d fields: %v", tc.fields, err)
		}
	}
}
