package lilacglade

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestNewNamesInvalidSetting checks that the error of New names the setting at fault.
func TestNewNamesInvalidSetting(t *testing.T) {
	if _, err := New(testSettings(), 1); err != nil {
		t.Fatal(err)
	}
	tests := map[string]func(*Settings){
		"Classes is empty":     func(s *Settings) { s.Classes = nil },
		"Balancers":            func(s *Settings) { s.Balancers = 0 },
		"Me":                   func(s *Settings) { s.Me = 1 },
		"Zone":                 func(s *Settings) { s.Zone = 2 },
		"MaxAttempts":          func(s *Settings) { s.MaxAttempts = 0 },
		"Classes[1].Aim":       func(s *Settings) { s.Classes[1].Aim = 0 },
		"Classes[2].Deadline":  func(s *Settings) { s.Classes[2].Deadline = -1 },
		"Classes[2].Memory":    func(s *Settings) { s.Classes[2].Memory = -time.Second },
		"Classes[0].Effect":    func(s *Settings) { s.Classes[0].Effect = 3 },
		"Classes[0].Group":     func(s *Settings) { s.Classes[0].Group = 3 },
		"Classes[4].Worth":     func(s *Settings) { s.Classes[4].Worth = math.NaN() },
		"Classes[4].LateWorth": func(s *Settings) { s.Classes[4].LateWorth = -1 },
		"Tenants[0].Allowance": func(s *Settings) { s.Tenants = []Tenant{{Allowance: math.Inf(1)}} },
		"ColdShare":            func(s *Settings) { s.ColdShare = 1.5 },
		"WarmWithin":           func(s *Settings) { s.WarmWithin = -1 },
		"TipMultiple":          func(s *Settings) { s.TipMultiple = math.NaN() },
		"AskEvery":             func(s *Settings) { s.AskEvery = -1 },
	}
	for name, invalidate := range tests {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s invalid: got error %v", name, err)
		}
	}
}
