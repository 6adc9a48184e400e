package maintenance

import "strings"

// Machine is one machine as discovery listed it when its order was accepted.
type Machine struct {
	ID      string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint,omitempty"`
	Model   string  `cbor:"3,keyasint,omitempty"`
	Weight  float64 `cbor:"4,keyasint,omitempty"`
	Started float64 `cbor:"5,keyasint,omitempty"` // Unix time in milliseconds; 0: long ago
	Proxy   string  `cbor:"6,keyasint,omitempty"` // set for a proxy's own machine: the proxy's name
}

// ProxyID returns the machine id of a proxy. It differs from all ids of discovery.
func ProxyID(name string) string { return proxyPrefix + name }

const proxyPrefix = "proxy:"

// IsProxy reports whether an id belongs to a proxy's machine.
func IsProxy(id string) bool { return strings.HasPrefix(id, proxyPrefix) }

// Work is the progress of one machine in its order.
type Work struct {
	Order     string          `cbor:"1,keyasint"`
	Machine   Machine         `cbor:"2,keyasint"`
	Step      Step            `cbor:"3,keyasint"`
	Announced uint64          `cbor:"4,keyasint"`           // index of its announcement; 0: none
	Granted   uint64          `cbor:"5,keyasint,omitempty"` // index of its last grant
	Number    uint64          `cbor:"6,keyasint,omitempty"` // of its last step, counted over all machines
	Clear     map[string]bool `cbor:"7,keyasint,omitempty"` // participants without requests there
	Why       string          `cbor:"8,keyasint,omitempty"` // reason of its last step
	Voter     bool            `cbor:"9,keyasint,omitempty"` // it was a voter's machine at the grant
}

// concerns reports whether a participant must know of the machine and stop sending to it before it
// goes out. Any participant may send to an album server; a proxy's own machine concerns only that
// proxy, whose clients leave it.
func (w *Work) concerns(p *Participant) bool {
	return w.Machine.Proxy == "" || w.Machine.Proxy == p.Name
}

// Missing counts the machines that are out of service for maintenance: all, in a zone, of a model.
func (s *State) Missing(zone, kind string) (all, inZone, ofKind int) {
	for _, w := range s.Works {
		if !w.Step.missing() {
			continue
		}
		all++
		if w.Machine.Zone == zone {
			inZone++
		}
		if w.Machine.Model == kind {
			ofKind++
		}
	}
	return all, inZone, ofKind
}

// clear records which participants have no requests at a machine any more. Reports of another grant
// or of unknown participants are ignored.
func (s *State) clear(notes []Report) error {
	for _, n := range notes {
		w := s.Active(n.Machine)
		if w == nil || w.Granted != n.Index || s.Participants[n.Participant] == nil {
			continue
		}
		if w.Step == Granted {
			s.setStep(w, Draining, "")
		}
		if w.Step == Draining {
			if w.Clear == nil {
				w.Clear = map[string]bool{}
			}
			w.Clear[n.Participant] = true
		}
	}
	return nil
}
