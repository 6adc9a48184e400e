package maintenance

import (
	"errors"
	"fmt"
	"slices"
)

// CanAnnounce says why a machine can't be named now, nil if it can. Guards against a proxy that is cut off with
// no room left: it gives up all that is named.
func (s *State) CanAnnounce(w *Work, f *Facts) error {
	o := s.Order(w.Order)
	if o == nil || f == nil {
		return errors.New("no order, or no facts")
	}
	ahead := 0
	for _, v := range s.Works {
		if v.Order == o.ID && v.Announced > 0 && v.Step == Waiting {
			ahead++
		}
	}
	switch {
	case o.Ended || o.Paused || w.Step != Waiting || w.Announced > 0:
		return errors.New("it does not wait to be named")
	case ahead >= o.MaxOut:
		return fmt.Errorf("%d are named already", ahead)
	case w.Machine.Proxy == "" && (f.WeightLeft < o.Keep*o.Fleet || f.ZoneLeft < 1):
		return fmt.Errorf("no room for those who are cut off: %.3g of weight %.3g would stay, %d in zone %s",
			f.WeightLeft, o.Fleet, f.ZoneLeft, w.Machine.Zone)
	}
	return f.checkCapacity(o)
}

// CanGrant says why a machine can't be granted now, nil if it can.
func (s *State) CanGrant(w *Work, f *Facts) error {
	o := s.Order(w.Order)
	switch {
	case o == nil || f == nil:
		return errors.New("no order, or no facts")
	case o.Ended:
		return errors.New("the order is cancelled")
	case o.Paused:
		return errors.New("the order is paused")
	}
	if w.Announced == 0 {
		return errors.New("the proxies have not been told yet that it may go out")
	}
	// Guards against a proxy that was cut off before it was told that the machine may go out: it would go on
	// sending there after its lease has run out.
	if key := s.FirstUnaware(w); key != "" {
		return fmt.Errorf("proxy %s does not know of the order yet", key)
	}
	if err := s.withinLimits(w, f, o); err != nil {
		return err
	}
	if f.HotKey {
		return errors.New("it serves a hot key now")
	}
	if v := s.voterOut(); v != nil && w.Machine.Proxy != "" && f.Voter {
		return fmt.Errorf("the voter %s is out, and voters go one at a time", v.Machine.Proxy)
	}
	if f.ZoneLeft < 1 {
		return fmt.Errorf("it is the last room of zone %s", w.Machine.Zone)
	}
	return nil
}

// withinLimits says which order's limits a grant by an order would break, nil if none: every order that has a
// machine out has its own limits kept, too.
func (s *State) withinLimits(w *Work, f *Facts, granting *Order) error {
	all, zone, kind := s.Missing(w.Machine.Zone, w.Machine.Model)
	for _, o := range s.Orders {
		if o != granting && !s.hasMissing(o) {
			continue
		}
		switch {
		case all >= o.MaxOut:
			return fmt.Errorf("%d out already (order %s: most %d)", all, o.ID, o.MaxOut)
		case o.MaxPerZone > 0 && zone >= o.MaxPerZone:
			return fmt.Errorf("%d of zone %s out already (order %s: most-zone %d)", zone, w.Machine.Zone, o.ID,
				o.MaxPerZone)
		case o.MaxPerModel > 0 && kind >= o.MaxPerModel:
			return fmt.Errorf("%d of model %s out already (order %s: most-kind %d)", kind, w.Machine.Model, o.ID,
				o.MaxPerModel)
		case f.WeightLeft < o.Keep*o.Fleet:
			return fmt.Errorf("no room: %.3g of weight %.3g would stay, order %s keeps %.3g", f.WeightLeft, o.Fleet, o.ID,
				o.Keep*o.Fleet)
		}
		if err := f.checkCapacity(o); err != nil {
			return err
		}
	}
	return nil
}

// hasMissing tells whether an order has a machine out.
func (s *State) hasMissing(o *Order) bool {
	return slices.ContainsFunc(s.Works, func(w *Work) bool { return w.Order == o.ID && w.Step.missing() })
}

// voterOut is the first voter's machine that is out, nil if none is.
func (s *State) voterOut() *Work {
	for _, w := range s.Works {
		if w.Voter && w.Step.missing() {
			return w
		}
	}
	return nil
}

// checkCapacity says why the measured checkCapacity would not do without a machine, nil if it would, or is not known.
func (f *Facts) checkCapacity(o *Order) error {
	if f.Capacity > 0 && f.Capacity < (1+o.Margin)*f.InFlight {
		return fmt.Errorf("no room: the others could hold %.3g requests, %.3g are in work (order %s: margin %.3g)",
			f.Capacity, f.InFlight, o.ID, o.Margin)
	}
	return nil
}
