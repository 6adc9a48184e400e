package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// class is a kind of request.
type class struct {
	name, semantics string
	deadline        time.Duration
	worth           float64
}

var classes = []class{{"look", "safe", 800 * time.Millisecond, 1},
	{"upload", "keyed", 1500 * time.Millisecond, 5},
	{"edit", "unsafe", 800 * time.Millisecond, 5}}

// usualLeaving is the part of clients that leave before their answer at any time.
const usualLeaving = 0.03

// patience is how long after its deadline a client still waits, to see an answer that comes too late.
const patience = time.Second

// clients ask one process all the time.
type clients struct {
	fleet *Fleet
	proc  *Process
	rng   *rand.Rand
	every time.Duration

	mu      sync.Mutex
	idle    []*clientConn
	leaving float64 // part of the clients that leave before their answer
	slow    float64 // part that write in pieces
}

// clientConn is a connection that a client keeps.
type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used int
}

func newClients(f *Fleet, p *Process, rng *rand.Rand) *clients {
	return &clients{fleet: f, proc: p, rng: rng, every: f.options.Every}
}

// habits sets how clients behave from now on.
func (c *clients) habits(leaving, slow float64) {
	c.mu.Lock()
	c.leaving, c.slow = leaving, slow
	c.mu.Unlock()
}

// run asks until the context ends, then waits for what is open.
func (c *clients) run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(c.every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			c.closeIdle()
			return
		case <-tick.C:
		}
		r := c.draw(n)
		open.Add(1)
		go func() {
			defer open.Done()
			c.ask(r)
		}()
	}
}

func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// drawn is a request with what its client is going to do.
type drawn struct {
	*request
	raw    []byte
	leave  time.Duration // after the last byte was sent; 0: never
	pieces int           // that it is written in
	fresh  bool          // on a new connection
}

func (c *clients) draw(n int) drawn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := classes[c.rng.IntN(len(classes))]
	id := fmt.Sprintf("%s-%d-%x", c.proc.Name, n, c.rng.Uint32())
	d := drawn{request: &request{id: id, proxy: c.proc.Name, class: kind, timeout: kind.deadline}, pieces: 1,
		fresh: c.rng.IntN(10) == 0}
	if c.rng.IntN(15) == 0 { // hardly any time
		d.timeout = time.Duration(20+c.rng.IntN(80)) * time.Millisecond
	}
	if c.rng.Float64() < max(c.leaving, usualLeaving) {
		d.leave = time.Duration(1 + c.rng.Int64N(int64(200*time.Millisecond)))
	}
	if c.rng.Float64() < c.slow {
		d.pieces = 2 + c.rng.IntN(5)
	}
	var b bytes.Buffer
	method, body := "POST", bytes.Repeat([]byte("x"), 10+c.rng.IntN(2000))
	if kind.semantics == "safe" {
		method, body = "GET", nil
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Tenant: port\r\nAffinity-Key: %d\r\nRequest-Timeout-Ms: %d\r\n", method, id, kind.name, c.rng.IntN(50),
		d.timeout.Milliseconds())
	if kind.semantics == "keyed" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", id)
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	d.raw = b.Bytes()
	return d
}

// take is a connection that rests, or a new one; nil where none is to be had.
func (c *clients) take(fresh bool) *clientConn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn
	}
	c.mu.Unlock()
	if !c.proc.takesNew() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.proc.Listen, 2*time.Second)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: conn, r: bufio.NewReader(conn)}
}

func (c *clients) keep(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// ask asks once; a request that crosses the end of a resting connection is sent once more on a new one.
func (c *clients) ask(d drawn) {
	conn := c.take(d.fresh)
	if conn == nil {
		c.fleet.judge.unmet()
		return
	}
	if c.once(conn, d, false) {
		return
	}
	if conn = c.take(true); conn == nil {
		c.fleet.judge.unmetAgain(d.request, time.Now())
		return
	}
	c.once(conn, d, true)
}

// once sends a request on a connection and takes its answer. It returns false where the connection ended
// without a byte of an answer, and the request may be sent once more.
func (c *clients) once(conn *clientConn, d drawn, again bool) bool {
	j, r := c.fleet.judge, d.request
	rested := conn.used > 0
	r.fresh = !rested
	conn.used++
	if err := send(conn, d); err != nil {
		conn.Close()
		if rested && !again {
			return false
		}
		if again {
			j.unmetAgain(r, time.Now())
		} else {
			j.unmet()
		}
		return true
	}
	sent := time.Now()
	j.sent(r, sent)
	if d.leave > 0 && !again {
		timer := time.AfterFunc(d.leave, func() {
			j.left(r, time.Now())
			conn.Close()
		})
		defer timer.Stop()
	}
	_ = conn.SetReadDeadline(sent.Add(d.timeout + patience))
	if _, err := conn.r.Peek(1); err != nil {
		if timeout, ok := err.(net.Error); rested && !again && !(ok && timeout.Timeout()) && !j.hasLeft(r) {
			conn.Close()
			j.resent(r, c.proc, time.Now())
			return false
		}
		conn.Close()
		j.unanswered(r, c.proc, time.Now(), err)
		return true
	}
	res, err := http.ReadResponse(conn.r, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	if err != nil {
		conn.Close()
		j.unanswered(r, c.proc, time.Now(), err)
		return true
	}
	j.done(r, time.Now(), res.StatusCode, string(body))
	if res.Close || d.leave > 0 {
		conn.Close()
	} else {
		_ = conn.SetReadDeadline(time.Time{})
		c.keep(conn)
	}
	return true
}

// send writes a request, in pieces if its client does so.
func send(conn net.Conn, d drawn) error {
	for i := range d.pieces {
		piece := d.raw[len(d.raw)*i/d.pieces : len(d.raw)*(i+1)/d.pieces]
		if i > 0 {
			time.Sleep(3 * time.Millisecond)
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
