package sockets

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"lilacglade/internal/emulator"
	"lilacglade/internal/http1"
)

// Clients.

// body is what a client sends with a request, so that a server can tell whether it came unchanged.
func body(a *emulator.Ask) string { return fmt.Sprintf("%0200x", a.Token()^1) }

// Dial opens a client's leg.
func (s *Sim) Dial(l *emulator.Leg) {
	n := s.nodes[l.Proxy]
	go func() {
		c, err := net.DialTimeout("tcp", n.listen, time.Second)
		s.post(func() {
			if err != nil {
				s.world.Dialed(l, false)
				return
			}
			in := &conn{Conn: c, door: n.discovery}
			in.requests = func(m *http1.Message) { s.answered(l, m) }
			in.gone = func() { s.world.Closed(l) }
			if l.Gone() {
				_ = c.Close() // the client gave up meanwhile
				return
			}
			l.Data = in
			go in.read(true)
			s.world.Dialed(l, true)
		})
	}()
}

// Ask writes a request.
func (s *Sim) Ask(l *emulator.Leg, a *emulator.Ask) {
	c, ok := l.Data.(*conn)
	if !ok {
		return
	}
	s.asks[a.Name] = a
	if s.old = append(s.old, a.Name); len(s.old) > rememberAsks {
		delete(s.asks, s.old[0])
		s.old = s.old[1:]
	}
	s.nodes[l.Proxy].silent++
	class := &s.sc.Classes[a.Call.Class]
	method, content := "POST", body(a)
	if class.Effect == "safe" {
		method, content = "GET", ""
	}
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\n"+
		"Request-Class: %s\r\nTenant: %s\r\n"+
		"Request-Timeout-Ms: %d\r\n", method, a.Name, class.Name, s.sc.Tenants[a.Call.Tenant].Name,
		max(1, (a.GiveUp-s.world.Clock.Now()).Milliseconds()))
	if a.Call.Key != 0 {
		head += fmt.Sprintf("Affinity-Key: %016x\r\n", a.Call.Key)
	}
	if class.Effect == "keyed" {
		head += fmt.Sprintf("Idempotency-Key: %016x\r\n", a.Token())
	}
	if a.Repeat {
		head += "Client-Retry: 1\r\n"
	}
	if method == "POST" {
		head += "Content-Length: " + strconv.Itoa(len(content)) + "\r\n"
	}
	c.send([]byte(head + "\r\n" + content))
}

// answered reads a proxy's answer.
func (s *Sim) answered(l *emulator.Leg, m *http1.Message) {
	s.nodes[l.Proxy].heardOf()
	ans := emulator.Answer{Status: m.Status, Last: m.Close}
	if v := m.Get("Retry-After"); v != nil {
		if sec, err := strconv.ParseFloat(string(v), 64); err == nil {
			ans.RetryAfter = time.Duration(sec * float64(time.Second))
		}
	}
	if m.Status == 200 {
		ans.Token, _ = strconv.ParseUint(string(m.Body), 16, 64) // what is no token is none that a server made
	}
	s.world.Answered(l, ans)
}

// Close closes a client's leg.
func (s *Sim) Close(l *emulator.Leg) {
	if c, ok := l.Data.(*conn); ok {
		_ = c.Close()
	}
}

// Servers.

// hops takes a proxy's connections to one server.
func (n *node) hops(server int) func(c *conn) {
	w := n.sim.world
	return func(c *conn) {
		n.heardOf()
		h := w.Open(n.id, server, c)
		c.gone = func() {
			n.heardOf()
			w.CloseHop(h)
		}
		c.requests = func(m *http1.Message) { n.request(h, c, m) }
	}
}

// request takes a whole request that a proxy wrote to a server.
func (n *node) request(h *emulator.Hop, c *conn, m *http1.Message) {
	n.heardOf()
	name := string(m.Get("Request-Id"))
	a := n.sim.asks[name]
	class := ""
	if a != nil {
		class = n.sim.sc.Classes[a.Call.Class].Effect
	}
	switch {
	case a == nil:
		n.sim.world.Stray(n.id, fmt.Sprintf("request %q, which no client sent", name))
	case class != "safe" && string(m.Body) != body(a), string(m.Path()) != "/api",
		class == "keyed" && string(m.Get("Idempotency-Key")) != fmt.Sprintf("%016x", a.Token()):
		n.sim.world.Stray(n.id, fmt.Sprintf("request %q came changed", name))
	default:
		n.sim.world.Forward(h, a)
		return
	}
	c.send(http1.Answer(400, "", "", true)...)
}

