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
func TestResetIsNoEnd(t *testing.T) {
	server := newParty(t)
	r := serve(t, known(1, server))
	long := strings.Repeat("0123456789", 20000)
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, body := range []string{"some", long} {
			for _, how := range []string{"at once", "begun", "raw"} {
				for _, end := range []string{"end", "reset"} {
					name := strings.Join([]string{version, how, end, body[:4]}, " ")
					caller := r.caller()
					caller.send(strings.Replace(edit(name), "HTTP/1.1", version, 1))
					s := server.next()
					s.request()
					if how == "raw" { // an answer that streams leaves the connection raw
						s.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n")
						caller.r.Peek(1)
						s.send("0\r\n\r\n")
						caller.answer()
						caller = r.caller()
						caller.send(strings.Replace(edit(name+"2"), "HTTP/1.1", version, 1))
						s.request()
					}
					s.send("HTTP/1.1 200 OK\r\n\r\n" + body)
					if how == "begun" {
						caller.r.Peek(1)
					}
					if end == "reset" {
						s.reset()
					} else {
						s.Close()
					}
					status, got, err := caller.answer()
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
func TestLastCallersAreTaken(t *testing.T) {
	server := newParty(t)
	r := serve(t, known(1, server))
	resting, s := r.resting(server)
	pollerBarrier.mu.Lock()
	r.stop()
	if _, err := resting.r.Peek(1); err != io.EOF { // it was let go: nobody is left
		t.Fatal(err)
	}
	last := r.caller()
	last.send(edit("2"))
	s.request()
	pollerBarrier.mu.Unlock()
	s.send(answerOf("two"))
	if status, body, err := last.answer(); status != 200 || body != "two" || err != nil {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	r.end()
}

// TestAnswerOnAWatchGivenUp guards against losing the news that a watch brought in the moment in which it
// was given up: they count as told. Not so those of a discovery that was left.
func TestAnswerOnAWatchGivenUp(t *testing.T) {
	for _, from := range []string{"here", "elsewhere"} {
		p := &proxy{servers: serverlist.New(nil, nil, time.Now()),
			watcher: newWatcher("here", newInbox(), startClock(), new(serverlist.Decoder)),
			timer:   time.NewTimer(far), inbox: newInbox()}
		read := func(raw string) serverlist.Document {
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
		party := &party{addr: "127.0.0.1:1"}
		p.take(document{from: p.watcher, list: read(known(1, party))})
		p.take(document{from: newWatcher(from, p.inbox, startClock(), nil), list: read(fmt.Sprintf(
			`{"generation":2,"reset":false,"instances":[%s]}`, line("s-0", party.addr, "draining")))})
		if drains := !p.state.Ready(); drains != (from == "here") {
			t.Errorf("%s: the drain is known: %t", from, drains)
		}
	}
}

// TestLeftWhileItWaited guards against sending on a request whose caller has left while there was no server
// for it, whatever its size and however its connection is read. Of a large one the end must not come.
func TestLeftWhileItWaited(t *testing.T) {
	large := fmt.Sprintf("%d\r\n\r\n%s", 200_000, strings.Repeat("x", 200_000))
	for name, request := range map[string]string{
		"small":          edit("1"),
		"large":          strings.Replace(edit("1"), "3\r\n\r\nabc", large, 1),
		"and much ahead": edit("1") + strings.Repeat(edit("9"), 500),
	} {
		server := newParty(t)
		door := freeAddr(t)
		r := serve(t, known(1), func(n *settings.Node) { n.Admin = door })
		asks := r.disc.next()
		asks.request()
		caller := r.caller()
		caller.send(request)
		caller.Close()
		taken := []string{`node_handled{category="album-edit",outcome="bad_gateway"} 1`}
		if name == "large" { // where nothing more is read, nothing tells that its caller has left
			taken = append(taken, "node_in_progress 1")
		}
		r.figure(door, taken...)
		asks.send(answerOf(known(2, server)))
		other := r.caller()
		other.send(edit("2"))
		s, got := server.next(), ""
		for got = s.whole(); got == ""; got = s.whole() {
			s = server.next()
		}
		if got != "2" {
			t.Errorf("%s: request %s was sent on", name, got)
			continue
		}
		s.send(answerOf("two"))
		other.answer()
		r.stop()
		r.end() // by now all that was to be sent has been
		for last := s; last != nil; {
			if last.r.Buffered() > 0 || !rawQuiet(last.TCPConn) {
				if id := last.whole(); id != "" {
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
func TestStopsAndLoadsCross(t *testing.T) {
	r := serve(t, known(1))
	r.stop()
	r.end()
	server := newParty(t)
	r = serve(t, known(1))
	asks := r.disc.next()
	asks.request()
	caller := r.caller()
	head := strings.TrimSuffix(edit("1"), "abc")
	caller.send(strings.Replace(head, "Host: h", "Host: h\r\nExpect: 100-continue", 1))
	if line, err := caller.r.ReadString('\n'); !strings.Contains(line, "100") {
		t.Fatal(line, err) // the request is being taken
	}
	r.stop()
	r.stop()
	other := r.node
	other.Discovery = newParty(t).addr
	r.loads <- Load{Err: errors.New("spoilt")}
	r.loads <- Load{Node: r.node}
	caller.r.Discard(2)
	caller.send("abc")
	asks.send(answerOf(known(2, server)))
	s := server.next()
	s.request()
	r.loads <- Load{Node: other}
	s.send(answerOf("one"))
	if status, body, err := caller.answer(); status != 200 || body != "one" || err != nil {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	r.end()
}

// TestNoDelay guards against small writes that the system holds back, and which go with a reset: on the
// connections of callers, to servers and to discovery.
func TestNoDelay(t *testing.T) {
	server := newParty(t)
	r := serve(t, known(1, server))
	asks := r.disc.next()
	caller := r.caller()
	caller.send(edit("1"))
	s := server.next()
	s.request()
	for name, other := range map[string]*peer{"caller": caller, "server": s, "discovery": asks} {
		if !noDelay(t, other.LocalAddr()) {
			t.Errorf("%s: what is written may be held back", name)
		}
	}
	s.send(answerOf("one"))
	caller.answer()
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
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	server := newParty(t)
	r := serve(t, known(1, server))
	resting, s := r.resting(server)
	busy := r.caller()
	busy.send(edit("2"))
	s.request()
	r.stop()
	if _, err := resting.r.Peek(1); err != io.EOF {
		t.Fatal(err)
	}
	resting.send(edit("3"))
	s.send(answerOf("two"))
	if status, body, err := busy.answer(); status != 200 || body != "two" || err != nil {
		t.Errorf("got %d %q, %v", status, body, err)
	}
	r.end()
	if len(server.conns) > 0 || s.r.Buffered() > 0 || !rawQuiet(s.TCPConn) {
		t.Error("what came after the end was sent on")
	}
}

// TestClientThatLeftGetsNoAttempt holds that no attempt begins for a client whose end the kernel has and the
// reducer has not heard of: here the end crosses the coming up of the connection that its request waits for.
func TestClientThatLeftGetsNoAttempt(t *testing.T) {
	g, other := hop(t)
	g.caller = true
	if g.left() {
		t.Error("left while it was there")
	}
	if err := other.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(far); !g.left(); {
		if time.Now().After(end) {
			t.Fatal("its end was never seen")
		}
	}
	g.close()
	if !g.left() {
		t.Error("there though it was closed here")
	}
}
