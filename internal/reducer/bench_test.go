package reducer

import (
	"strconv"
	"testing"
	"time"

	lg "lilacglade"
)

// BenchmarkExchange measures a request from its arrival to the end of its answer, on connections that
// are open already.
func BenchmarkExchange(b *testing.B) {
	cfg := testConfig()
	s, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	list := lg.List{Kind: lg.FullList}
	for id := lg.ServerID(1); id <= 3; id++ {
		list.Servers = append(list.Servers, lg.Server{ID: id, State: lg.Ready, Weight: 1})
	}
	s.Step(now, ListReceived{List: list})
	s.Step(now, ClientOpened{1})
	names := make([]string, 1000)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	payload := new(int)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		if i%100 == 0 { // the server list stays valid
			s.Step(now, ListReceived{List: lg.List{Kind: lg.Changes}})
		}
		var conn ConnID
		effects := s.Step(now, RequestReceived{Conn: 1, Name: names[i%len(names)], Class: 0, Key: uint64(i % 5),
			HasKey: true, Deadline: now + 800*ms, Payload: payload})
		for conn == 0 {
			var dialed ConnID
			for _, effect := range effects {
				switch effect.Do {
				case Forward:
					conn = effect.Conn
				case Dial:
					dialed = effect.Conn
				}
			}
			if conn > 0 {
				break
			}
			if dialed == 0 {
				b.Fatal("the request was neither forwarded nor waits for a connection")
			}
			effects = s.Step(now, ServerDialed{Conn: dialed, OK: true})
		}
		s.Step(now, RequestWritten{Conn: conn, OK: true})
		now += ms
		s.Step(now, ServerAnswered{Conn: conn, Result: lg.OK, Reusable: true,
			Load: lg.LoadReport{N: 1, Values: [4]float64{3}}})
		s.Step(now, ResponseWritten{Conn: 1, OK: true})
		if s.armedAt <= now {
			s.Step(now, TimerFired{})
		}
	}
}
