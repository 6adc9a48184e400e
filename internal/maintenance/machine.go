package maintenance

import "strings"

// Machine is one machine as discovery listed it when its order was taken in.
type Machine struct {
	ID      string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint,omitempty"`
	Model   string  `cbor:"3,keyasint,omitempty"`
	Weight  float64 `cbor:"4,keyasint,omitempty"`
	Started float64 `cbor:"5,keyasint,omitempty"` // Unix time in milliseconds; 0: long ago
	Proxy   string  `cbor:"6,keyasint,omitempty"` // it is the machine of the proxy of that name
}

// ProxyID is the id of the machine of a proxy. Discovery's ids are other ones.
func ProxyID(name string) string { return proxyPrefix + name }

const proxyPrefix = "proxy:"

// IsProxy tells whether an id is that of a proxy's machine.
func IsProxy(id string) bool { return strings.HasPrefix(id, proxyPrefix) }

// Work is one machine's way through its order.
type Work struct {
	Order     string          `cbor:"1,keyasint"`
	Machine   Machine         `cbor:"2,keyasint"`
	Step      Step            `cbor:"3,keyasint"`
	Announced uint64          `cbor:"4,keyasint"`           // index from which on it has been named
	Granted   uint64          `cbor:"5,keyasint,omitempty"` // index of its last grant
	Number    uint64          `cbor:"6,keyasint,omitempty"` // steps of all machines are counted together
	Clear     map[string]bool `cbor:"7,keyasint,omitempty"` // parties that have nothing there, of this grant
	Why       string          `cbor:"8,keyasint,omitempty"`
	Voter     bool            `cbor:"9,keyasint,omitempty"` // a proxy's machine, and it voted when it was granted
}

// concerns tells whether a party has to know, and to stop, for a machine to go out: all may send to a
// machine, but a proxy's own machine is between it and its callers.
func (w *Work) concerns(p *Participant) bool {
	return w.Machine.Proxy == "" || w.Machine.Proxy == p.Name
}

// Missing counts the machines that are missing to the fleet for work: all, of a zone, of a model.
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

// clear notes which parties have nothing at a machine any more.
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
