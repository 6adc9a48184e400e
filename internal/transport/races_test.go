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

// TestResetIsNotEndOfBody checks that a response without length that a reset truncates is not given
// to the client as complete, whoever has read the reset: in a short response read at once, in one
// that has started, in a large one, on a connection of the library and on a detached one; for
// clients with and without support of chunks.
func TestResetIsNotEndOfBody(t *testing.T) {
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	longBody := strings.Repeat("0123456789", 20000)
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, body := range []string{"some", longBody} {
			for _, phase := range []string{"at once", "started", "detached"} {
				for _, end := range []string{"end", "reset"} {
					name := strings.Join([]string{version, phase, end, body[:4]}, " ")
					client := proxy.connect()
					client.send(strings.Replace(editRequest(name), "HTTP/1.1", version, 1))
					serverConn := server.nextConn()
					serverConn.request()
					if phase == "detached" { // a streamed response leaves the connection detached
						serverConn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n")
						client.reader.Peek(1)
						serverConn.send("0\r\n\r\n")
						client.answer()
						client = proxy.connect()
						client.send(strings.Replace(editRequest(name+"2"), "HTTP/1.1", version, 1))
						serverConn.request()
					}
					serverConn.send("HTTP/1.1 200 OK\r\n\r\n" + body)
					if phase == "started" {
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
						t.Errorf("%s: %d bytes accepted as the whole response", name, len(got))
					}
				}
			}
		}
	}
}

// TestLastClientsAreAccepted checks that the proxy doesn't exit while a client has connected and
// the reducer has not been notified: here the proxy has closed its last known client connection,
// and the poller is blocked.
func TestLastClientsAreAccepted(t *testing.T) {
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	idle, serverConn := proxy.idleClient(server)
	pollerBarrier.mu.Lock()
	proxy.stop()
	if _, err := idle.reader.Peek(1); err != io.EOF { // it was closed: no client is left
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

// TestLateAnswerOfAbandonedWatch checks that an answer that arrives on a watch while the watch is
// being abandoned counts as received. An answer of another discovery address doesn't.
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
		settings := lg.Settings{Balancers: 1, MaxAttempts: 1, AskForList: true,
			Classes: []lg.Class{{Aim: time.Second, Deadline: time.Second, Worth: 1}}}
		var err error
		if p.state, err = reducer.New(reducer.Config{Settings: settings, Discovery: "here"}); err != nil {
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

// TestClientLeavesWhileRequestWaits checks that a request is not sent to a server once its client
// has left while no server was available, whatever the request's size and however its connection is
// read. The last bytes of a large request must not be sent.
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
		wantMetrics := []string{`node_handled{category="album-edit",outcome="bad_gateway"} 1`}
		if name == "large" { // not read any more, so nothing shows that the client has left
			wantMetrics = append(wantMetrics, "node_in_progress 1")
		}
		proxy.awaitMetric(adminAddr, wantMetrics...)
		discoveryConn.send(okResponse(readyList(2, server)))
		other := proxy.connect()
		other.send(editRequest("2"))
		serverConn, got := server.nextConn(), ""
		for got = serverConn.tryRequestID(); got == ""; got = serverConn.tryRequestID() {
			serverConn = server.nextConn()
		}
		if got != "2" {
			t.Errorf("%s: request %s was forwarded", name, got)
			continue
		}
		serverConn.send(okResponse("two"))
		other.answer()
		proxy.stop()
		proxy.awaitExit() // by now everything that was to be sent has been sent
		for last := serverConn; last != nil; {
			if last.reader.Buffered() > 0 || !stdConnIdle(last.TCPConn) {
				if id := last.tryRequestID(); id != "" {
					t.Errorf("%s: request %s was forwarded", name, id)
				}
			}
			if last = nil; len(server.conns) > 0 {
				last = <-server.conns
			}
		}
	}
}

// TestStopDuringReload covers a stop before anything has arrived, a stop before discovery has
// answered with a request waiting, a second stop, and new configurations during a stop: accepted
// requests are answered.
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
		t.Fatal(line, err) // the request is being read
	}
	proxy.stop()
	proxy.stop()
	other := proxy.node
	other.Discovery = newFakeServer(t).addr
	proxy.reloads <- Reload{Err: errors.New("malformed")}
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

// TestNoDelay checks that the system doesn't hold back small writes, which a reset would discard:
// on the connections of clients, to servers and to discovery.
func TestNoDelay(t *testing.T) {
	server := newFakeServer(t)
	proxy := startProxy(t, readyList(1, server))
	discoveryConn := proxy.discovery.nextConn()
	client := proxy.connect()
	client.send(editRequest("1"))
	serverConn := server.nextConn()
	serverConn.request()
	for name, other := range map[string]*scriptedConn{"client": client, "server": serverConn,
		"discovery": discoveryConn} {
		if !noDelay(t, other.LocalAddr()) {
			t.Errorf("%s: what is written may be held back", name)
		}
	}
	serverConn.send(okResponse("one"))
	client.answer()
}

// noDelay reports whether TCP_NODELAY is set on the one connection of this process whose other side
// has that address.
func noDelay(t *testing.T, other net.Addr) bool {
	t.Helper()
	for fd := range 1024 {
		peerAddr, err := syscall.Getpeername(fd)
		if inet4, ok := peerAddr.(*syscall.SockaddrInet4); err == nil && ok &&
			netip.AddrPortFrom(netip.AddrFrom4(inet4.Addr), uint16(inet4.Port)).String() == other.String() {
			value, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
			return err == nil && value != 0
		}
	}
	t.Fatalf("no connection with %v", other)
	return false
}

// TestNoRequestAfterClose checks that a request that a client sends on a connection that the proxy
// has closed is not sent on: the client sees the end of the connection and sends it again
// elsewhere.
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
		t.Error("a request after the close was forwarded")
	}
}

// TestClientThatLeftGetsNoAttempt checks that no attempt begins for a client that has closed its
// connection when the kernel knows of it and the reducer doesn't: this happens if the client closes
// it while the server connection that its request waits for opens.
func TestClientThatLeftGetsNoAttempt(t *testing.T) {
	conn, other := openServerConn(t)
	conn.isClient = true
	if conn.hungUp() {
		t.Error("reported as closed while it is open")
	}
	if err := other.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); !conn.hungUp(); {
		if time.Now().After(end) {
			t.Fatal("its end was never detected")
		}
	}
	conn.close()
	if !conn.hungUp() {
		t.Error("reported as open after it was closed")
	}
}
