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

// large is a body far beyond what is kept whole; no part of it looks like another.
var large = func() []byte {
	b := make([]byte, 0, 3<<20)
	for i := 0; len(b) < 3<<20; i++ {
		b = strconv.AppendInt(append(b, ' '), int64(i), 36)
	}
	return b
}()

// weigh answers with what came.
func weigh(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%d %x %v %v", len(body), sha256.Sum256(body), r.ContentLength, err)
}

// chunks words a body in chunks of the given size, with an extension and a trailer.
func chunks(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%X;a=b\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\nT: u\r\n\r\n"
}

// TestLargeRequests covers every framing, a caller that waits for leave, and what follows on the same leg.
func TestLargeRequests(t *testing.T) {
	n := start(t, discovery(t, album(t, weigh)))
	sum := fmt.Sprintf("%d %x ", len(large), sha256.Sum256(large))
	counted := edit + "Content-Length: " + strconv.Itoa(len(large)) + "\r\n\r\n" + string(large)
	chunked := edit + "Transfer-Encoding: chunked\r\n\r\n"
	for name, in := range map[string]string{"counted": counted, "chunked": chunked + chunks(large, 50000),
		"small chunks": chunked + chunks(large, 100)} {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() {
			io.WriteString(conn, in)
			io.WriteString(conn, strings.Replace(whole, "r1", "r2", 1))
		}()
		r := bufio.NewReader(conn)
		res, body := n.hear(r)
		if res.StatusCode != 200 || !strings.HasPrefix(body, sum) || strings.Contains(body, "EOF") {
			t.Errorf("%s: got %d %.200q, want %s", name, res.StatusCode, body, sum)
		} else if res, body := n.hear(r); res.StatusCode != 200 || !strings.HasPrefix(body, "3 ") {
			t.Errorf("%s: the next one got %d %.200q", name, res.StatusCode, body)
		}
	}
	_, r := n.say(edit + "Expect: 100-continue\r\nContent-Length: 70000\r\n\r\n")
	if line, _ := r.ReadString('\n'); !strings.Contains(line, "100") {
		t.Errorf("no leave: %q", line)
	}
}

// TestLargeRequestsThatEndWrongly covers next hops that break off or answer early and callers that send
// what can't be read: one answer, no second attempt of what is gone, and the proxy serves on.
func TestLargeRequestsThatEndWrongly(t *testing.T) {
	var mu sync.Mutex
	tries := map[string]int{}
	n := start(t, discovery(t, album(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		tries[r.Header.Get("Request-Id")]++
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
			weigh(w, r)
		}
	})))
	// More than all buffers on the way hold: it can't have been written whole when its next hop breaks off.
	length, huge := "Content-Length: 30000000\r\n\r\n", strings.Repeat("0123456789", 3000000)
	for _, tc := range []struct {
		id, in string
		status int
	}{
		{"breaks", length + huge, 503}, // it was never whole at a next hop
		{"full", length + huge, 503},
		{"spoilt", "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunks(large[:1<<20], 50000),
			"0\r\nT: u\r\n\r\n") + "nonsense\r\n", 400},
		{"stops", length + string(large[:1<<20]), 408},
		{"endless", "Content-Length: 60000000\r\n\r\n", 413},
		{"unknown", strings.Replace(length, "Content", "Tenant: x\r\nContent", 1) + huge, 400},
	} {
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go io.WriteString(conn, strings.Replace(edit, "r1", tc.id, 1)+tc.in)
		if res, _ := n.hear(bufio.NewReader(conn)); res.StatusCode != tc.status || !res.Close {
			t.Errorf("%s: got %d, closing %t, want %d", tc.id, res.StatusCode, res.Close, tc.status)
		}
	}
	_, r := n.say(whole)
	if res, _ := n.hear(r); res.StatusCode != 200 {
		t.Errorf("after all that: got %d", res.StatusCode)
	}
	mu.Lock()
	defer mu.Unlock()
	if tries["breaks"] != 1 || tries["full"] != 1 {
		t.Errorf("tries %v, want one each of what was gone", tries)
	}
}

// answerTo is what TestLargeAnswers wants of a request.
func answerTo(id string) []byte {
	if id == "closed small" {
		return large[:80000]
	}
	return large
}

