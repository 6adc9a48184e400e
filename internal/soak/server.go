package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// zones are the fleet's.
var zones = []string{"z0", "z1"}

// Behaviour is how a server treats what comes to it.
type Behaviour int

// The behaviours.
const (
	Works    Behaviour = iota
	Hangs              // takes requests and answers none
	Resets             // breaks the connection before or in the middle of its answer
	Garbles            // answers what is no answer, or two
	Lengthy            // answers without a length, some of them reset on the way
	TurnsOff           // says that it did not start on the request
)

// Server is a stand-in album server.
type Server struct {
	ID, Zone string
	judge    *Judge

	mu        sync.Mutex
	ln        net.Listener
	address   string
	started   int64 // Unix time in milliseconds, 0: long ago
	draining  bool
	listed    bool
	behaviour Behaviour
	idle      time.Duration // it closes connections that rest for so long; 0: by the settings
	conns     map[net.Conn]bool
	restarted bool // since the list was told of it last
	generation,
	inFlight int
}

func newServer(id string, index int, j *Judge, n *network) (*Server, error) {
	s := &Server{ID: id, Zone: zones[index%len(zones)], judge: j, conns: map[net.Conn]bool{}, listed: true,
		address: net.JoinHostPort(n.host(serverHost), "0")}
	return s, s.Start()
}

// Start has it run again after Kill, at the same address.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	if s.generation > 0 {
		s.started, s.restarted = time.Now().UnixMilli(), true
	}
	s.ln, s.address, s.inFlight = ln, ln.Addr().String(), 0
	s.generation++
	go s.accept(ln, s.generation)
	return nil
}

// Kill ends it as a crash does.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return
	}
	_ = s.ln.Close()
	s.ln = nil
	for c := range s.conns {
		reset(c)
	}
	clear(s.conns)
}

// reset closes a connection so that the other side finds it broken.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Port is where it listens.
func (s *Server) Port() uint16 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, port, err := net.SplitHostPort(s.address)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return 0
	}
	return uint16(n)
}

// state is what discovery says of it, "" when it is not listed.
func (s *Server) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.listed:
		return ""
	case s.draining:
		return "draining"
	}
	return "ready"
}

func (s *Server) entry() entry {
	state := s.state()
	s.mu.Lock()
	defer s.mu.Unlock()
	return entry{ID: s.ID, Addr: s.address, Zone: s.Zone, Kind: "k0", State: state, Weight: 1,
		Started: s.started}
}

// takeRestarted tells whether it has started anew since it was asked last.
func (s *Server) takeRestarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	restarted := s.restarted
	s.restarted = false
	return restarted
}

// behave has it treat what comes from now on so.
func (s *Server) behave(b Behaviour) {
	s.mu.Lock()
	s.behaviour = b
	s.mu.Unlock()
}

// accept takes connections until the listener is closed.
func (s *Server) accept(ln net.Listener, generation int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.generation != generation || s.ln == nil {
			s.mu.Unlock()
			reset(c)
			return
		}
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests on one connection.
func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		s.mu.Lock()
		idle := s.idle
		s.mu.Unlock()
		if idle == 0 {
			idle = keepAlive
		}
		if err := c.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		if err := c.SetReadDeadline(time.Now().Add(bodyWithin)); err != nil {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			s.judge.partial(id, s, first)
			return
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return
		}
		ms, err := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
		if err != nil {
			s.judge.violation("protocol", "%s: no deadline told for %s", s.ID, id)
		}
		a := s.judge.arrived(id, s, first, time.Now(), time.Duration(ms)*time.Millisecond)
		if !s.answer(c, r, a, id) {
			return
		}
	}
}

// bodyWithin is how long a request may take to come in.
const bodyWithin = 5 * time.Second

// work is how long a request takes.
func work() time.Duration {
	d := 2*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(6*time.Millisecond))
	if rand.IntN(20) == 0 {
		d += 60 * time.Millisecond
	}
	return min(d, 300*time.Millisecond)
}

// answer works on a request and answers it; it tells whether the connection goes on.
func (s *Server) answer(c net.Conn, r *bufio.Reader, a *attempt, id string) bool {
	s.mu.Lock()
	s.inFlight++
	behaviour, held := s.behaviour, s.inFlight
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	left := make(chan struct{})
	go func() { // tells when the proxy gives the attempt up; a byte that comes early is left unread
		_, _ = r.Peek(1)
		close(left)
	}()
	wait := work()
	if behaviour == Hangs {
		wait = time.Minute
	}
	gaveUp := false
	select {
	case <-left:
		gaveUp = true
		s.judge.ended(a, time.Now())
	case <-time.After(wait):
	}
	if gaveUp {
		return false
	}
	ok := s.write(c, a, id, behaviour, held)
	s.judge.ended(a, time.Now())
	if !ok {
		return false
	}
	<-left // the next request's first byte, or the end
	return true
}

// write writes an answer; it tells whether the connection goes on.
func (s *Server) write(c net.Conn, a *attempt, id string, behaviour Behaviour, held int) bool {
	body := fmt.Sprintf("%s %s %0*d", id, s.ID, rand.IntN(3)*900+1, 0)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Load: inflight=%d\r\n", held)
	whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	switch behaviour {
	case Resets:
		if rand.IntN(2) == 0 {
			_, _ = io.WriteString(c, whole[:rand.IntN(len(whole))])
		}
		reset(c)
		return false
	case Garbles:
		if rand.IntN(2) == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 2x0 what\r\n\r\n")
			return false
		}
	case Lengthy:
		s.judge.answered(a, body)
		_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n")
		cut := rand.IntN(3) == 0
		if cut {
			s.judge.cut(a)
			_, _ = io.WriteString(c, body[:len(body)/2])
			time.Sleep(5 * time.Millisecond)
			reset(c)
			return false
		}
		_, _ = io.WriteString(c, body)
		return false
	case TurnsOff:
		s.judge.notStarted(a)
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.judge.answered(a, body)
	_, err := io.WriteString(c, whole)
	return err == nil
}
