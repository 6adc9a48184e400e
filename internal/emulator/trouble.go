package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Trouble is something that goes wrong, from At for For. Which servers it strikes is told by
// Servers, Zone, Count or Part; with none of these, all. Size means something else for each kind.
type Trouble struct {
	Kind    string        `yaml:"kind"`
	At      time.Duration `yaml:"at"`
	For     time.Duration `yaml:"for"`
	Servers []int         `yaml:"servers"`
	Zone    string        `yaml:"zone"`
	Count   int           `yaml:"count"`
	Part    float64       `yaml:"part"`
	Size    float64       `yaml:"size"`
	Every   time.Duration `yaml:"every"`
	Class   string        `yaml:"class"`
	Tenant  string        `yaml:"tenant"`
	Proxies []int         `yaml:"proxies"`
	Hard    bool          `yaml:"hard"`
	Same    bool          `yaml:"same-address"`
}

// Kind describes a kind of trouble.
type Kind struct {
	Name  string
	About string
	// The size that random scenarios draw from, and what a missing one means.
	Sizes   Range
	Size    float64
	Servers bool // strikes servers
	begin   func(w *World, t *Trouble, on []*Server)
}

// kinds are all kinds of trouble, by name.
var kinds []Kind

// Kinds lists the kinds of trouble.
func Kinds() []Kind { return slices.Clone(kinds) }

func kindOf(name string) *Kind {
	for i := range kinds {
		if kinds[i].Name == name {
			return &kinds[i]
		}
	}
	return nil
}

func (t *Trouble) check(s *Scenario) error {
	k := kindOf(t.Kind)
	if k == nil {
		var names []string
		for _, k := range kinds {
			names = append(names, k.Name)
		}
		return fmt.Errorf("kind: %q is none of %s", t.Kind, strings.Join(names, ", "))
	}
	switch {
	case t.At < 0:
		return fmt.Errorf("at: want 0 or more")
	case t.For <= 0:
		return fmt.Errorf("for: want more than 0")
	case t.Size < 0:
		return fmt.Errorf("size: want 0 or more")
	case t.Part < 0 || t.Part > 1:
		return fmt.Errorf("part: want 0 to 1")
	case t.Zone != "" && !slices.Contains(s.Zones, t.Zone):
		return fmt.Errorf("zone: %q is not in zones", t.Zone)
	case t.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == t.Class }):
		return fmt.Errorf("class: %q is not in classes", t.Class)
	case t.Tenant != "" && !slices.ContainsFunc(s.Tenants, func(n Tenant) bool { return n.Name == t.Tenant }):
		return fmt.Errorf("tenant: %q is not in tenants", t.Tenant)
	}
	for _, i := range t.Servers {
		if i < 0 || i >= s.Servers.Count {
			return fmt.Errorf("servers: there is no server %d", i)
		}
	}
	for _, i := range t.Proxies {
		if i < 0 || i >= s.Proxies.Count {
			return fmt.Errorf("proxies: there is no proxy %d", i)
		}
	}
	return nil
}

// size is the trouble's size, or what its kind means by none.
func (t *Trouble) size() float64 {
	if t.Size == 0 {
		return kindOf(t.Kind).Size
	}
	return t.Size
}

// victims are the servers that a trouble strikes, drawn with the trouble's own chance.
func (w *World) victims(t *Trouble, rng *rand.Rand) []*Server {
	var able []*Server
	for _, s := range w.servers {
		if len(t.Servers) > 0 && !slices.Contains(t.Servers, s.Index) || t.Zone != "" &&
			w.sc.Zones[s.Zone] != t.Zone {
			continue
		}
		able = append(able, s)
	}
	n := len(able)
	switch {
	case t.Count > 0:
		n = min(n, t.Count)
	case t.Part > 0:
		n = min(n, max(1, int(t.Part*float64(len(able))+0.5)))
	default:
		return able
	}
	rng.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	able = able[:n]
	slices.SortFunc(able, func(a, b *Server) int { return a.Index - b.Index })
	return able
}

