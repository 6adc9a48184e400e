package serverlist

import lg "lilacglade"

// Change is what a document changed of one server.
type Change struct {
	Name  string
	State lg.State
	// Restarted: it was there before with another start time
	Restarted bool
}

// Changes lists what the last document that was taken in changed, by name. It holds until the next one.
func (s *Store) Changes() []Change { return s.changed }

// Version is the version of the list as told last.
func (s *Store) Version() uint64 { return s.version }

// Name is the name of a server that the list names, "" for others.
func (s *Store) Name(id lg.ServerID) string { return s.told[id].in.ID }
