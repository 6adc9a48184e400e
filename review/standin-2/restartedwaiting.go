package main

import (
	"time"
)

// restartedWaiting has a machine of an order start anew while it waits for its turn.
func restartedWaiting(r *run) int {
	servers := map[string]*server{}
	var list []instance
	for _, name := range []string{"s-a", "s-b", "s-c", "s-d"} {
		s := &server{run: r, id: name, zone: "harbor-st", work: 10 * time.Millisecond}
		if err := s.serve(); err != nil {
			return r.end(couldNot, "%v", err)
		}
		servers[name] = s
		in := entry(s, "ready")
		in.Started = float64(time.Now().Add(-time.Hour).UnixMilli())
		list = append(list, in)
	}
	d, err := r.newDiscovery(10, list...)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	c, err := r.newCluster(d, 3500, albumEdit, photoUpload)
	if err != nil {
		return r.end(couldNot, "%v", err)
	}
	// restart has a machine's process end and, a second later, another one of it listed.
	restart := func(index int) {
		s := servers[list[index].ID]
		s.stop()
		gone := append([]instance(nil), list...)
		gone = append(gone[:index], gone[index+1:]...)
		ended := list[index]
		ended.Lifecycle = "gone"
		d.publish(gone, []instance{ended}, false)
		time.Sleep(time.Second)
		if err := s.serve(); err != nil {
			r.note("server %s: %v", s.id, err)
			return
		}
		list = append([]instance(nil), list...)
		list[index].Started = float64(time.Now().UnixMilli())
		d.publish(list, []instance{list[index]}, false)
		r.note("server %s: a new process of it runs and is listed", s.id)
	}
	if err := c.submit("call-1", "id: kernel-12\nmachines: [s-a, s-b]\nmost: 1\nkeep: 0.3\nout-for: 45m\n"+
		"done: restart\n"); err != nil {
		return r.end(couldNot, "%v", err)
	}
	if c.await("s-a", 10*time.Second, "free") == "" {
		return r.end(couldNot, "s-a is not told free")
	}
	r.note("staff: s-a is free, its work begins")
	if r.trouble {
		restart(1) // s-b waits for its turn: its process ends and is started again
	}
	time.Sleep(time.Second)
	restart(0) // staff's work on s-a is done: it starts anew
	if c.await("s-a", 20*time.Second, "done") == "" {
		return r.end(couldNot, "s-a is not done")
	}
	// Staff look every 20 ms and will switch s-b off and on again 3 s after they have seen that it is free.
	var freeAt time.Duration
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		switch step := c.step("s-b"); {
		case step == "free" && freeAt == 0:
			freeAt = r.at()
			r.note("staff: s-b is free, its work begins")
		case step == "returning", step == "done":
			return r.end(broken, "s-b is said to be %s, but its process has not been ended or started since its "+
				"turn came: the order's work on it is lost", step)
		}
		if freeAt > 0 && r.at() > freeAt+3*time.Second {
			break
		}
	}
	if freeAt == 0 {
		return r.end(couldNot, "s-b is never told free")
	}
	restart(1)
	if c.await("s-b", 20*time.Second, "done") == "" {
		return r.end(couldNot, "s-b is not done")
	}
	return r.end(held, "s-b stayed free until its process was ended and started again, then it was done")
}