// plan has every trouble begin at its time.
func (w *World) plan() {
	for i := range w.sc.Troubles {
		t := &w.sc.Troubles[i]
		on := w.victims(t, w.rng("trouble", uint64(i)))
		w.Clock.At(t.At, func() {
			w.note("%s begins, for %v", t.Kind, t.For)
			kindOf(t.Kind).begin(w, t, on)
		})
		w.Clock.At(t.At+t.For, func() { w.note("%s ends", t.Kind) })
	}
}

// over has undo called when the trouble ends.
func (w *World) over(t *Trouble, undo func()) { w.Clock.At(t.At+t.For, undo) }

// each applies do to the victims now and undo at the trouble's end.
func each(do, undo func(w *World, t *Trouble, s *Server)) func(*World, *Trouble, []*Server) {
	return func(w *World, t *Trouble, on []*Server) {
		for _, s := range on {
			do(w, t, s)
		}
		w.over(t, func() {
			for _, s := range on {
				undo(w, t, s)
			}
		})
	}
}

// classIn is the number of the trouble's class, -1 for all.
func (w *World) classIn(t *Trouble) int {
	return slices.IndexFunc(w.sc.Classes, func(c Class) bool { return c.Name == t.Class })
}

func init() {
	kinds = []Kind{
		{Name: "slow", About: "servers run size times slower", Sizes: Range{2.9, 9.6}, Size: 5, Servers: true,
			begin: each(
				func(_ *World, t *Trouble, s *Server) { s.set(func() { s.slow *= t.size() }) },
				func(_ *World, t *Trouble, s *Server) { s.set(func() { s.slow /= t.size() }) })},
		{Name: "hang", About: "servers take requests (of the class, if one is named) and answer none",
			Sizes: Range{1, 1}, Size: 1, Servers: true,
			begin: each(
				func(w *World, t *Trouble, s *Server) { s.hang(w.classIn(t), 1) },
				func(w *World, t *Trouble, s *Server) { s.hang(w.classIn(t), -1) })},
		{Name: "neighbour", About: "another program takes the part size of the machine, on and off (every)",
			Sizes: Range{0.37, 0.69}, Size: 0.5, Servers: true, begin: neighbour},
		{Name: "tail", About: "the part size of a class's requests cost 15 times the usual work",
			Sizes: Range{0.006, 0.03}, Size: 0.02, begin: func(w *World, t *Trouble, _ []*Server) {
				h := &heavy{class: w.classIn(t), part: t.size(), times: 15}
				w.clients.heavy = append(w.clients.heavy, h)
				w.over(t, func() {
					w.clients.heavy = slices.DeleteFunc(w.clients.heavy, func(o *heavy) bool { return o == h })
				})
			}},
		{Name: "crash", About: "server processes die and start again, cold, at the end", Sizes: Range{1, 1},
			Size:    1,
			Servers: true, begin: each(
				func(_ *World, _ *Trouble, s *Server) { s.crash() },
				func(_ *World, _ *Trouble, s *Server) { s.start() })},
		{Name: "vanish", About: "server machines are cut off without a word and come back under the old address, " +
			"cold if hard", Sizes: Range{1, 1}, Size: 1, Servers: true, begin: each(
			func(_ *World, _ *Trouble, s *Server) { s.cut++; s.reach() },
			func(_ *World, t *Trouble, s *Server) { s.back(t.Hard) })},
		{Name: "garble", About: "the part size of the answers is spoilt", Sizes: Range{0.01, 0.3}, Size: 0.05,
			Servers: true, begin: each(
				func(_ *World, t *Trouble, s *Server) { s.garbles += t.size() },
				func(_ *World, t *Trouble, s *Server) { s.garbles -= t.size() })},
		{Name: "reset", About: "the part size of the connections breaks in place of an answer",
			Sizes: Range{0.01, 0.3}, Size: 0.05, Servers: true, begin: each(
				func(_ *World, t *Trouble, s *Server) { s.resets += t.size() },
				func(_ *World, t *Trouble, s *Server) { s.resets -= t.size() })},
		{Name: "errors", About: "the part size of the requests fails with 500", Sizes: Range{0.01, 1}, Size: 0.2,
			Servers: true, begin: each(
				func(_ *World, t *Trouble, s *Server) { s.errors += t.size() },
				func(_ *World, t *Trouble, s *Server) { s.errors -= t.size() })},
		{Name: "idle-drop",
			About: "connections idle for size seconds are dropped without a word; the next request " +
				"on one is reset, or never answered if hard", Sizes: Range{0.3, 5}, Size: 1, Servers: true, begin: each(
				func(_ *World, t *Trouble, s *Server) {
					s.idleDrop, s.dropHard = time.Duration(t.size()*float64(time.Second)), t.Hard
				},
				func(_ *World, _ *Trouble, s *Server) { s.idleDrop = 0 })},
		{Name: "refuse", About: "new connections are refused, open ones go on", Sizes: Range{1, 1}, Size: 1,
			Servers: true, begin: each(
				func(_ *World, _ *Trouble, s *Server) { s.refuses++; s.reach() },
				func(_ *World, _ *Trouble, s *Server) { s.refuses--; s.reach() })},
		{Name: "stale", About: "load reports stand still, times size", Sizes: Range{0.05, 1}, Size: 1,
			Servers: true,
			begin: each(
				func(_ *World, t *Trouble, s *Server) { s.stale++; s.report.InFlight *= t.size() },
				func(_ *World, _ *Trouble, s *Server) { s.stale-- })},
		{Name: "discovery", About: "discovery is down", Sizes: Range{1, 1}, Size: 1,
			begin: func(w *World, t *Trouble, _ []*Server) {
				w.discovery.fall()
				w.over(t, func() { w.discovery.down-- })
			}},
		{Name: "move", About: "discovery moves to another address; proxies are told by a reload",
			Sizes: Range{1, 1}, Size: 1, begin: func(w *World, _ *Trouble, _ []*Server) { w.discovery.move() }},
		{Name: "rolling",
			About: "servers drain, restart and come back one after the other (every), under new ids " +
				"unless same-address", Sizes: Range{0.5, 2}, Size: 1, Servers: true, begin: rolling},
		{Name: "proxies", About: "proxies restart one after the other (every), killed if hard",
			Sizes: Range{1, 1}, Size: 1, begin: restarts},
		{Name: "flood", About: "a tenant (or all) sends size times its requests", Sizes: Range{1.5, 4}, Size: 3,
			begin: func(w *World, t *Trouble, _ []*Server) {
				tenant := slices.IndexFunc(w.sc.Tenants, func(n Tenant) bool { return n.Name == t.Tenant })
				w.clients.flood(tenant, t.size())
				w.over(t, func() { w.clients.flood(tenant, 1/t.size()) })
			}},
	}
}

