package legs

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/http1"
	"lilacglade/internal/proxystate"
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
		g := &leg{inbox: box, parser: http1.Parser{Responses: true}}
		conn, err := netpoll.DialConnection("tcp", ln.Addr().String(), far)
		if err != nil {
			t.Fatal(err)
		}
		const jobs = 4
		reports, ends := 0, 0
		if g.open(conn) {
			for range jobs {
				g.write(job{bufs: bufs, by: time.Now().Add(far), report: true})
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

func TestLoadReports(t *testing.T) {
	names := []lg.LoadField{lg.LoadInFlight, lg.LoadLatency}
	tests := map[string]lg.LoadReport{
		"latency_ms=12.5,inflight=7":       {N: 2, Values: [4]float64{7, 12.5}},
		"inflight=7, latency_ms=12, new=1": {N: 2, Values: [4]float64{7, 12}},
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
		for _, b := range answer(proxystate.Effect{Verdict: proxystate.Busy, Advice: advice}) {
			p.Feed(append([]byte(nil), b...))
		}
		m, err := p.Next()
		if err != nil || m.Status != 503 || string(m.Get("Retry-After")) != want {
			t.Errorf("%v: got %+v, %v", advice, m, err)
		}
	}
}
