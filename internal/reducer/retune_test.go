package reducer

import (
	"fmt"
	"slices"
	"testing"

	lg "lilacglade"
)

// TestRetune covers new settings while requests are open. A request keeps the number of attempts and
// the effect with which it began, even if its class is dropped or changed; a later one follows the new
// settings.
func TestRetune(t *testing.T) {
	m := newModel(t)
	for _, client := range []ConnID{1, 2} {
		m.clients[client] = nil
		m.step(ClientOpened{client})
	}
	m.sendRequest(1, 1)
	old := m.s.cfg.Settings
	settings := old
	settings.MaxAttempts = 1
	settings.Classes = []lg.Class{{Name: "new", Aim: 400 * ms, Deadline: 800 * ms, Worth: 5}, old.Classes[0]}
	settings.Classes[1].Effect = lg.Safe
	settings = settings.RetainingClasses(old)
	m.step(Reloaded{Settings: &settings, MaxClients: 12, MaxServerConns: 8})
	classes := m.s.cfg.Settings.Classes
	if settings.Offered != 2 || len(classes) != 4 || classes[2] != old.Classes[0] ||
		classes[3] != old.Classes[1] {
		t.Fatalf("classes %+v", classes)
	}
	attempts := func(client ConnID) int { // how often it is sent before it is rejected
		for n := 0; ; n++ {
			var conn ConnID
			for id, serverConn := range m.serverConns {
				if serverConn.open = true; serverConn.req == nil {
					m.step(ServerDialed{Conn: id, OK: true})
				}
				if serverConn.req != nil && serverConn.req.conn == client {
					conn = id
				}
			}
			if conn == 0 {
				return n
			}
			m.step(RequestWritten{Conn: conn, OK: true})
			m.endExchange(conn, lg.Full, true)
		}
	}
	if n := attempts(1); n < 2 || m.requests[0].verdict != Rejected {
		t.Errorf("the old request had %d attempts", n)
	}
	m.sendRequest(2, 0)
	if n := attempts(2); n != 1 || m.requests[1].verdict != Rejected {
		t.Errorf("the new request had %d attempts", n)
	}
	m.advance(publishInterval)
	var names []string
	for _, counts := range m.metrics.Handled {
		names = append(names, fmt.Sprint(counts.Class, counts.Dropped))
	}
	if want := []string{"edit0", "upload1", "new1"}; !slices.Equal(names, want) {
		t.Errorf("counted %v, want %v", names, want)
	}
}

// TestOpenRequestKeepsClass guards against a check before a repeat that asks another class than the one of
// the request: new settings number the classes anew, and an allowed repeat was withheld as a broken rule.
func TestOpenRequestKeepsClass(t *testing.T) {
	m := newModel(t)
	m.openClient(1)
	m.sendRequest(1, 1)
	m.writeRequests()
	req := m.requests[0]
	old := m.s.cfg.Settings
	settings := old
	settings.Classes = []lg.Class{old.Classes[1], old.Classes[0]}
	settings = settings.RetainingClasses(old)
	m.step(Reloaded{Settings: &settings, MaxClients: 12, MaxServerConns: 8})
	for id, conn := range m.serverConns {
		if conn.req == req {
			m.endExchange(id, lg.ServerError, true)
			break
		}
	}
	m.advance(ms)
	m.writeRequests()
	if violations := m.s.Violations(); violations.Total() > 0 || !req.inFlight {
		t.Errorf("violations %v, sent again %t", violations, req.inFlight)
	}
}
