package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"
	"weak"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// testTimeout only ends a test that hangs.
const testTimeout = time.Minute

// TestClosingWhileWriting checks that no write buffer is filled while the library frees it. Each
// write reports exactly once, and so does the end of the connection, in whatever order they happen.
func TestClosingWhileWriting(t *testing.T) {
	ln, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loop, err := netpoll.NewEventLoop(func(_ context.Context, accepted netpoll.Connection) error {
		return accepted.Close() // so that connections are closed from the other side, too
	})
	if err != nil {
		t.Fatal(err)
	}
	go loop.Serve(ln)
	buffers := make([][]byte, 500) // filling that many takes a while
	for i := range buffers {
		buffers[i] = make([]byte, 100)
	}
	for round := range 300 {
		inbox := newInbox()
		conn := &connection{inbox: inbox, clock: newClock(), parser: http1.Parser{Responses: true}}
		socket, err := netpoll.DialConnection("tcp", ln.Addr().String(), testTimeout)
		// The library's race build identifies a connection by its descriptor, and takes the end of
		// the last one for that of a new one with the same number.
		for tries := 0; err != nil && tries < 9; tries++ {
			socket, err = netpoll.DialConnection("tcp", ln.Addr().String(), testTimeout)
		}
		if err != nil {
			t.Fatal(err)
		}
		const jobs = 4
		reports, ends := 0, 0
		if conn.open(socket) {
			for range jobs {
				conn.write(writeJob{buffers: buffers, deadline: conn.clock.now() + testTimeout, report: true})
			}
		} else {
			reports = jobs
		}
		for range round % 4 {
			runtime.Gosched()
		}
		conn.close()
		for reports < jobs || ends < 1 {
			<-inbox.wake
			for _, item := range inbox.takeAll(nil) {
				switch item.(type) {
				case written:
					reports++
				case connClosed:
					ends++
				}
			}
		}
		if reports != jobs || ends != 1 {
			t.Fatalf("round %d: %d reports of %d writes, %d ends", round, reports, jobs, ends)
		}
	}
}

// openServerConn returns an open server connection and the other side of it.
func openServerConn(t *testing.T) (*connection, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	socket, err := netpoll.DialConnection("tcp", ln.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := &connection{inbox: newInbox(), clock: newClock(), parser: http1.Parser{Responses: true}}
	if t.Cleanup(func() { conn.close(); other.Close() }); !conn.open(socket) {
		t.Fatal("not open")
	}
	return conn, other
}

// TestUnusableServerConnections checks that no request is written on a server connection that the
// other side has closed, or where data has arrived that the request would take for its response,
// wherever that data is on its way.
func TestUnusableServerConnections(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"noise": func(peer net.Conn) { peer.Write([]byte("x")) },
		"end":   func(peer net.Conn) { peer.Close() },
	} {
		conn, other := openServerConn(t)
		if !conn.usable() {
			t.Fatalf("%s: unusable from the start", name)
		}
		disturb(other)
		for end := time.Now().Add(testTimeout); conn.usable(); {
			if time.Now().After(end) {
				t.Fatalf("%s: still usable", name)
			}
		}
	}
}

// TestReadAheadIsLimited covers a client that sends faster than the reducer reads while its request
// is pending: the queued bytes stay within one message, and the drop of the rest is reported once.
func TestReadAheadIsLimited(t *testing.T) {
	conn, other := openServerConn(t)
	conn.requestPending.Store(true)
	sent := make([]byte, 8*maxQueuedBytes)
	if _, err := other.Write(sent); err != nil { // everything is read, though nobody handles it
		t.Fatal(err)
	}
	other.Close()
	truncations, got := 0, 0
	for ended := false; !ended; {
		<-conn.inbox.wake
		for _, item := range conn.inbox.takeAll(nil) {
			switch item := item.(type) {
			case bytesIn:
				if got += len(item.data); item.truncated {
					truncations++
				}
			case connClosed:
				ended = true
			}
		}
	}
	if truncations != 1 || got > maxQueuedBytes {
		t.Errorf("%d bytes kept, truncation reported %d times", got, truncations)
	}
}

