package serverlist

import lg "lilacglade"

// Change is what a document changed in one server.
type Change struct {
	Name  string
	State lg.State
	// Restarted is set if the server was listed before with another start time.
	Restarted bool
}

// Changes returns what the last applied document changed, sorted by name. The slice is valid until the next
// document is applied.
func (s *Store) Changes() []Change { return s.lastChanges }

// Version is the version of the last document.
func (s *Store) Version() uint64 { return s.version }

// Name is the name of a listed server, "" if it is not listed.
func (s *Store) Name(id lg.ServerID) string { return s.records[id].instance.ID }
