package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/reducer"
	"lilacglade/internal/serverlist"
	"lilacglade/internal/settings"
)

// TestResetIsNoEnd guards against an answer without length that was cut off by a reset and is given to the
// caller as whole, whoever has read the reset: at once, when it streams, when it is large, on a connection
// of the library's and on a raw one; to callers who know chunks and to such as know none.
func TestResetIsNotEndOfBody(t *testing.T) {
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	longBody := strings.Repeat("0123456789", 20000)
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, body := range []string{"some", longBody} {
			for _, phase := range []string{"at once", "begun", "raw"} {
				for _, end := range []string{"end", "reset"} {
					name := strings.Join([]string{version, phase, end, body[:4]}, " ")
					client := proxy.connect()
					client.send(strings.Replace(editRequest(name), "HTTP/1.1", version, 1))
					serverConn := server.nextConn()
					serverConn.request()
					if phase == "raw" { // an answer that streams leaves the connection raw
						serverConn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n")
						client.reader.Peek(1)
						serverConn.send("0\r\n\r\n")
						client.answer()
						client = proxy.connect()
						client.send(strings.Replace(editRequest(name+"2"), "HTTP/1.1", version, 1))
						serverConn.request()
					}
					serverConn.send("HTTP/1.1 200 OK\r\n\r\n" + body)
					if phase == "begun" {
						client.reader.Peek(1)
					}
					if end == "reset" {
						serverConn.reset()
					} else {
						serverConn.Close()
					}
					status, got, err := client.answer()
					if end == "end" && (status != 200 || got != body || err != nil) {
						t.Errorf("%s: got %d, %d bytes, %v", name, status, len(got), err)
					}
					if end == "reset" && status == 200 && err == nil {
						t.Errorf("%s: %d bytes taken for the whole answer", name, len(got))
					}
				}
			}
		}
	}
}

