package lilacglade

import (
	"slices"
	"time"
)

// mostDropped bounds the classes that are kept for requests that began before they were dropped.
const mostDropped = 64

// RetainingClasses returns s as the settings to follow old ones: classes that s no longer has, or has
// changed, stay behind those that it offers, for requests that have begun under them.
func (s Settings) RetainingClasses(old Settings) Settings {
	offered := s.offered()
	s.Offered, s.Classes = len(offered), slices.Clone(offered)
	for _, c := range old.Classes {
		if len(s.Classes) < s.Offered+mostDropped && !slices.Contains(s.Classes, c) {
			s.Classes = append(s.Classes, c)
		}
	}
	return s
}

func (s Settings) offered() []Class {
	if s.Offered == 0 {
		return s.Classes
	}
	return s.Classes[:s.Offered]
}

// Retune takes new settings, as RetainingClasses returned them, for requests from now on. Those that have
// begun keep the class and the number of attempts that they began with. On an error nothing changes.
func (b *Balancer) Retune(now time.Duration, set Settings) error {
	if err := set.check(); err != nil {
		return err
	}
	b.now = now
	old := b.set
	same := func(i int) int { // where the class was, or, if it is changed, one of its name; -1: nowhere
		if at := slices.Index(old.Classes, set.Classes[i]); at >= 0 {
			return at
		}
		return slices.IndexFunc(old.Classes, func(c Class) bool { return c.Name == set.Classes[i].Name })
	}
	n := len(set.Classes)
	works, from, tries := make([]fit, n), make([]int, n), make([]firsts, n)
	// Guards against refusing a new class for work that it is only supposed to be: it counts as an average one.
	mean := 0.0
	for _, w := range b.works {
		mean += w.y / float64(len(b.works))
	}
	for i := range set.Classes {
		works[i] = fit{y: mean}
		if from[i] = same(i); from[i] >= 0 {
			works[i], tries[i] = b.works[from[i]], b.firsts[from[i]]
		}
	}
	for _, s := range b.servers {
		all := make([]standing, len(set.Classes))
		for i, at := range from {
			if at >= 0 {
				all[i] = s.classes[at]
			}
		}
		s.classes = all
	}
	for _, r := range b.requests {
		r.Class = max(0, slices.Index(set.Classes, old.Classes[r.Class]))
	}
	left := b.tenants
	b.set, b.works, b.firsts, b.tenants = set, works, tries, nil
	for _, t := range set.Tenants {
		most := t.Allowance / float64(set.Balancers)
		if at := slices.IndexFunc(old.Tenants, func(o Tenant) bool { return o.Name == t.Name }); at >= 0 {
			most = min(most, left[at])
		}
		b.tenants = append(b.tenants, most)
	}
	b.suit()
	return nil
}
