package lilacglade

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// check returns an error that names the first invalid setting.
func (s *Settings) check() error {
	if s.Balancers < 1 {
		return fmt.Errorf("Balancers is %d, want at least 1", s.Balancers)
	}
	if s.Me < 0 || s.Me >= s.Balancers {
		return fmt.Errorf("Me is %d, out of range for %d balancers", s.Me, s.Balancers)
	}
	if s.Zone < 0 || s.Zone >= max(1, s.Zones) {
		return fmt.Errorf("Zone is %d, out of range for %d zones", s.Zone, s.Zones)
	}
	if s.MaxAttempts < 1 {
		return fmt.Errorf("MaxAttempts is %d, want at least 1", s.MaxAttempts)
	}
	if len(s.Classes) == 0 {
		return errors.New("Classes is empty")
	}
	for i, c := range s.Classes {
		where := fmt.Sprintf("Classes[%d]", i)
		switch {
		case c.Effect > Unsafe:
			return fmt.Errorf("%s.Effect: unknown kind %d", where, c.Effect)
		case c.Group > GroupCell:
			return fmt.Errorf("%s.Group: unknown group %d", where, c.Group)
		case c.Aim <= 0:
			return fmt.Errorf("%s.Aim is %v, want more than 0", where, c.Aim)
		}
		if err := checkNumbers(where, map[string]float64{"Worth": c.Worth, "LateWorth": c.LateWorth}); err != nil {
			return err
		}
		if err := checkDurations(where, map[string]time.Duration{"Deadline": c.Deadline,
			"Memory": c.Memory}); err != nil {
			return err
		}
	}
	for i, t := range s.Tenants {
		err := checkNumbers(fmt.Sprintf("Tenants[%d]", i), map[string]float64{"Allowance": t.Allowance})
		if err != nil {
			return err
		}
	}
	if s.ColdShare > 1 {
		return fmt.Errorf("Settings.ColdShare is %v, want at most 1", s.ColdShare)
	}
	if err := checkNumbers("Settings", map[string]float64{"OverShareWorth": s.OverShareWorth,
		"CrossZonePrice": s.CrossZonePrice, "HeldPrice": s.HeldPrice, "ColdShare": s.ColdShare,
		"TipMultiple": s.TipMultiple}); err != nil {
		return err
	}
	return checkDurations("Settings", map[string]time.Duration{"AskEvery": s.AskEvery,
		"MaxRetryAfter": s.MaxRetryAfter, "ConnectTimeout": s.ConnectTimeout, "WarmWithin": s.WarmWithin,
		"TipWindow": s.TipWindow, "DrainGrace": s.DrainGrace, "AnswerSlack": s.AnswerSlack})
}

// checkNumbers returns an error for a value that is negative, infinite or not a number. If several
// are, it names any of them.
func checkNumbers(where string, values map[string]float64) error {
	for name, v := range values {
		if !(v >= 0) || math.IsInf(v, 0) {
			return fmt.Errorf("%s.%s is %v, want a number from 0 on", where, name, v)
		}
	}
	return nil
}

// checkDurations returns an error for a negative duration.
func checkDurations(where string, durations map[string]time.Duration) error {
	for name, d := range durations {
		if d < 0 {
			return fmt.Errorf("%s.%s is %v, want a time from 0 on", where, name, d)
		}
	}
	return nil
}
