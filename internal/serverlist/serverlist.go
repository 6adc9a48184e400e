// Package serverlist keeps the server list: it decodes discovery's documents, tracks their versions, and
// knows the address of each server.
package serverlist

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	lg "lilacglade"
)

// record is a listed instance and the number of the last document that named it.
type record struct {
	instance instance
	document uint64
}

// Store holds the server list as last received.
type Store struct {
	version     uint64 // of the last document; any number is valid, 0 too
	incremental bool   // the next query asks for the changes since version, else for the full list

	zones, kinds []string
	startTimes   *startTimes
	records      map[lg.ServerID]record
	owners       map[string]lg.ServerID // of each address: the instance started last of those listed there
	documents    uint64                 // number of documents applied
	fullReturned bool                   // a full list was returned to the caller: from then on only changes are
	lastChanges  []Change               // by the last document that was applied
	lastReplaced []lg.ServerID          // see Replaced
}

// New returns an empty Store. Zones and kinds are numbered by their index in the given names; epoch is the
// wall-clock time at which the proxy's clock read 0.
func New(zones, kinds []string, epoch time.Time) *Store {
	return newStore(zones, kinds, newStartTimes(epoch))
}

// WithNames returns an empty Store with other zones and kinds that shares the known start times of servers.
func (s *Store) WithNames(zones, kinds []string) *Store { return newStore(zones, kinds, s.startTimes) }

func newStore(zones, kinds []string, known *startTimes) *Store {
	return &Store{zones: zones, kinds: kinds, startTimes: known, records: map[lg.ServerID]record{},
		owners: map[string]lg.ServerID{}}
}

// Epoch is the best estimate of the Unix time at which the proxy's clock read 0.
func (s *Store) Epoch() time.Duration { return s.startTimes.epoch() }

// ClockError is how far the wall clock was ahead when the process started, as discovery's start times show;
// 0: they are consistent with it.
func (s *Store) ClockError() time.Duration { return s.startTimes.wallEpoch - s.startTimes.epoch() }

// SetEpoch replaces the wall clock's epoch by the one that another process on this host had determined.
func (s *Store) SetEpoch(epoch time.Duration) { s.startTimes.wallEpoch = epoch }

// Address is the address at which a server listens, "" if it is not listed.
func (s *Store) Address(id lg.ServerID) string { return s.records[id].instance.Addr }

// ID is the number of an instance, the same at every proxy. It is derived from the instance's name, since
// addresses may differ between proxies.
func ID(instance string) lg.ServerID { return lg.ServerID(Hash([]byte(instance))) }

// Hash is a hash of a name (FNV-1a), the same at every proxy.
func Hash(name []byte) uint64 {
	h := fnv.New64a()
	h.Write(name)
	return h.Sum64()
}

// RequestFull makes the next query ask for the full list: another discovery may number its versions
// differently.
func (s *Store) RequestFull() { s.incremental = false }

// Apply applies a document that was received at a time on the proxy's clock, and returns the changes, or the
// full list for the first full document. An invalid document is not applied: the last good server list
// stays in use, and the next query asks for the full list.
func (s *Store) Apply(doc Document, now time.Duration) (lg.List, error) {
	if err := s.validate(doc); err != nil {
		s.RequestFull()
		return lg.List{}, fmt.Errorf("server list: %w", err)
	}
	return s.merge(doc, now, false), nil
}

// ApplyCached applies a document that an earlier process has stored, and returns the full list.
func (s *Store) ApplyCached(doc Document, now time.Duration) (lg.List, error) {
	if err := s.validate(doc); err != nil {
		s.RequestFull()
		return lg.List{}, fmt.Errorf("server list: %w", err)
	}
	s.merge(doc, now, true)
	list := s.fullList()
	list.Kind = lg.CachedList
	s.fullReturned = false
	return list, nil
}

// ApplyLate applies a document that answers a call after its timeout, and reports whether it did: only a
// document newer than the current version is applied.
func (s *Store) ApplyLate(doc Document, now time.Duration) (lg.List, bool) {
	if s.validate(doc) != nil || !s.incremental || doc.version <= s.version {
		return lg.List{}, false
	}
	return s.merge(doc, now, false), true
}

// validate checks a document against the current list.
func (s *Store) validate(doc Document) error {
	if !doc.full && s.incremental && doc.version < s.version {
		return fmt.Errorf("changes up to version %d, but version %d is known", doc.version, s.version)
	}
	return nil
}

