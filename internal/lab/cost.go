package lab

import (
	"fmt"
	"io"
	"runtime"
	"time"

	lg "lilacglade"
	"lilacglade/internal/emulator"
	"lilacglade/internal/reducer"
)

// Cost is what one proxy's reducer, with its decision module, costs at a size of the fleet. Times
// are the machine's; only their ratios travel.
type Cost struct {
	Servers      int           `json:"servers"`
	Requests     int           `json:"requests"`
	Request      time.Duration `json:"request"` // one request from its arrival to its answer's end
	Module       time.Duration `json:"module"`  // of that, in the decider
	Allocs       float64       `json:"allocs"`  // for a request
	Bytes        float64       `json:"bytes"`
	Longest      time.Duration `json:"longest"` // longest single event of those
	FullList     time.Duration `json:"full_list"`
	OneChange    time.Duration `json:"one_change"`
	MemoryServer float64       `json:"memory_server"` // bytes kept for each server
}

// timed measures a decider.
type timed struct {
	reducer.Decider
	spent time.Duration
}

func (t *timed) Handle(now time.Duration, ev lg.Event) []lg.Action {
	began := time.Now()
	acts := t.Decider.Handle(now, ev)
	t.spent += time.Since(began)
	return acts
}

// rig drives one reducer without a world: every dial comes up, every request is answered with a
// load report, all in virtual time.
type rig struct {
	state   *reducer.State
	now     time.Duration
	armed   time.Duration
	queue   []reducer.Event
	longest time.Duration
	answers int
}

// step takes an event and all that follows from it.
func (r *rig) step(ev reducer.Event) {
	r.queue = append(r.queue[:0], ev)
	for i := 0; i < len(r.queue); i++ {
		began := time.Now()
		effects := r.state.Step(r.now, r.queue[i])
		r.longest = max(r.longest, time.Since(began))
		for _, e := range effects {
			switch e.Do {
			case reducer.ArmTimer:
				r.armed = e.At
			case reducer.Dial:
				r.queue = append(r.queue, reducer.ServerDialed{Conn: e.Conn, OK: true})
			case reducer.Forward:
				load := lg.LoadReport{N: 2, Values: [4]float64{float64(2 + e.Conn%5), 20}}
				r.queue = append(r.queue, reducer.RequestWritten{Conn: e.Conn, OK: true},
					reducer.ServerAnswered{Conn: e.Conn, Result: lg.OK, Load: load, Reusable: true})
			case reducer.AnswerClient:
				r.answers++
				r.queue = append(r.queue, reducer.ResponseWritten{Conn: e.Conn, OK: true})
			}
		}
	}
}

// until passes time, with all that falls due.
func (r *rig) until(at time.Duration) {
	for r.armed > 0 && r.armed <= at {
		r.now = max(r.now, r.armed)
		r.armed = 0
		r.step(reducer.TimerFired{})
	}
	r.now = at
}

// costServers makes a list, of the deployment's kinds and zones.
func costServers(n int, started time.Duration) []lg.Server {
	list := make([]lg.Server, n)
	for i := range list {
		list[i] = lg.Server{ID: lg.ServerID(i)*0x9e3779b97f4a7c15 + 1, Zone: i % 4, Kind: i % 2,
			Weight:  1 + float64(i%3)/4,
			Started: started}
	}
	return list
}

// Measure measures the cost at a size of the fleet with so many requests.
func Measure(servers, requests int) (Cost, error) {
	sc := emulator.Lakeshore()
	c := Cost{Servers: servers, Requests: requests}
	set := sc.Settings(0)
	module, err := lg.New(set, 1)
	if err != nil {
		return c, err
	}
	decider := &timed{Decider: module}
	r := &rig{now: 24 * time.Hour}
	r.state, err = reducer.New(reducer.Config{Settings: set, Seed: 1, MaxClients: 600,
		MaxServerConns: max(400, 2*servers), ServerIdleTimeout: 15 * time.Second, Decider: decider})
	if err != nil {
		return c, err
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	list := costServers(servers, 0)
	began := time.Now()
	r.step(reducer.ListReceived{List: lg.List{Kind: lg.FullList, Servers: list}})
	c.FullList = time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&after)
	c.MemoryServer = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(servers)
	const legs = 50
	for i := range legs {
		r.step(reducer.ClientOpened{Conn: reducer.ConnID(i + 1)})
	}
	ask := func(i int) {
		r.until(r.now + 2*time.Millisecond)
		r.step(reducer.RequestReceived{Conn: reducer.ConnID(i%legs + 1), Name: fmt.Sprint("r", i), Class: i % 2,
			Key: uint64(i%997) * 0x9e3779b97f4a7c15, HasKey: true, Deadline: r.now + time.Second})
	}
	warm := max(1000, servers)
	for i := range warm {
		ask(i)
	}
	runtime.GC()
	r.longest, r.answers, decider.spent = 0, 0, 0
	runtime.ReadMemStats(&before)
	began = time.Now()
	for i := range requests {
		ask(warm + i)
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	if r.answers < requests {
		return c, fmt.Errorf("%d of %d requests were answered", r.answers, requests)
	}
	c.Request, c.Module = took/time.Duration(requests), decider.spent/time.Duration(requests)
	c.Longest = r.longest
	c.Allocs = float64(after.Mallocs-before.Mallocs) / float64(requests)
	c.Bytes = float64(after.TotalAlloc-before.TotalAlloc) / float64(requests)
	const changes = 20
	began = time.Now()
	for i := range changes {
		one := list[i%servers]
		one.State = lg.Draining
		r.step(reducer.ListReceived{List: lg.List{Kind: lg.Changes, Servers: []lg.Server{one}}})
	}
	c.OneChange = time.Since(began) / changes
	return c, nil
}

// CostTable prints costs as a Markdown table.
func CostTable(out io.Writer, costs []Cost) {
	fmt.Fprintln(out,
		"| servers | ns a request | of that the module | allocations | bytes | longest event | full list | "+
			"one change | bytes a server |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range costs {
		fmt.Fprintf(out, "| %d | %d | %d | %.1f | %.0f | %v | %v | %v | %.0f |\n", c.Servers,
			c.Request.Nanoseconds(),
			c.Module.Nanoseconds(), c.Allocs, c.Bytes, c.Longest.Round(time.Microsecond),
			c.FullList.Round(time.Microsecond),
			c.OneChange.Round(time.Microsecond), c.MemoryServer)
	}
}
