package serverlist

import lg "lilacglade"

// A server is one process: the same instance at another address, or started anew, is another process, and so
// is another instance at the same address. A list may name the one that has gone for some time more.

// Replaced returns the servers that the last applied document showed to be other processes than before:
// what was sent to the process before says nothing of this one, and connections to it lead elsewhere.
func (s *Store) Replaced() []lg.ServerID { return s.lastReplaced }

// superseded reports whether another instance that started later listens at an instance's address.
func (s *Store) superseded(in instance) bool {
	owner, owned := s.owners[in.Addr]
	return owned && owner != in.key && s.records[owner].instance.Started > in.Started
}

// takeAddress records that an instance listens at its address. One that started earlier and was listed there
// has gone, whatever the list still says of it.
func (s *Store) takeAddress(list *lg.List, in instance) {
	owner, owned := s.owners[in.Addr]
	if owned && owner != in.key {
		before := s.records[owner].instance
		if before.Started >= in.Started {
			return // which of them listens there is not known
		}
		s.listGone(list, owner, before.ID)
	}
	s.owners[in.Addr] = in.key
}

// listGone removes a server and adds that to the changes.
func (s *Store) listGone(list *lg.List, id lg.ServerID, name string) {
	s.remove(id)
	s.lastChanges = append(s.lastChanges, Change{Name: name, State: lg.Gone})
	list.Servers = append(list.Servers, lg.Server{ID: id, State: lg.Gone})
}

// remove removes a server.
func (s *Store) remove(id lg.ServerID) {
	if addr := s.records[id].instance.Addr; s.owners[addr] == id {
		delete(s.owners, addr)
	}
	delete(s.records, id)
}