// Accepted ends the opening of a hop leg. On sockets the system has accepted it before the world did.
func (s *Sim) Accepted(h *emulator.Hop, ok bool) {
	if c, is := h.Data.(*conn); is && !ok {
		c.reset()
	}
}

// Answer writes a server's answer.
func (s *Sim) Answer(h *emulator.Hop, r *emulator.Reply) {
	c, ok := h.Data.(*conn)
	if !ok {
		return
	}
	load := fmt.Sprintf("Server-Load: inflight=%g,latency_ms=%.2f\r\n", r.Load.InFlight, r.Load.LatencyMS)
	switch r.Kind {
	case emulator.Done:
		c.send(http1.Answer(200, load, fmt.Sprintf("%016x", r.Attempt.Ask.Token()), r.Last)...)
	case emulator.Failed:
		c.send(http1.Answer(500, load, "failed", r.Last)...)
	case emulator.NotStarted:
		c.send(http1.Answer(503, load+"Not-Started: 1\r\n", "", r.Last)...)
	case emulator.Garbled:
		c.send([]byte("HTTP/1.1 2\x00x\r\nContent-Length: -7\r\n\r\n\xff\xfe noise"))
	}
}

// Reset breaks a hop leg.
func (s *Sim) Reset(h *emulator.Hop) {
	if c, ok := h.Data.(*conn); ok {
		c.reset()
	}
}

// End closes a hop leg that was idle.
func (s *Sim) End(h *emulator.Hop) {
	if c, ok := h.Data.(*conn); ok {
		_ = c.Close()
	}
}

// Reach sets what new connections to a server meet.
func (s *Sim) Reach(server *emulator.Server, r emulator.Reach) {
	for _, n := range s.nodes {
		d := n.servers[server.Index]
		var err error
		switch r {
		case emulator.Open:
			err = d.listen()
		case emulator.Refused:
			d.close()
		case emulator.Silent:
			err = d.silence()
		}
		if err != nil {
			s.failure = fmt.Errorf("server %d: %w", server.Index, err)
		}
	}
}

// Discovery.

// call is a call to discovery whose answer is owed.
type call struct {
	conn *conn
	look *emulator.Lookup
}

// lookups takes a proxy's calls to discovery at an address.
func (n *node) lookups(address string) func(c *conn) {
	w := n.sim.world
	return func(c *conn) {
		var out *call
		c.gone = func() {
			if out != nil {
				w.GiveUp(out.look)
			}
		}
		c.requests = func(m *http1.Message) {
			n.heardOf()
			u, err := url.Parse(string(m.Target))
			if err != nil || u.Path != "/v1/servers" {
				c.send(http1.Answer(404, "", "", true)...)
				return
			}
			number := func(key string) uint64 {
				v, _ := strconv.ParseUint(u.Query().Get(key), 10, 32) // what is no number is 0
				return v
			}
			out = &call{conn: c}
			until := w.Clock.Now() + time.Duration(min(60_000, number("timeout_ms")))*time.Millisecond
			out.look = w.Lookup(n.id, address, number("since"), until, out)
		}
	}
}

// Tell writes discovery's answer.
func (s *Sim) Tell(c *emulator.Lookup, d *emulator.Doc) {
	out, ok := c.Data.(*call)
	if !ok {
		return
	}
	if d == nil {
		out.conn.send(http1.Answer(503, "", "", true)...)
		return
	}
	out.conn.send(http1.Answer(200, "", string(s.nodes[c.Proxy].document(d)), false)...)
}

var lifecycles = [...]string{emulator.Ready: "ready", emulator.Draining: "draining", emulator.Gone: "gone"}

// document words discovery's list as one proxy is to see it.
func (n *node) document(d *emulator.Doc) []byte {
	type instance struct {
		ID      string  `json:"instanceId"`
		Addr    string  `json:"hostPort"`
		Zone    string  `json:"zone"`
		Kind    string  `json:"machineType"`
		Cell    int     `json:"cell"`
		State   string  `json:"lifecycle"`
		Weight  float64 `json:"weight"`
		Started int64   `json:"startedAtMs"`
	}
	sc := n.sim.sc
	doc := struct {
		Version   uint64     `json:"generation"`
		Full      bool       `json:"reset"`
		Instances []instance `json:"instances"`
	}{d.Version, d.Full, []instance{}}
	for _, e := range d.Entries {
		in := instance{e.Name, n.servers[e.Address].address(), sc.Zones[e.Zone],
			sc.Servers.Models[e.Kind].Name, e.Cell,
			lifecycles[e.State], e.Weight, 0}
		if e.Started > 0 {
			in.Started = n.sim.began.Add(e.Started).UnixMilli()
		}
		doc.Instances = append(doc.Instances, in)
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return raw
}
