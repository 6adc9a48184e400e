package serverlist

import (
	"cmp"
	"slices"

	lg "lilacglade"
)

// Change is what a document changed of one server.
type Change struct {
	Name  string
	State lg.State
	// Restarted: it was there before with another start time
	Restarted bool
}

// Changes lists what the last document that was taken in changed, by name. It holds until the next one.
func (s *Set) Changes() []Change { return s.changed }

// Version is the version of the list as told last.
func (s *Set) Version() uint64 { return s.version }

// Name is the name of a server that the list names, "" for others.
func (s *Set) Name(id lg.ServerID) string { return s.told[id].ID }

// differences lists what a document that is being taken in changes.
func (s *Set) differences(list lg.List, instances []instance) []Change {
	var all []Change
	named := make(map[lg.ServerID]bool, len(list.Servers))
	for i, l := range list.Servers {
		named[l.ID] = true
		before, known := s.told[l.ID]
		gone := l.State == lg.Gone
		switch {
		case !known && gone:
		case !known || gone || before.State != instances[i].State:
			all = append(all, Change{Name: instances[i].ID, State: l.State})
		case before.Started != instances[i].Started:
			all = append(all, Change{Name: instances[i].ID, State: l.State, Restarted: true})
		}
	}
	if list.Kind == lg.FullList {
		for id, before := range s.told {
			if !named[id] {
				all = append(all, Change{Name: before.ID, State: lg.Gone})
			}
		}
	}
	slices.SortFunc(all, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
