package transport

import (
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lilacglade/internal/http1"
	"lilacglade/internal/settings"
)

// lateAnswer is how long after its time a request may be answered before it counts as lost.
const lateAnswer = 500 * time.Millisecond

// badClientLimit is the time within which a client that stops in the middle of a request gets its answer.
const badClientLimit = 3 * time.Second

// unreadBytes returns how much lies unread in the kernel at the proxy's side of a client connection, which
// is a descriptor of this process.
func unreadBytes(t *testing.T, client net.Conn) (unread int) {
	t.Helper()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	port := client.LocalAddr().(*net.TCPAddr).Port
	for _, entry := range descriptors {
		fd, _ := strconv.Atoi(entry.Name())
		peer, err := syscall.Getpeername(fd)
		if address, ok := peer.(*syscall.SockaddrInet4); err != nil || !ok || address.Port != port {
			continue
		}
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			unread = max(unread, n)
		}
	}
	return unread
}

// uploadUntilBlocked sends chunks of an upload until they stay unread, because its server takes nothing.
func uploadUntilBlocked(t *testing.T, client *scriptedConn, id string, timeout time.Duration) {
	t.Helper()
	head, _, _ := strings.Cut(uploadRequest(id, timeout, 0), "Content-Length")
	client.send(head + "Transfer-Encoding: chunked\r\n\r\n")
	chunk := "2000\r\n" + strings.Repeat("c", 0x2000) + "\r\n"
	for blocked, sent := 0, 0; blocked < 20; time.Sleep(5 * time.Millisecond) {
		if unreadBytes(t, client) > 0 {
			blocked++
			continue
		}
		if blocked = 0; sent > 30<<20 {
			t.Fatal("the server takes everything")
		}
		client.send(chunk)
		sent += len(chunk)
	}
}

// TestUploadBehindSilentServer guards against an upload that is answered only when its server reads again,
// seconds after its time: its last byte has arrived, and nobody looks while the rest waits to be written.
func TestUploadBehindSilentServer(t *testing.T) {
	t.Parallel()
	const timeout = time.Second
	for name, end := range map[string]struct {
		bytes  string
		status int
	}{"complete": {"0\r\n\r\n", 504}, "malformed": {"x", 400}, "paused": {"", 408}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t)
			proxy := startProxy(t, readyList(1, server))
			client := proxy.connect()
			uploadUntilBlocked(t, client, "up", timeout)
			client.send(end.bytes)
			sent := time.Now()
			status, _, err := client.answer()
			limit := timeout + lateAnswer
			if end.bytes == "" {
				limit = badClientLimit
			}
			if took := time.Since(sent); status != end.status || err != nil || took > limit {
				t.Errorf("status %d %v after the last byte, %v", status, took, err)
			}
		})
	}
}

