package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Order is a maintenance order: machines that operators want to take out of service, and limits.
type Order struct {
	ID            string        `cbor:"1,keyasint"`
	Machines      []Machine     `cbor:"2,keyasint"`
	MaxOut        int           `cbor:"3,keyasint"`           // machines out at once, in all orders together
	MaxPerZone    int           `cbor:"4,keyasint,omitempty"` // the same in one zone; 0: no limit of its own
	MaxPerModel   int           `cbor:"5,keyasint,omitempty"` // the same of one model; 0: no limit of its own
	Keep          float64       `cbor:"6,keyasint"`           // fraction of the weight that must stay, 0..1
	Fleet         float64       `cbor:"7,keyasint"`           // the fleet's weight when the order was accepted
	OutFor        time.Duration `cbor:"8,keyasint,omitempty"` // longer than this out is a failure; 0: no limit
	ConfirmReturn bool          `cbor:"9,keyasint,omitempty"` // an operator reports the return, not a restart
	Paused        bool          `cbor:"10,keyasint,omitempty"`
	Ended         bool          `cbor:"11,keyasint,omitempty"` // cancelled: nothing more is granted
	Margin        float64       `cbor:"12,keyasint,omitempty"` // spare capacity, as a fraction of InFlight
}

// maxMargin is the highest margin that an order may have. A higher one is taken for a typing error.
const maxMargin = 10.0

// check validates an order on its own. The error names the setting.
func (o *Order) check() error {
	switch {
	case o == nil || o.ID == "":
		return errors.New("id: not set")
	case len(o.Machines) == 0:
		return errors.New("machines: none")
	case o.MaxOut < 1:
		return fmt.Errorf("most: %d, want at least 1", o.MaxOut)
	case o.MaxPerZone < 0 || o.MaxPerModel < 0:
		return fmt.Errorf("most-zone, most-kind: %d, %d, want at least 0", o.MaxPerZone, o.MaxPerModel)
	case !(o.Keep >= 0 && o.Keep < 1):
		return fmt.Errorf("keep: %v, want a part from 0 to under 1", o.Keep)
	case o.OutFor < 0:
		return fmt.Errorf("out-for: %v, want at least 0", o.OutFor)
	case !(o.Margin >= 0 && o.Margin <= maxMargin):
		return fmt.Errorf("margin: %v, want 0 to %v", o.Margin, maxMargin)
	}
	seen := map[string]bool{}
	for _, m := range o.Machines {
		if (m.Proxy == "") != (o.Machines[0].Proxy == "") {
			return errors.New("machines: proxies and album servers want an order each")
		}
		if m.ID == "" || seen[m.ID] {
			return fmt.Errorf("machines: %q is empty or repeated", m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}

// submit adds an order with all of its machines, or nothing.
func (s *State) submit(o *Order) error {
	if err := o.check(); err != nil {
		return err
	}
	if s.Order(o.ID) != nil {
		return fmt.Errorf("id: an order %q was given before", o.ID)
	}
	for _, m := range o.Machines {
		if w := s.Active(m.ID); w != nil {
			return fmt.Errorf("machines: %q is in order %q", m.ID, w.Order)
		}
	}
	s.Orders = append(s.Orders, o)
	for _, m := range o.Machines {
		s.Works = append(s.Works, &Work{Order: o.ID, Machine: m})
	}
	s.prune()
	return nil
}

// order pauses, resumes or cancels an order.
func (s *State) order(c Command) error {
	o := s.Order(c.Name)
	if o == nil {
		return fmt.Errorf("order %q: unknown", c.Name)
	}
	switch {
	case o.Ended:
		return fmt.Errorf("order %q: cancelled", c.Name)
	case c.Kind == Pause:
		o.Paused = true
	case c.Kind == Resume:
		o.Paused = false
	default:
		// Machines that are free or out stay marked until an operator returns them. No work can
		// have begun on the others.
		o.Ended = true
		for _, w := range s.Works {
			if w.Order == o.ID && w.Step < Free {
				s.setStep(w, Cancelled, "the order was cancelled")
			}
		}
	}
	return nil
}

// maxWorks limits the number of Works: above it, prune removes ended ones.
const maxWorks = 1024

// prune removes the oldest ended works beyond maxWorks, and orders that have no works left, whose
// ids can then be used again.
func (s *State) prune() {
	over := len(s.Works) - maxWorks
	s.Works = slices.DeleteFunc(s.Works, func(w *Work) bool {
		if over > 0 && w.Step.Ended() {
			over--
			return true
		}
		return false
	})
	s.Orders = slices.DeleteFunc(s.Orders, func(o *Order) bool {
		return !slices.ContainsFunc(s.Works, func(w *Work) bool { return w.Order == o.ID })
	})
}