// neighbour takes part of the machine, on and off.
func neighbour(w *World, t *Trouble, on []*Server) {
	every := t.Every
	if every <= 0 {
		every = 2 * time.Second
	}
	for i, s := range on {
		rng := w.rng("neighbour", uint64(t.At), uint64(i))
		taken := false
		var turn func()
		turn = func() {
			done := w.Clock.Now() >= t.At+t.For
			if done && !taken {
				return
			}
			taken = !taken
			s.set(func() {
				if taken {
					s.taken = min(0.95, t.size())
				} else {
					s.taken = 0
				}
			})
			if !done {
				next := w.Clock.Now() + time.Duration((0.3+0.7*rng.Float64())*float64(every))
				w.Clock.At(min(next, t.At+t.For), turn)
			}
		}
		turn()
	}
}

// rolling drains and restarts the victims one after the other. A drain takes Size seconds.
func rolling(w *World, t *Trouble, on []*Server) {
	every := t.Every
	if every <= 0 {
		every = t.For / time.Duration(max(1, len(on)))
	}
	for i, s := range on {
		w.Clock.At(t.At+time.Duration(i)*every, func() {
			s.drain()
			w.Clock.After(time.Duration(t.size()*float64(time.Second))+w.sc.Discovery.Late.To, func() {
				s.leave(!t.Same)
				w.Clock.After(200*time.Millisecond, s.start)
			})
		})
	}
}

// restarts restarts proxies one after the other.
func restarts(w *World, t *Trouble, _ []*Server) {
	which := t.Proxies
	if len(which) == 0 {
		for i := range w.sc.Proxies.Count {
			which = append(which, i)
		}
	}
	every := t.Every
	if every <= 0 {
		every = t.For / time.Duration(len(which))
	}
	for i, p := range which {
		w.Clock.At(t.At+time.Duration(i)*every, func() { w.restartProxy(p, t.Hard) })
	}
}