// TestLastCallersAreTaken guards against ending while a caller has connected and the reducer's goroutine
// does not know: here the proxy has let go of its last known caller, and the poller is held up.
func TestLastClientsAreAccepted(t *testing.T) {
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	idle, serverConn := proxy.idleClient(server)
	pollerBarrier.mu.Lock()
	proxy.stop()
	if _, err := idle.reader.Peek(1); err != io.EOF { // it was let go: nobody is left
		t.Fatal(err)
	}
	last := proxy.connect()
	last.send(editRequest("2"))
	serverConn.request()
	pollerBarrier.mu.Unlock()
	serverConn.send(okResponse("two"))
	if status, body, err := last.answer(); status != 200 || body != "two" || err != nil {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	proxy.awaitExit()
}

// TestAnswerOnAWatchGivenUp guards against losing the news that a watch brought in the moment in which it
// was given up: they count as told. Not so those of a discovery that was left.
func TestLateAnswerOfAbandonedWatch(t *testing.T) {
	for _, address := range []string{"here", "elsewhere"} {
		p := &proxy{servers: serverlist.New(nil, nil, time.Now()),
			watcher: newWatcher("here", newInbox(), newClock(), new(serverlist.Decoder)),
			timer:   time.NewTimer(testTimeout), inbox: newInbox()}
		decode := func(raw string) serverlist.Document {
			doc, err := new(serverlist.Decoder).Decode([]byte(raw))
			if err != nil {
				t.Fatal(err)
			}
			return doc
		}
		set := lg.Settings{Balancers: 1, MaxAttempts: 1, AskForList: true,
			Classes: []lg.Class{{Aim: time.Second, Deadline: time.Second, Worth: 1}}}
		var err error
		if p.state, err = reducer.New(reducer.Config{Settings: set, Discovery: "here"}); err != nil {
			t.Fatal(err)
		}
		server := &fakeServer{addr: "127.0.0.1:1"}
		p.handleItem(listDocument{from: p.watcher, list: decode(readyList(1, server))})
		p.handleItem(listDocument{from: newWatcher(address, p.inbox, newClock(), nil), list: decode(fmt.Sprintf(
			`{"generation":2,"reset":false,"instances":[%s]}`, listEntry("s-0", server.addr, "draining")))})
		if drains := !p.state.Ready(); drains != (address == "here") {
			t.Errorf("%s: the drain is known: %t", address, drains)
		}
	}
}

// TestLeftWhileItWaited guards against sending on a request whose caller has left while there was no server
// for it, whatever its size and however its connection is read. Of a large one the end must not come.
func TestClientLeavesWhileRequestWaits(t *testing.T) {
	large := fmt.Sprintf("%d\r\n\r\n%s", 200_000, strings.Repeat("x", 200_000))
	for name, request := range map[string]string{
		"small":          editRequest("1"),
		"large":          strings.Replace(editRequest("1"), "3\r\n\r\nabc", large, 1),
		"and much ahead": editRequest("1") + strings.Repeat(editRequest("9"), 500),
	} {
		server := newFakeServer(t)
		adminAddr := freeAddr(t)
		proxy := startProxy(t, readyList(1), func(node *settings.Node) { node.Admin = adminAddr })
		discoveryConn := proxy.discovery.nextConn()
		discoveryConn.request()
		client := proxy.connect()
		client.send(request)
		client.Close()
		inProgress := []string{`node_handled{category="album-edit",outcome="bad_gateway"} 1`}
		if name == "large" { // where nothing more is read, nothing tells that its caller has left
			inProgress = append(inProgress, "node_in_progress 1")
		}
		proxy.awaitMetric(adminAddr, inProgress...)
		discoveryConn.send(okResponse(readyList(2, server)))
		other := proxy.connect()
		other.send(editRequest("2"))
		serverConn, got := server.nextConn(), ""
		for got = serverConn.tryRequestID(); got == ""; got = serverConn.tryRequestID() {
			serverConn = server.nextConn()
		}
		if got != "2" {
			t.Errorf("%s: request %s was sent on", name, got)
			continue
		}
		serverConn.send(okResponse("two"))
		other.answer()
		proxy.stop()
		proxy.awaitExit() // by now all that was to be sent has been
		for last := serverConn; last != nil; {
			if last.reader.Buffered() > 0 || !stdConnIdle(last.TCPConn) {
				if id := last.tryRequestID(); id != "" {
					t.Errorf("%s: request %s was sent on", name, id)
				}
			}
			if last = nil; len(server.conns) > 0 {
				last = <-server.conns
			}
		}
	}
}

// TestStopsAndLoadsCross covers a stop before anything has come, a stop before discovery has answered with a
// request waiting, a second stop, and new configurations during a stop: what was taken is answered.
func TestStopDuringReload(t *testing.T) {
	proxy := startProxy(t, readyList(1))
	proxy.stop()
	proxy.awaitExit()
	server := newFakeServer(t)
	proxy = startProxy(t, readyList(1))
	discoveryConn := proxy.discovery.nextConn()
	discoveryConn.request()
	client := proxy.connect()
	head := strings.TrimSuffix(editRequest("1"), "abc")
	client.send(strings.Replace(head, "Host: h", "Host: h\r\nExpect: 100-continue", 1))
	if line, err := client.reader.ReadString('\n'); !strings.Contains(line, "100") {
		t.Fatal(line, err) // the request is being taken
	}
	proxy.stop()
	proxy.stop()
	other := proxy.node
	other.Discovery = newFakeServer(t).addr
	proxy.reloads <- Reload{Err: errors.New("spoilt")}
	proxy.reloads <- Reload{Node: proxy.node}
	client.reader.Discard(2)
	client.send("abc")
	discoveryConn.send(okResponse(readyList(2, server)))
	serverConn := server.nextConn()
	serverConn.request()
	proxy.reloads <- Reload{Node: other}
	serverConn.send(okResponse("one"))
	if status, body, err := client.answer(); status != 200 || body != "one" || err != nil {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	proxy.awaitExit()
}

// TestNoDelay guards against small writes that the system holds back, and which go with a reset: on the
// connections of callers, to servers and to discovery.
func TestNoDelay(t *testing.T) {
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	discoveryConn := proxy.discovery.nextConn()
	client := proxy.connect()
	client.send(editRequest("1"))
	serverConn := server.nextConn()
	serverConn.request()
	for name, other := range map[string]*scriptedConn{"caller": client, "server": serverConn, "discovery": discoveryConn} {
		if !noDelay(t, other.LocalAddr()) {
			t.Errorf("%s: what is written may be held back", name)
		}
	}
	serverConn.send(okResponse("one"))
	client.answer()
}

// noDelay tells whether the one connection of this process whose other side is at that address is not held
// back.
func noDelay(t *testing.T, other net.Addr) bool {
	t.Helper()
	for fd := range 1024 {
		sa, err := syscall.Getpeername(fd)
		if in, ok := sa.(*syscall.SockaddrInet4); err == nil && ok &&
			netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String() == other.String() {
			v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
			return err == nil && v != 0
		}
	}
	t.Fatalf("no connection with %v", other)
	return false
}

// TestNothingIsTakenAfterTheEnd guards against sending on what a caller brings on a connection that was let
// go: it sees the end, and asks again elsewhere.
func TestNoRequestAfterClose(t *testing.T) {
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	idle, serverConn := proxy.idleClient(server)
	busy := proxy.connect()
	busy.send(editRequest("2"))
	serverConn.request()
	proxy.stop()
	if _, err := idle.reader.Peek(1); err != io.EOF {
		t.Fatal(err)
	}
	idle.send(editRequest("3"))
	serverConn.send(okResponse("two"))
	if status, body, err := busy.answer(); status != 200 || body != "two" || err != nil {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	proxy.awaitExit()
	if len(server.conns) > 0 || serverConn.reader.Buffered() > 0 || !stdConnIdle(serverConn.TCPConn) {
		t.Error("what came after the end was sent on")
	}
}

// TestClientThatLeftGetsNoAttempt holds that no attempt begins for a client whose end the kernel has and the
// reducer has not heard of: here the end crosses the coming up of the connection that its request waits for.
func TestClientThatLeftGetsNoAttempt(t *testing.T) {
	conn, other := openServerConn(t)
	conn.isClient = true
	if conn.hungUp() {
		t.Error("left while it was there")
	}
	if err := other.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); !conn.hungUp(); {
		if time.Now().After(end) {
			t.Fatal("its end was never seen")
		}
	}
	conn.close()
	if !conn.hungUp() {
		t.Error("there though it was closed here")
	}
}