// merge applies a valid document. The changes it returns include the servers that the document does not name
// but whose start times it showed to be later than assumed.
func (s *Store) merge(doc Document, now time.Duration, cached bool) lg.List {
	s.startTimes.observe(doc.instances, now, cached)
	corrected := s.startTimes.correct(now)
	s.documents++
	s.lastChanges, s.lastReplaced = s.lastChanges[:0], nil
	list := lg.List{Kind: lg.Changes}
	for _, in := range doc.instances {
		s.applyInstance(&list, in)
	}
	if doc.full {
		s.removeUnnamed(&list, doc)
	}
	slices.SortFunc(s.lastChanges, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	// A list without servers from discovery has a version that can be watched, too; one that an earlier process
	// has stored may stand for no list at all.
	watchable := !cached && (doc.full || s.incremental)
	s.version, s.incremental = doc.version, len(s.records) > 0 || watchable
	s.startTimes.prune(s.records)
	if doc.full && !s.fullReturned {
		s.fullReturned = true
		return s.fullList()
	}
	s.addCorrected(&list, corrected)
	return list
}

// applyInstance applies one instance of a document, and records what it changed.
func (s *Store) applyInstance(list *lg.List, in instance) {
	before, known := s.records[in.key]
	gone := states[in.State] == lg.Gone || !known && s.superseded(in)
	if known && before.instance == in {
		before.document = s.documents
		s.records[in.key] = before
		return
	}
	switch {
	case !known && gone:
		return
	case !known || gone || before.instance.State != in.State:
		s.lastChanges = append(s.lastChanges, Change{Name: in.ID, State: states[in.State]})
	case before.instance.Started != in.Started:
		s.lastChanges = append(s.lastChanges, Change{Name: in.ID, State: states[in.State], Restarted: true})
	}
	list.Servers = append(list.Servers, s.toServer(in))
	if gone {
		s.remove(in.key)
		return
	}
	if known && (before.instance.Addr != in.Addr || before.instance.Started != in.Started) {
		s.remove(in.key)
		s.lastReplaced = append(s.lastReplaced, in.key)
	}
	s.records[in.key] = record{in, s.documents}
	s.takeAddress(list, in)
}

// removeUnnamed removes the servers that a full list does not name.
func (s *Store) removeUnnamed(list *lg.List, doc Document) {
	named := 0
	for _, in := range doc.instances {
		if states[in.State] != lg.Gone {
			named++
		}
	}
	if named == len(s.records) {
		return // the list names all of them, and none twice
	}
	for id, record := range s.records {
		if record.document == s.documents {
			continue
		}
		s.listGone(list, id, record.instance.ID)
	}
	slices.SortStableFunc(list.Servers, func(a, b lg.Server) int { return cmp.Compare(a.ID, b.ID) })
}

// addCorrected adds the servers whose start times were corrected and that the list does not name.
func (s *Store) addCorrected(list *lg.List, corrected []lg.ServerID) {
	if len(corrected) == 0 {
		return
	}
	named := make(map[lg.ServerID]bool, len(list.Servers))
	for _, server := range list.Servers {
		named[server.ID] = true
	}
	for _, id := range corrected {
		if record, ok := s.records[id]; ok && !named[id] {
			list.Servers = append(list.Servers, s.toServer(record.instance))
		}
	}
}

// fullList is the current list, sorted by ID.
func (s *Store) fullList() lg.List {
	list := lg.List{Kind: lg.FullList, Servers: make([]lg.Server, 0, len(s.records))}
	for _, record := range s.records {
		list.Servers = append(list.Servers, s.toServer(record.instance))
	}
	slices.SortFunc(list.Servers, func(a, b lg.Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// toServer converts an instance for the decision module.
func (s *Store) toServer(in instance) lg.Server {
	return lg.Server{ID: in.key, Zone: slices.Index(s.zones, in.Zone), Kind: slices.Index(s.kinds, in.Kind),
		Cell: in.Cell, State: states[in.State], Weight: in.Weight, Started: s.startTimes.startedAt(in)}
}

// Listed is an instance as last received from discovery.
type Listed struct {
	Name, Zone, Kind string
	State            lg.State
	Weight           float64
	Started          float64 // Unix time in milliseconds; 0: long ago
}

// Instances returns the server list, sorted by name.
func (s *Store) Instances() (all []Listed) {
	for _, record := range s.records {
		in := record.instance
		all = append(all, Listed{in.ID, in.Zone, in.Kind, states[in.State], in.Weight, in.Started})
	}
	slices.SortFunc(all, func(a, b Listed) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Encode encodes the server list as a document of discovery, for another process of this proxy.
func (s *Store) Encode() []byte {
	doc := struct {
		Version   uint64     `json:"generation"`
		Full      bool       `json:"reset"`
		Instances []instance `json:"instances"`
	}{s.version, true, []instance{}}
	for _, id := range slices.Sorted(maps.Keys(s.records)) {
		doc.Instances = append(doc.Instances, s.records[id].instance)
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil // can't happen: all fields can be encoded
	}
	return raw
}

// CanWatch reports whether the next call may wait for changes, because it does not ask for the full list.
func (s *Store) CanWatch() bool { return s.incremental }

// Query is the path of the next request to discovery: for the full list, or a watch for changes since the
// current version, which lasts until the given time at most. A request that must not wait asks for a wait of
// one millisecond, the shortest that no list service treats as a special case.
func (s *Store) Query(now, until time.Duration) string {
	if !s.incremental {
		return "/v1/servers"
	}
	return "/v1/servers?since=" + strconv.FormatUint(s.version, 10) +
		"&timeout_ms=" + strconv.FormatInt(max(time.Millisecond, until-now).Milliseconds(), 10)
}
