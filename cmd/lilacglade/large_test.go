package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// largeBody is far larger than the bodies that the proxy buffers whole. No part of it repeats.
var largeBody = func() []byte {
	b := make([]byte, 0, 3<<20)
	for i := 0; len(b) < 3<<20; i++ {
		b = strconv.AppendInt(append(b, ' '), int64(i), 36)
	}
	return b
}()

// reportBody answers with the length and hash of the request body, its declared length and the read error.
func reportBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%d %x %v %v", len(body), sha256.Sum256(body), r.ContentLength, err)
}

// encodeChunked encodes a body in chunks of size bytes, with chunk extensions and a trailer.
func encodeChunked(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%X;a=b\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nT: u\r\n\r\n"
}

// TestLargeRequests covers each framing, the next request on the same connection, and a client that waits
// for 100 Continue.
func TestLargeRequests(t *testing.T) {
	n := startProxy(t, startDiscovery(t, startServer(t, reportBody)))
	sum := fmt.Sprintf("%d %x ", len(largeBody), sha256.Sum256(largeBody))
	counted := requestHeader + "Content-Length: " + strconv.Itoa(len(largeBody)) + "\r\n\r\n" + string(largeBody)
	chunked := requestHeader + "Transfer-Encoding: chunked\r\n\r\n"
	for name, in := range map[string]string{"counted": counted,
		"chunked":      chunked + encodeChunked(largeBody, 50000),
		"small chunks": chunked + encodeChunked(largeBody, 100)} {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() {
			io.WriteString(conn, in)
			io.WriteString(conn, strings.Replace(fullRequest, "r1", "r2", 1))
		}()
		r := bufio.NewReader(conn)
		res, body := n.readResponse(r)
		if res.StatusCode != 200 || !strings.HasPrefix(body, sum) || strings.Contains(body, "EOF") {
			t.Errorf("%s: got %d %.200q, want %s", name, res.StatusCode, body, sum)
		} else if res, body := n.readResponse(r); res.StatusCode != 200 || !strings.HasPrefix(body, "3 ") {
			t.Errorf("%s: the next one got %d %.200q", name, res.StatusCode, body)
		}
	}
	_, r := n.send(requestHeader + "Expect: 100-continue\r\nContent-Length: 70000\r\n\r\n")
	if line, _ := r.ReadString('\n'); !strings.Contains(line, "100") {
		t.Errorf("no 100 Continue: %q", line)
	}
}

// TestIncompleteLargeRequests covers servers that disconnect or answer early and clients that send
// malformed or incomplete bodies: one answer, no retry of a body that is no longer held, and the proxy
// keeps serving.
func TestIncompleteLargeRequests(t *testing.T) {
	var mu sync.Mutex
	attempts := map[string]int{}
	n := startProxy(t, startDiscovery(t, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		attempts[r.Header.Get("Request-Id")]++
		mu.Unlock()
		some := make([]byte, 1<<20)
		switch r.Header.Get("Request-Id") {
		case "breaks":
			io.ReadFull(r.Body, some)
			panic(http.ErrAbortHandler)
		case "full":
			io.ReadFull(r.Body, some)
			w.Header().Set("Not-Started", "1")
			w.WriteHeader(503)
		default:
			reportBody(w, r)
		}
	})))
	// More than all buffers on the path hold, so it cannot be fully written when the server disconnects.
	length, huge := "Content-Length: 30000000\r\n\r\n", strings.Repeat("0123456789", 3000000)
	for _, tc := range []struct {
		id, in string
		status int
	}{
		{"breaks", length + huge, 503}, // no server received it completely
		{"full", length + huge, 503},
		{"spoilt", "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(
			encodeChunked(largeBody[:1<<20], 50000), "0\r\nT: u\r\n\r\n") + "nonsense\r\n", 400},
		{"stops", length + string(largeBody[:1<<20]), 408},
		{"endless", "Content-Length: 60000000\r\n\r\n", 413},
		{"unknown", strings.Replace(length, "Content", "Tenant: x\r\nContent", 1) + huge, 400},
	} {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go io.WriteString(conn, strings.Replace(requestHeader, "r1", tc.id, 1)+tc.in)
		if res, _ := n.readResponse(bufio.NewReader(conn)); res.StatusCode != tc.status || !res.Close {
			t.Errorf("%s: got %d, closing %t, want %d", tc.id, res.StatusCode, res.Close, tc.status)
		}
	}
	_, r := n.send(fullRequest)
	if res, _ := n.readResponse(r); res.StatusCode != 200 {
		t.Errorf("after the incomplete requests: got %d", res.StatusCode)
	}
	mu.Lock()
	defer mu.Unlock()
	if attempts["breaks"] != 1 || attempts["full"] != 1 {
		t.Errorf("attempts %v, want one for each body that is no longer held", attempts)
	}
}

