package maintenance

import (
	"errors"
	"fmt"
	"slices"
)

// CanAnnounce returns why a machine can't be announced now, nil if it can. The limit on announced
// machines leaves capacity to a proxy that is cut off, since it stops sending to all of them.
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

// CanGrant returns why a machine can't be granted now, nil if it can.
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
	// Otherwise a proxy that was cut off before it learned of the announcement would keep sending
	// to the machine after its lease has expired.
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

// withinLimits returns an error that names the first order whose limits a grant would break, nil if
// there is none. The limits of the granting order apply, and those of every order that has a
// machine out.
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
			return fmt.Errorf("no room: %.3g of weight %.3g would stay, order %s keeps %.3g", f.WeightLeft, o.Fleet,
				o.ID, o.Keep*o.Fleet)
		}
		if err := f.checkCapacity(o); err != nil {
			return err
		}
	}
	return nil
}

// hasMissing reports whether an order has a machine out of service.
func (s *State) hasMissing(o *Order) bool {
	return slices.ContainsFunc(s.Works, func(w *Work) bool { return w.Order == o.ID && w.Step.missing() })
}

// voterOut returns the first machine of a voter that is out of service, nil if there is none.
func (s *State) voterOut() *Work {
	for _, w := range s.Works {
		if w.Voter && w.Step.missing() {
			return w
		}
	}
	return nil
}

// checkCapacity returns an error if the measured capacity without the machine is too low for an
// order's margin. An unknown capacity passes.
func (f *Facts) checkCapacity(o *Order) error {
	if f.Capacity > 0 && f.Capacity < (1+o.Margin)*f.InFlight {
		return fmt.Errorf("no room: the others could hold %.3g requests, %.3g are in work (order %s: margin %.3g)",
			f.Capacity, f.InFlight, o.ID, o.Margin)
	}
	return nil
}
