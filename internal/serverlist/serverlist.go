// Package serverlist holds the server list: discovery's documents, their versions, and where
// each next hop listens.
package serverlist

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	lg "lilacglade"
)

// listed is an instance as it is listed, and the last document that named it.
type listed struct {
	in    instance
	round uint64
}

// Store is the server list as last told.
type Store struct {
	version uint64 // as told last; any number may be one, 0 too
	changes bool   // what has changed since is wanted next, else the whole list

	zones, kinds []string
	starts       *starts
	told         map[lg.ServerID]listed // as told last
	round        uint64                 // documents taken in
	given        bool                   // a whole list was returned: from then on what changes is enough
	changed      []Change               // by the last document that was taken in
}

// New returns an empty Set. The names give zones and kinds their numbers; epoch is the
// moment at which the proxy's clock read 0, by the wall clock.
func New(zones, kinds []string, epoch time.Time) *Store {
	return emptySet(zones, kinds, newStarts(epoch))
}

// WithNames returns an empty Set with other names, that knows what this one knows of servers' start times.
func (s *Store) WithNames(zones, kinds []string) *Store { return emptySet(zones, kinds, s.starts) }

func emptySet(zones, kinds []string, known *starts) *Store {
	return &Store{zones: zones, kinds: kinds, starts: known, told: map[lg.ServerID]listed{}}
}

// Epoch is the Unix time at which the proxy's clock read 0, as far as is known.
func (s *Store) Epoch() time.Duration { return s.starts.epoch() }

// ClockError is by how much the wall clock was wrong when the process started, as far as discovery's start
// times tell; 0: nothing speaks against it.
func (s *Store) ClockError() time.Duration { return s.starts.wall - s.starts.epoch() }

// SetEpoch has it be what another process on this machine knew, in place of what the wall clock said.
func (s *Store) SetEpoch(epoch time.Duration) { s.starts.wall = epoch }

// Address tells where a next hop listens, "" when the server list doesn't name it.
func (s *Store) Address(id lg.ServerID) string { return s.told[id].in.Addr }

// ID is the number of an instance, the same at every proxy. It comes from the instance's
// name, since addresses may differ from one proxy to the next.
func ID(instance string) lg.ServerID { return lg.ServerID(Hash([]byte(instance))) }

// Hash maps a name to a number, the same at every proxy.
func Hash(name []byte) uint64 {
	h := fnv.New64a()
	h.Write(name)
	return h.Sum64()
}

// RequestFull has the whole list asked for next: another discovery may count its own way.
func (s *Store) RequestFull() { s.changes = false }

// Apply takes in a document that discovery gave at a moment on the proxy's clock, and returns what it
// changed: a list of changes, but for the first whole list, which is returned as such. One that does not fit
// what is known changes nothing but what is asked for next: the last good server list stays, and the whole
// list is wanted next.
func (s *Store) Apply(doc Document, now time.Duration) (lg.List, error) {
	if err := s.fits(doc); err != nil {
		s.RequestFull()
		return lg.List{}, fmt.Errorf("server list: %w", err)
	}
	return s.learn(doc, now, false), nil
}

// ApplyCached takes in a document from before this process.
func (s *Store) ApplyCached(doc Document, now time.Duration) (lg.List, error) {
	if err := s.fits(doc); err != nil {
		s.RequestFull()
		return lg.List{}, fmt.Errorf("server list: %w", err)
	}
	s.learn(doc, now, true)
	list := s.all()
	list.Kind = lg.CachedList
	s.given = false
	return list, nil
}

// ApplyLate takes a document in that answers a call which was given up, and tells whether it is of use: only
// what is newer than what is known by then.
func (s *Store) ApplyLate(doc Document, now time.Duration) (lg.List, bool) {
	if s.fits(doc) != nil || !s.changes || doc.version <= s.version {
		return lg.List{}, false
	}
	return s.learn(doc, now, false), true
}

// fits tells what is wrong with a document beside what is known.
func (s *Store) fits(doc Document) error {
	switch {
	case !doc.whole && s.changes && doc.version < s.version:
		return fmt.Errorf("changes up to %d, but %d is known", doc.version, s.version)
	case doc.whole && len(doc.instances) == 0 && len(s.told) > 0:
		// Guards against a discovery that has lost its memory: it would end all service.
		return errors.New("a whole list without instances")
	}
	return nil
}