// TestReadingPauses checks that input that arrives faster than it is handled is not kept in memory:
// the connection is paused, its sender has to wait, and no byte is lost.
func TestReadingPauses(t *testing.T) {
	conn, other := openServerConn(t)
	const all = 256 << 20
	sent := make(chan error, 1)
	go func() {
		block := make([]byte, 1<<20)
		for i := range block {
			block[i] = byte(i % 251)
		}
		for range all >> 20 {
			if _, err := other.Write(block); err != nil {
				sent <- err
				return
			}
		}
		sent <- nil
	}()
	var got []byte
	for paused := false; !paused; {
		<-conn.inbox.wake
		for _, item := range conn.inbox.takeAll(nil) {
			switch item := item.(type) {
			case bytesIn:
				got = append(got, item.data...)
			case detached:
				paused = true
			case connClosed:
				t.Fatal("the connection was closed")
			}
		}
	}
	before := len(got)
	conn.isDetached = true
	if got = append(got, make([]byte, 1<<20)...); before == all {
		t.Fatal("all was read")
	}
	if n, err := io.ReadFull(conn.stdConn, got[before:]); err != nil {
		t.Fatal(n, err)
	}
	for i, block := range got {
		if block != byte(i%(1<<20)%251) {
			t.Fatalf("byte %d of %d lost", i, before)
		}
	}
	conn.close()
	if err := <-sent; err == nil {
		t.Error("the sender never had to wait")
	}
}

// TestListenerRejectsAboveLimit checks that the listener closes connections beyond its limit.
// Otherwise descriptors would run out.
func TestListenerRejectsAboveLimit(t *testing.T) {
	socket, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	ln := newListener(socket, 0)
	for _, maxConns := range []int64{1, 0} {
		ln.maxConns.Store(maxConns)
		client, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		conn, err := ln.Accept()
		if err != nil || (conn != nil) != (maxConns > 0) {
			t.Errorf("at most %d: got %v, %v", maxConns, conn, err)
		}
		if conn != nil {
			conn.Close()
		}
		client.SetDeadline(time.Now().Add(testTimeout))
		if _, err := client.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("at most %d: not closed, %v", maxConns, err)
		}
	}
}

// TestLoadReports checks both names of each value, unknown names and malformed reports.
func TestLoadReports(t *testing.T) {
	names := []lg.LoadField{lg.LoadInFlight, lg.LoadLatency}
	tests := map[string]lg.LoadReport{
		"latency_ms=12.5,inflight=7":       {N: 2, Values: [4]float64{7, 12.5}},
		"inflight=7, latency_ms=12, new=1": {N: 2, Values: [4]float64{7, 12}},
		"rif=7.25,lat_ms=12":               {N: 2, Values: [4]float64{7.25, 12}}, // the names of the settings
		"inflight=7":                       {},
		"inflight=many,latency_ms=1":       {},
		"":                                 {},
	}
	for text, want := range tests {
		if got := parseLoadReport(names, []byte(text)); got != want {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

// TestRetryAfterIsInSeconds checks the Retry-After field of a rejection, which has fractions of a second.
func TestRetryAfterIsInSeconds(t *testing.T) {
	tests := map[time.Duration]string{time.Second: "1", 250 * time.Millisecond: "0.250", 0: ""}
	for advice, want := range tests {
		var parser http1.Parser
		parser.Responses = true
		for _, part := range encodeAnswer(reducer.Effect{Verdict: reducer.Rejected, RetryAfter: advice}) {
			parser.Feed(append([]byte(nil), part...))
		}
		message, err := parser.Next()
		if err != nil || message.Status != 503 || string(message.Get("Retry-After")) != want {
			t.Errorf("%v: got %+v, %v", advice, message, err)
		}
	}
}

// TestIdleConnectionReleasesMessage guards against idle connections that keep the last message which
// they carried: with many clients and servers that is as much as the memory limit.
func TestIdleConnectionReleasesMessage(t *testing.T) {
	conn, other := openServerConn(t)
	go io.Copy(io.Discard, other)
	message := make([]byte, 64<<10)
	released := weak.Make(&message[0])
	conn.write(writeJob{buffers: [][]byte{message}, deadline: conn.clock.now() + testTimeout, report: true})
	message = nil
	<-conn.inbox.wake
	conn.inbox.takeAll(nil)
	for end := time.Now().Add(2 * time.Second); released.Value() != nil && time.Now().Before(end); runtime.GC() {
		time.Sleep(time.Millisecond) // the goroutine that wrote it ends
	}
	if released.Value() != nil {
		t.Error("the message is still in memory")
	}
	runtime.KeepAlive(conn)
}

// setAttachedSendBuffer fixes the size of the kernel's send buffer of a connection that was not detached.
func setAttachedSendBuffer(conn *connection, size int) error {
	return syscall.SetsockoptInt(conn.socket.(netpoll.Conn).Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
}
