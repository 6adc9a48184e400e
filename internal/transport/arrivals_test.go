package transport

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestArrivals checks that each request in a buffer gets the time at which its own last byte was read.
func TestArrivals(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var a arrivals
	a.add(10, at(1)) // two requests of 5 bytes and a half, then the rest of the third, and a fourth
	a.add(0, at(2))
	a.add(3, at(3))
	a.add(7, at(4))
	for _, tc := range []struct{ buffered, want int }{{15, 1}, {10, 1}, {6, 4}, {0, 4}} {
		if got := a.take(tc.buffered); got != at(tc.want) {
			t.Errorf("%d bytes left: %v, want %v", tc.buffered, got.Sub(start), at(tc.want).Sub(start))
		}
	}
	if len(a.reads) != 1 {
		t.Errorf("%d reads are remembered of requests that were taken", len(a.reads))
	}
	for i := range 10 * maxArrivals {
		a.add(1, at(10+i))
	}
	if len(a.reads) > maxArrivals {
		t.Errorf("%d reads are remembered", len(a.reads))
	}
	if got := a.take(0); got.After(at(10 + 10*maxArrivals)) {
		t.Errorf("later than the last read: %v", got.Sub(start))
	}
}

// TestPipelinedRequestKeepsItsTime guards against a request whose time counts from bytes that came after
// it: it arrived whole behind another one, and was told to its server with time that its client had not.
func TestPipelinedRequestKeepsItsTime(t *testing.T) {
	t.Parallel()
	const timeout, wait, slack = 5 * time.Second, 300 * time.Millisecond, 150 * time.Millisecond
	type exchange struct {
		told time.Duration
		at   time.Time
	}
	exchanges := make(chan exchange, 2)
	handler := func(w http.ResponseWriter, r *http.Request) {
		told, _ := strconv.Atoi(r.Header.Get(fieldTimeout))
		exchanges <- exchange{time.Duration(told) * time.Millisecond, time.Now()}
		if r.Header.Get(fieldID) == "first" {
			time.Sleep(wait)
		}
	}
	var servers []*fakeServer
	for range 4 {
		servers = append(servers, startServer(t, handler))
	}
	proxy := startProxy(t, readyList(1, servers...))
	client := proxy.connect()
	client.send(uploadRequest("first", timeout, 1) + "a" + uploadRequest("second", timeout, 1) + "b")
	sent := time.Now()
	time.Sleep(wait - 50*time.Millisecond)
	client.send("POST /api HTTP/1.1\r\nHost") // a part of the third
	for _, id := range []string{"first", "second"} {
		if status, _, err := client.answer(); status != 200 || err != nil {
			t.Fatal(id, status, err)
		}
		got := <-exchanges
		if left := timeout - got.at.Sub(sent); got.told == 0 || got.told > left+slack {
			t.Errorf("%s: told %v where %v were left", id, got.told, left)
		}
	}
}