// expectedBody returns the body that TestLargeAnswers expects for a request ID.
func expectedBody(id string) []byte {
	if id == "closed small" {
		return largeBody[:80000]
	}
	return largeBody
}

// TestLargeAnswers covers each framing, for HTTP/1.1 clients and for HTTP/1.0 clients, which have no
// chunked encoding. A client must be able to detect a truncated answer.
func TestLargeAnswers(t *testing.T) {
	n := startProxy(t, startDiscovery(t, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if strings.HasPrefix(id, "closed") || id == "cut" {
			conn, buf, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			length := ""
			if id == "cut" {
				length = "Content-Length: " + strconv.Itoa(len(largeBody)+1) + "\r\n"
			}
			buf.WriteString("HTTP/1.1 200 OK\r\n" + length + "Connection: close\r\n\r\n")
			buf.Write(expectedBody(id))
			buf.Flush()
			return
		}
		if id == "counted" {
			w.Header().Set("Content-Length", strconv.Itoa(len(largeBody)))
		}
		w.Write(largeBody)
	})))
	// The small body fits the socket buffers, so it arrives together with the end of its connection.
	for _, id := range []string{"counted", "chunked", "closed", "cut", "closed small"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			in := strings.Replace(strings.Replace(fullRequest, "r1", id, 1), "HTTP/1.1", version, 1)
			_, r := n.send(in)
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(id, version, err)
			}
			body, err := io.ReadAll(res.Body)
			if id == "cut" {
				if err == nil {
					t.Errorf("cut off %s: the client cannot detect it", version)
				}
			} else if err != nil || !bytes.Equal(body, expectedBody(id)) {
				t.Errorf("%s %s: %d bytes of %d, %v", id, version, len(body), len(largeBody), err)
			}
			if res.Close != (version == "HTTP/1.0") {
				t.Errorf("%s %s: closing %t", id, version, res.Close)
			}
		}
	}
}

// TestMemoryIsBounded covers servers that send faster than clients read: the answers together far exceed
// the memory limit, and no client reads on before all answers have started.
func TestMemoryIsBounded(t *testing.T) {
	const clientCount, bodySize = 16, 16 << 20
	text, err := os.ReadFile(exampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	text = bytes.Replace(text, []byte(`"memory_mb": 192`), []byte(`"memory_mb": 64`), 1)
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	n := startWithConfig(t, startDiscovery(t, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(bodySize))
		for sent := 0; sent < bodySize; sent += 1 << 20 {
			w.Write(largeBody[:1<<20])
		}
	})), config)
	var readers []*bufio.Reader
	for i := range clientCount {
		_, r := n.send(strings.Replace(fullRequest, "r1", fmt.Sprint("m", i), 1))
		readers = append(readers, r)
		if _, err := r.Peek(1); err != nil {
			t.Fatal(err)
		}
	}
	var wait sync.WaitGroup
	for _, r := range readers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Error(err)
				return
			}
			if got, err := io.Copy(io.Discard, res.Body); got != bodySize {
				t.Errorf("%d bytes of %d, %v", got, bodySize, err)
			}
		}()
	}
	wait.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil || kb > 64<<10 {
		t.Errorf("peak memory %d kB, %v, for %d MB", kb, err, clientCount*bodySize>>20)
	}
	t.Logf("peak memory %d kB", kb)
}

// TestSmallAnswersAfterLargeAnswers covers a server connection that was detached from the HTTP library for
// a large answer: later answers of any framing are still parsed, also one that ends with the connection.
func TestSmallAnswersAfterLargeAnswers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for _, answer := range []string{"Content-Length: 90000\r\n\r\n" + string(largeBody[:90000]),
					"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "\r\ntill the end"} {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+answer)
				}
			}()
		}
	}()
	n := startProxy(t, startDiscovery(t, ln.Addr().String()))
	_, r := n.send(fullRequest)
	n.readResponse(r)
	for i, want := range []string{"abc", "till the end"} {
		_, r := n.send(fullRequest)
		if res, body := n.readResponse(r); res.StatusCode != 200 || body != want {
			t.Errorf("answer %d: got %d %.80q, want %q", i, res.StatusCode, body, want)
		}
	}
}

// TestSlowAnswerIsNotBuffered covers a slow answer of unknown length: its first bytes reach the client
// before the server has sent the rest.
func TestSlowAnswerIsNotBuffered(t *testing.T) {
	firstRead := make(chan struct{})
	n := startProxy(t, startDiscovery(t, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		select {
		case <-firstRead:
		case <-r.Context().Done():
		}
		io.WriteString(w, "last")
	})))
	for range 3 { // first on a connection of the HTTP library, then on the same one, detached
		_, r := n.send(fullRequest)
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 5)
		if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != "first" {
			t.Fatalf("got %q, %v, %s", first, err, res.Status)
		}
		firstRead <- struct{}{}
		if rest, err := io.ReadAll(res.Body); err != nil || string(rest) != "last" {
			t.Errorf("then %q, %v", rest, err)
		}
	}
}