// learn makes a document the one in force. What it returns has the servers' start times, and servers that it
// does not name where it showed that they started later than was thought.
func (s *Store) learn(doc Document, now time.Duration, cached bool) lg.List {
	s.starts.learn(doc.instances, now, cached)
	younger := s.starts.correct(now)
	s.round++
	s.changed = s.changed[:0]
	list := lg.List{Kind: lg.Changes}
	for _, in := range doc.instances {
		s.take(&list, in)
	}
	if doc.whole {
		s.dropUnnamed(&list, doc)
	}
	slices.SortFunc(s.changed, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	s.version, s.changes = doc.version, len(s.told) > 0
	s.starts.prune(s.told)
	if doc.whole && !s.given {
		s.given = true
		return s.all()
	}
	s.addYounger(&list, younger)
	return list
}

// take makes a line of a document the one in force, and notes what it changed.
func (s *Store) take(list *lg.List, in instance) {
	before, known := s.told[in.key]
	gone := states[in.State] == lg.Gone
	if known && before.in == in {
		before.round = s.round
		s.told[in.key] = before
		return
	}
	switch {
	case !known && gone:
		return
	case !known || gone || before.in.State != in.State:
		s.changed = append(s.changed, Change{Name: in.ID, State: states[in.State]})
	case before.in.Started != in.Started:
		s.changed = append(s.changed, Change{Name: in.ID, State: states[in.State], Restarted: true})
	}
	list.Servers = append(list.Servers, s.server(in))
	if gone {
		delete(s.told, in.key)
	} else {
		s.told[in.key] = listed{in, s.round}
	}
}

// dropUnnamed drops the servers that a whole list does not name.
func (s *Store) dropUnnamed(list *lg.List, doc Document) {
	named := 0
	for _, in := range doc.instances {
		if states[in.State] != lg.Gone {
			named++
		}
	}
	if named == len(s.told) {
		return // it names each of them, and none twice
	}
	for id, one := range s.told {
		if one.round == s.round {
			continue
		}
		delete(s.told, id)
		s.changed = append(s.changed, Change{Name: one.in.ID, State: lg.Gone})
		list.Servers = append(list.Servers, lg.Server{ID: id, State: lg.Gone})
	}
	slices.SortFunc(list.Servers, func(a, b lg.Server) int { return cmp.Compare(a.ID, b.ID) })
}

// addYounger adds servers that a list does not name and that started later than was thought.
func (s *Store) addYounger(list *lg.List, younger []lg.ServerID) {
	if len(younger) == 0 {
		return
	}
	named := make(map[lg.ServerID]bool, len(list.Servers))
	for _, l := range list.Servers {
		named[l.ID] = true
	}
	for _, id := range younger {
		if one, ok := s.told[id]; ok && !named[id] {
			list.Servers = append(list.Servers, s.server(one.in))
		}
	}
}

// all is the whole list as it is known, by id.
func (s *Store) all() lg.List {
	list := lg.List{Kind: lg.FullList, Servers: make([]lg.Server, 0, len(s.told))}
	for _, one := range s.told {
		list.Servers = append(list.Servers, s.server(one.in))
	}
	slices.SortFunc(list.Servers, func(a, b lg.Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// server is an instance as the decision module knows it.
func (s *Store) server(in instance) lg.Server {
	return lg.Server{ID: in.key, Zone: slices.Index(s.zones, in.Zone), Kind: slices.Index(s.kinds, in.Kind),
		Cell: in.Cell, State: states[in.State], Weight: in.Weight, Started: s.starts.moment(in)}
}

// Listed is an instance as discovery told it last.
type Listed struct {
	Name, Zone, Kind string
	State            lg.State
	Weight           float64
	Started          float64 // Unix time in milliseconds; 0: long ago
}

// Instances lists the server list by name.
func (s *Store) Instances() (all []Listed) {
	for _, one := range s.told {
		in := one.in
		all = append(all, Listed{in.ID, in.Zone, in.Kind, states[in.State], in.Weight, in.Started})
	}
	slices.SortFunc(all, func(a, b Listed) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Encode words the server list as discovery would, for another process of this proxy.
func (s *Store) Encode() []byte {
	doc := struct {
		Version   uint64     `json:"generation"`
		Whole     bool       `json:"reset"`
		Instances []instance `json:"instances"`
	}{s.version, true, []instance{}}
	for _, id := range slices.Sorted(maps.Keys(s.told)) {
		doc.Instances = append(doc.Instances, s.told[id].in)
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil // it holds nothing that can't be worded
	}
	return raw
}

// CanWatch tells whether the next call may wait for what changes: it does not ask for the whole list.
func (s *Store) CanWatch() bool { return s.changes }

// Query is what to ask discovery for next: the whole list, or a watch on what has changed
// since the version that is known, lasting at most until the given time; one that must not wait asks for the
// least that is no special case of any list service, a millisecond.
func (s *Store) Query(now, until time.Duration) string {
	if !s.changes {
		return "/v1/servers"
	}
	return "/v1/servers?since=" + strconv.FormatUint(s.version, 10) +
		"&timeout_ms=" + strconv.FormatInt(max(time.Millisecond, until-now).Milliseconds(), 10)
}
