package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Outcomes counts what clients were told. At any time what was asked is what came of it and what is open.
type Outcomes struct {
	Asked, Served, Refused, Failed int
	Lost                           int     // no answer, though the request was taken, and its process was well
	Excused                        int     // no answer, from a process that was killed or paused meanwhile
	Unmet                          int     // no connection
	Worth                          float64 // of what was served: late answers count for a fifth
	Possible                       float64 // of all that was asked
}

// add counts others as well.
func (o *Outcomes) add(more Outcomes) {
	o.Asked += more.Asked
	o.Served += more.Served
	o.Refused += more.Refused
	o.Failed += more.Failed
	o.Lost += more.Lost
	o.Excused += more.Excused
	o.Unmet += more.Unmet
	o.Worth += more.Worth
	o.Possible += more.Possible
}

// clients ask one process all the time.
type clients struct {
	proc  *Proc
	fault func(error)
	every time.Duration

	mu       sync.Mutex
	out      Outcomes
	hurting  bool      // the process is being killed, paused or let go on
	hurt     time.Time // and when that was over last
	away     atomic.Bool
	skewed   *atomic.Bool // half of the requests carry one key
	admitted int          // the start of the process that was ready once: clients come from then on
}

// disturb notes that what is open at the process may get no answer, from its call with true to that with
// false.
func (c *clients) disturb(begins bool) {
	c.mu.Lock()
	c.hurting, c.hurt = begins, time.Now()
	c.mu.Unlock()
}

// admits tells whether the process was ready once since it was started, as a front does.
func (c *clients) admits() bool {
	if c.away.Swap(false) {
		c.admitted = 0
	}
	if starts := c.proc.started(); c.admitted != starts && !c.proc.paused() && c.proc.Ready() {
		c.admitted = starts
	}
	return c.admitted == c.proc.started()
}

func (c *clients) outcomes() Outcomes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out
}

// run asks until the context ends, then waits for what is open.
func (c *clients) run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	var open sync.WaitGroup
	tick := time.NewTicker(c.every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return
		case <-tick.C:
		}
		if !c.admits() {
			continue
		}
		open.Add(1)
		go func() {
			defer open.Done()
			c.ask(transport, n)
		}()
	}
}

// slowly gives a body in pieces, as a caller on a thin line does.
type slowly struct {
	left  int
	pause time.Duration
}

func (s *slowly) Read(b []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := min(len(b), s.left, 8<<10)
	s.left -= n
	for i := range b[:n] {
		b[i] = 'x'
	}
	return n, nil
}

const slowBody = 96 << 10

// What the harness's configuration says of its classes.
const (
	classAim  = 400 * time.Millisecond
	lateWorth = 0.2
)

var classWorth = map[string]float64{"edit": 5, "upload": 15}

// ask asks once, without ever sending again.
func (c *clients) ask(transport http.RoundTripper, n int) {
	id := fmt.Sprintf("%s-%d-%d", c.proc.Name, c.proc.started(), n)
	body, length, deadline := io.Reader(bytes.NewReader([]byte("caption"))), int64(7), 800*time.Millisecond
	class := "edit"
	switch {
	case n%23 == 5: // its request stands half written for a while
		class, deadline = "upload", 2*time.Second
		body, length = &slowly{slowBody, 60 * time.Millisecond}, slowBody
	case n%3 == 0:
		class, deadline = "upload", 2*time.Second
	}
	key := fmt.Sprint(n % 50)
	if n%2 == 0 && c.skewed.Load() {
		key = "hot"
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.proc.Listen+"/api", body)
	if err != nil {
		c.fault(err)
		return
	}
	req.GetBody, req.ContentLength = nil, length
	for k, v := range map[string]string{"Request-Id": id, "Request-Class": class, "Tenant": "port",
		"Request-Timeout-Ms": fmt.Sprint(deadline.Milliseconds()), "Affinity-Key": key} {
		req.Header.Set(k, v)
	}
	if class == "upload" {
		req.Header.Set("Idempotency-Key", id)
	}
	began := time.Now()
	c.mu.Lock()
	c.out.Asked++
	c.out.Possible += classWorth[class]
	c.mu.Unlock()
	res, err := transport.RoundTrip(req)
	var got []byte
	if err == nil {
		if res.Close { // a front goes elsewhere until the process is ready again
			c.away.Store(true)
		}
		got, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.out
	switch {
	case err != nil && (strings.Contains(err.Error(), "connection refused") ||
		strings.Contains(err.Error(), "server closed idle")):
		o.Unmet++
	case err != nil && (c.hurting || c.hurt.After(began) || c.proc.paused() || !c.proc.Running()):
		o.Excused++
	case err != nil:
		o.Lost++
		c.fault(fmt.Errorf("request %s was lost after %v: %w", id, time.Since(began), err))
	case res.StatusCode == http.StatusOK:
		if o.Served++; time.Since(began) <= classAim {
			o.Worth += classWorth[class]
		} else {
			o.Worth += lateWorth * classWorth[class]
		}
		if want := fmt.Sprintf("%s %d", id, length); string(got) != want {
			c.fault(fmt.Errorf("request %s was answered with %q", id, got))
		}
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		o.Refused++
	default:
		o.Failed++
	}
}
