package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/reducer"
)

// far only ends a test that hangs.
const far = time.Minute

// TestClosingWhileWriting guards against filling a write buffer that the library is freeing:
// each write reports exactly once, and so does the end of the leg, however they cross.
func TestClosingWhileWriting(t *testing.T) {
	ln, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loop, err := netpoll.NewEventLoop(func(_ context.Context, c netpoll.Connection) error {
		return c.Close() // so that legs break from the other side, too
	})
	if err != nil {
		t.Fatal(err)
	}
	go loop.Serve(ln)
	bufs := make([][]byte, 500) // filling in so many takes a while
	for i := range bufs {
		bufs[i] = make([]byte, 100)
	}
	for round := range 300 {
		box := newInbox()
		g := &leg{inbox: box, clock: startClock(), parser: http1.Parser{Responses: true}}
		conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), far)
		// The library's race build finds a connection by its descriptor, and takes the end of the last one for
		// that of a new one with the same number.
		for tries := 0; err != nil && tries < 9; tries++ {
			conn, err = netpoll.DialConnection("tcp", ln.Addr().String(), far)
		}
		if err != nil {
			t.Fatal(err)
		}
		const jobs = 4
		reports, ends := 0, 0
		if g.open(conn) {
			for range jobs {
				g.write(job{bufs: bufs, by: g.clock.now() + far, report: true})
			}
		} else {
			reports = jobs
		}
		for range round % 4 {
			runtime.Gosched()
		}
		g.close()
		for reports < jobs || ends < 1 {
			<-box.wake
			for _, item := range box.take(nil) {
				switch item.(type) {
				case written:
					reports++
				case broken:
					ends++
				}
			}
		}
		if reports != jobs || ends != 1 {
			t.Fatalf("round %d: %d reports of %d writes, %d ends", round, reports, jobs, ends)
		}
	}
}

// hop returns an open hop leg and the other side of it.
func hop(t *testing.T) (*leg, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), far)
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	g := &leg{inbox: newInbox(), clock: startClock(), parser: http1.Parser{Responses: true}}
	if t.Cleanup(func() { g.close(); other.Close() }); !g.open(conn) {
		t.Fatal("not open")
	}
	return g, other
}

// TestUnfitLegs guards against writing a request on a hop leg where something has come that the
// request would take for its answer, wherever that is on its way, or that the other side ended.
func TestUnfitLegs(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"noise": func(c net.Conn) { c.Write([]byte("x")) },
		"end":   func(c net.Conn) { c.Close() },
	} {
		g, other := hop(t)
		if !g.fit() {
			t.Fatalf("%s: unfit from the start", name)
		}
		spoil(other)
		for end := time.Now().Add(far); g.fit(); {
			if time.Now().After(end) {
				t.Fatalf("%s: still fit", name)
			}
		}
	}
}

// TestReadAheadIsBounded guards against a caller that is faster than the reducer while its request is
// in work: what waits stays within one message, and it is told once that the rest was dropped.
func TestReadAheadIsBounded(t *testing.T) {
	g, other := hop(t)
	g.asking.Store(true)
	sent := make([]byte, 8*maxUnread)
	if _, err := other.Write(sent); err != nil { // all is read, though nobody takes it
		t.Fatal(err)
	}
	other.Close()
	cuts, got := 0, 0
	for ended := false; !ended; {
		<-g.inbox.wake
		for _, item := range g.inbox.take(nil) {
			switch item := item.(type) {
			case bytesIn:
				if got += len(item.data); item.cut {
					cuts++
				}
			case broken:
				ended = true
			}
		}
	}
	if cuts != 1 || got > maxUnread {
		t.Errorf("%d bytes kept, told %d times", got, cuts)
	}
}

// TestReadingPauses guards against keeping in memory what comes faster than it is taken: a leg that
// brings much is read from no more, its sender has to wait, and nothing of it is lost.
func TestReadingPauses(t *testing.T) {
	g, other := hop(t)
	const all = 256 << 20
	sent := make(chan error, 1)
	go func() {
		b := make([]byte, 1<<20)
		for i := range b {
			b[i] = byte(i % 251)
		}
		for range all >> 20 {
			if _, err := other.Write(b); err != nil {
				sent <- err
				return
			}
		}
		sent <- nil
	}()
	var got []byte
	for paused := false; !paused; {
		<-g.inbox.wake
		for _, item := range g.inbox.take(nil) {
			switch item := item.(type) {
			case bytesIn:
				got = append(got, item.data...)
			case detached:
				paused = true
			case broken:
				t.Fatal("broken")
			}
		}
	}
	before := len(got)
	g.isRaw = true
	if got = append(got, make([]byte, 1<<20)...); before == all {
		t.Fatal("all was read")
	}
	if n, err := io.ReadFull(g.raw, got[before:]); err != nil {
		t.Fatal(n, err)
	}
	for i, b := range got {
		if b != byte(i%(1<<20)%251) {
			t.Fatalf("byte %d of %d lost", i, before)
		}
	}
	g.close()
	if err := <-sent; err == nil {
		t.Error("the sender never had to wait")
	}
}

// TestListenerTurnsAway guards against running out of descriptors.
func TestListenerTurnsAway(t *testing.T) {
	bare, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer bare.Close()
	ln := newListener(bare, 0)
	for _, most := range []int64{1, 0} {
		ln.most.Store(most)
		c, err := net.Dial("tcp", bare.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conn, err := ln.Accept()
		if err != nil || (conn != nil) != (most > 0) {
			t.Errorf("at most %d: got %v, %v", most, conn, err)
		}
		if conn != nil {
			conn.Close()
		}
		c.SetDeadline(time.Now().Add(far))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("at most %d: not closed, %v", most, err)
		}
	}
}

func TestLoadReports(t *testing.T) {
	names := []lg.LoadField{lg.LoadInFlight, lg.LoadLatency}
	tests := map[string]lg.LoadReport{
		"latency_ms=12.5,inflight=7":       {N: 2, Values: [4]float64{7, 12.5}},
		"inflight=7, latency_ms=12, new=1": {N: 2, Values: [4]float64{7, 12}},
		"rif=7.25,lat_ms=12":               {N: 2, Values: [4]float64{7.25, 12}}, // as the settings name them
		"inflight=7":                       {},
		"inflight=many,latency_ms=1":       {},
		"":                                 {},
	}
	for text, want := range tests {
		if got := load(names, []byte(text)); got != want {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

func TestAdviceIsInSeconds(t *testing.T) {
	tests := map[time.Duration]string{time.Second: "1", 250 * time.Millisecond: "0.250", 0: ""}
	for advice, want := range tests {
		var p http1.Parser
		p.Responses = true
		for _, b := range answer(reducer.Effect{Verdict: reducer.Busy, Advice: advice}) {
			p.Feed(append([]byte(nil), b...))
		}
		m, err := p.Next()
		if err != nil || m.Status != 503 || string(m.Get("Retry-After")) != want {
			t.Errorf("%v: got %+v, %v", advice, m, err)
		}
	}
}