// TestLargeAnswers covers every framing, to callers that know chunks and to one that doesn't, and one that
// breaks off: the caller must be able to tell.
func TestLargeAnswers(t *testing.T) {
	n := start(t, discovery(t, album(t, func(w http.ResponseWriter, r *http.Request) {
		how := r.Header.Get("Request-Id")
		if strings.HasPrefix(how, "closed") || how == "cut" {
			conn, buf, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			length := ""
			if how == "cut" {
				length = "Content-Length: " + strconv.Itoa(len(large)+1) + "\r\n"
			}
			buf.WriteString("HTTP/1.1 200 OK\r\n" + length + "Connection: close\r\n\r\n")
			buf.Write(answerTo(how))
			buf.Flush()
			return
		}
		if how == "counted" {
			w.Header().Set("Content-Length", strconv.Itoa(len(large)))
		}
		w.Write(large)
	})))
	// What fits the kernel's buffers comes together with its connection's end.
	for _, how := range []string{"counted", "chunked", "closed", "cut", "closed small"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			in := strings.Replace(strings.Replace(whole, "r1", how, 1), "HTTP/1.1", version, 1)
			_, r := n.say(in)
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(how, version, err)
			}
			body, err := io.ReadAll(res.Body)
			if how == "cut" {
				if err == nil {
					t.Errorf("cut off %s: the caller can't tell", version)
				}
			} else if err != nil || !bytes.Equal(body, answerTo(how)) {
				t.Errorf("%s %s: %d bytes of %d, %v", how, version, len(body), len(large), err)
			}
			if res.Close != (version == "HTTP/1.0") {
				t.Errorf("%s %s: closing %t", how, version, res.Close)
			}
		}
	}
}

// TestMemoryIsBounded guards against what a next hop sends faster than callers read: all of it together
// is far over the limit, and none of the callers reads before all are being answered.
func TestMemoryIsBounded(t *testing.T) {
	const many, each = 16, 16 << 20
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	text = bytes.Replace(text, []byte(`"memory_mb": 192`), []byte(`"memory_mb": 64`), 1)
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	n := startWith(t, discovery(t, album(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(each))
		for sent := 0; sent < each; sent += 1 << 20 {
			w.Write(large[:1<<20])
		}
	})), config)
	var all []*bufio.Reader
	for i := range many {
		_, r := n.say(strings.Replace(whole, "r1", fmt.Sprint("m", i), 1))
		all = append(all, r)
		if _, err := r.Peek(1); err != nil {
			t.Fatal(err)
		}
	}
	var wait sync.WaitGroup
	for _, r := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Error(err)
				return
			}
			if got, err := io.Copy(io.Discard, res.Body); got != each {
				t.Errorf("%d bytes of %d, %v", got, each, err)
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
		t.Errorf("%d kB at the most, %v, for %d MB", kb, err, many*each>>20)
	}
	t.Logf("%d kB at the most", kb)
}

// TestSmallAnswersAfterLargeOnes covers a leg that has left the library: what it brings next, in any
// framing, is read as ever, and its end is the end of an answer that says so.
func TestSmallAnswersAfterLargeOnes(t *testing.T) {
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
				for _, answer := range []string{"Content-Length: 90000\r\n\r\n" + string(large[:90000]),
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
	n := start(t, discovery(t, ln.Addr().String()))
	_, r := n.say(whole)
	n.hear(r)
	for i, want := range []string{"abc", "till the end"} {
		_, r := n.say(whole)
		if res, body := n.hear(r); res.StatusCode != 200 || body != want {
			t.Errorf("answer %d: got %d %.80q, want %q", i, res.StatusCode, body, want)
		}
	}
}

// TestSlowAnswerIsNotHeldBack covers an answer of unknown length that comes slowly: its first bytes
// reach the caller while the album server still owes the rest.
func TestSlowAnswerIsNotHeldBack(t *testing.T) {
	read := make(chan struct{})
	n := start(t, discovery(t, album(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		select {
		case <-read:
		case <-r.Context().Done():
		}
		io.WriteString(w, "last")
	})))
	for range 3 { // on a leg of the library's, then on the same, which was detached
		_, r := n.say(whole)
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 5)
		if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != "first" {
			t.Fatalf("got %q, %v, %s", first, err, res.Status)
		}
		read <- struct{}{}
		if rest, err := io.ReadAll(res.Body); err != nil || string(rest) != "last" {
			t.Errorf("then %q, %v", rest, err)
		}
	}
}