// countingServer starts a server that reads whatever comes and never answers.
func countingServer(t *testing.T, received *atomic.Int64) *fakeServer {
	server := newFakeServer(t)
	go func() {
		for conn := range server.conns {
			go func() {
				buffer := make([]byte, 32<<10)
				for {
					n, err := conn.Read(buffer)
					if received.Add(int64(n)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return server
}

// startProxyWithFewBuffers starts a proxy with the fewest large buffers that there can be.
func startProxyWithFewBuffers(t *testing.T, servers ...*fakeServer) (*testProxy, *scriptedConn) {
	t.Helper()
	proxy := startProxy(t, readyList(1, servers...), func(node *settings.Node) { node.Limits.MemoryMB = 1 })
	client := proxy.connect()
	debug.SetMemoryLimit(math.MaxInt64) // the proxy has set its own for this whole process
	return proxy, client
}

// TestUploadWithoutBuffer guards against the same where other uploads hold all buffers.
func TestUploadWithoutBuffer(t *testing.T) {
	const timeout, size, firstPart = time.Second, 1 << 20, 100 << 10
	var received atomic.Int64
	var servers []*fakeServer
	for range 2 * minStreamBuffers {
		servers = append(servers, countingServer(t, &received))
	}
	proxy, client := startProxyWithFewBuffers(t, servers...)
	for i := range minStreamBuffers { // each holds a buffer for as long as its client may pause
		slow := proxy.connect()
		slow.send(uploadRequest(fmt.Sprint("slow-", i), timeout, size) + strings.Repeat("s", firstPart))
	}
	for received.Load() < minStreamBuffers*firstPart {
		time.Sleep(time.Millisecond)
	}
	client.send(uploadRequest("up", timeout, firstPart) + strings.Repeat("u", firstPart))
	sent := time.Now()
	status, _, err := client.answer()
	if took := time.Since(sent); status != 504 || err != nil || took > timeout+lateAnswer {
		t.Errorf("status %d %v after the last byte, %v", status, took, err)
	}
}

// TestSlowReadersDontHoldBackOthers guards against a large answer whose rest is held back, since readers that
// take nothing hold all buffers: the pages allow 2 s.
func TestSlowReadersDontHoldBackOthers(t *testing.T) {
	const size, limit = 16 << 20, 2 * time.Second
	var servers []*fakeServer
	for range 2 * minStreamBuffers {
		servers = append(servers, startEchoServer(t, size))
	}
	proxy, client := startProxyWithFewBuffers(t, servers...)
	for i := range minStreamBuffers {
		slow := proxy.connect()
		slow.send(editRequest(fmt.Sprint("slow-", i)))
		slow.reader.Peek(1)
	}
	time.Sleep(500 * time.Millisecond) // the kernel's buffers fill
	client.send(editRequest("fast"))
	sent := time.Now()
	status, body, err := client.answer()
	if took := time.Since(sent); status != 200 || len(body) != size || err != nil || took > limit {
		t.Errorf("status %d, %d bytes after %v, %v", status, len(body), took, err)
	}
}

// TestUploadWatchStates checks what is found of an upload without anything being read.
func TestUploadWatchStates(t *testing.T) {
	const fixed, chunked = "Content-Length: 100000\r\n", "Transfer-Encoding: chunked\r\n"
	for _, tc := range []struct {
		name, framing, unread string
		want                  uploadState
	}{
		{"nothing", fixed, "", uploadArriving},
		{"all but one byte", fixed, strings.Repeat("b", 99_999), uploadArriving},
		{"all", fixed, strings.Repeat("b", 100_000), uploadArrived},
		{"more than all", fixed, strings.Repeat("b", 100_001), uploadArrived},
		{"chunks", chunked, "5\r\nabcde\r\n", uploadArriving},
		{"chunks without the last byte", chunked, "5\r\nabcde\r\n0\r\n\r", uploadArriving},
		{"all chunks", chunked, "5\r\nabcde\r\n0\r\n\r\n", uploadArrived},
		{"malformed", chunked, "5\r\nabcdefgh", uploadFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, other := openServerConn(t)
			conn.requestDetach(false)
			<-conn.stdConnReady
			parser := http1.Parser{}
			parser.Feed([]byte("POST / HTTP/1.1\r\nHost: h\r\n" + tc.framing + "\r\n"))
			if message, err := parser.Next(); message != nil || err != nil {
				t.Fatal(message, err)
			}
			_, body, _ := parser.Stream()
			stream := &bodyStream{source: conn, isUpload: true, length: body.Length(), body: body,
				peeks: new(peekBuffer)}
			watch := &uploadWatch{stream: stream, progressAt: time.Now()}
			if _, err := io.WriteString(other, tc.unread); err != nil {
				t.Fatal(err)
			}
			for unreadBytes(t, other) < len(tc.unread) {
				time.Sleep(time.Millisecond)
			}
			for range 2 { // the first look has changed nothing
				state, err := watch.state(time.Now())
				if state != tc.want || (err != nil) != (tc.want == uploadFailed) {
					t.Errorf("got %d, %v, want %d", state, err, tc.want)
				}
			}
			stream.reading.Lock()
			if state, _ := watch.state(time.Now()); state != uploadArriving {
				t.Errorf("got %d while it is read", state)
			}
			stream.reading.Unlock()
			if state, _ := watch.state(watch.progressAt.Add(maxUploadPause)); tc.want == uploadArriving &&
				len(tc.unread) < 1000 && state != uploadFailed {
				t.Errorf("got %d after a pause", state)
			}
			other.Close()
			for !conn.hungUp() {
				time.Sleep(time.Millisecond)
			}
			if state, err := watch.state(time.Now()); tc.want == uploadArriving &&
				(state != uploadAbandoned || err != nil) {
				t.Errorf("got %d, %v after the client has left", state, err)
			}
			conn.close()
			if state, err := watch.state(time.Now()); state != uploadAbandoned || err != nil {
				t.Errorf("got %d, %v on a closed connection", state, err)
			}
		})
	}
}

// TestUploadReadByStoppedAttempt guards against an upload without a deadline: the attempt that read its
// last byte was stopped before it reported that, and the next one has not begun.
func TestUploadReadByStoppedAttempt(t *testing.T) {
	source := &connection{inbox: newInbox()}
	watch := &uploadWatch{stream: &bodyStream{source: source, body: http1.Body{Done: true}}}
	watch.look()
	items := source.inbox.takeAll(nil)
	if len(items) != 1 {
		t.Fatalf("%d items", len(items))
	}
	if arrived, ok := items[0].(bodyArrived); !ok || arrived.stream != watch.stream {
		t.Errorf("posted %+v", items[0])
	}
}

// TestLateReportOfUpload guards against a report of an upload that is taken for one of the next request on
// its connection. The proxy here has no reducer: an event would panic.
func TestLateReportOfUpload(t *testing.T) {
	stream := &bodyStream{source: &connection{}, complete: true}
	new(proxy).handleItem(bodyArrived{stream: stream, arrivedAfter: time.Now()})
	new(proxy).handleItem(bodyFailed{stream, os.ErrDeadlineExceeded})
}
