package faulttest

import (
	"fmt"
	"time"
)

// Scenario is a run: what there is, and steps that each wait for something that is observed.
type Scenario struct {
	Name     string `yaml:"name"`
	Proxies  int    `yaml:"proxies"`
	Founders int    `yaml:"founders"` // 0: 3
	Machines int    `yaml:"machines"`
	Spare    int    `yaml:"spare"` // of them, the last ones are off and not listed at first
	// Old proxies run, in test builds, as a program of the version before, until they are upgraded; Clocks says
	// how fast proxies' clocks run there
	Old    []string           `yaml:"old"`
	Clocks map[string]float64 `yaml:"clocks"`
	// Takes is what a machine works on each request besides two milliseconds; serial ones work on one at a time
	Takes  time.Duration `yaml:"takes"`
	Serial bool          `yaml:"serial"`
	// Alone proxies talk to no other, as in run. Told is how many proxies their settings tell of; 0: as many as
	// there are. Of the list service: how long a list takes, and how many calls may wait for theirs
	Alone   bool          `yaml:"alone"`
	Told    int           `yaml:"told"`
	List    time.Duration `yaml:"list"`
	Waits   int           `yaml:"waits"`
	Conns   int           `yaml:"connections"` // that a machine takes; 0: any number
	Most    Bounds        `yaml:"most"`        // what may not be exceeded over the run
	Every   time.Duration `yaml:"every"`       // between two requests at each proxy
	Work    time.Duration `yaml:"work"`        // staff work on a machine for so long
	Patient time.Duration `yaml:"patient"`     // a step that waits longer is a fault; 0: 60s
	Busy    int           `yaml:"busy"`        // only the first so many proxies have clients; 0: all
	Steps   []Step        `yaml:"steps"`
}

// Step waits until all of When holds, then does all of Do. docs/rig.md lists the words.
type Step struct {
	When []string `yaml:"when"`
	Do   []string `yaml:"do"`
}

// Bounds are what a start may cost all proxies together; 0: no bound.
type Bounds struct {
	Lists   int `yaml:"lists"`   // calls for the list
	Peak    int `yaml:"peak"`    // of them in one second
	Opened  int `yaml:"opened"`  // connections to machines
	Held    int `yaml:"held"`    // connections to one machine at once
	Refused int `yaml:"refused"` // connections that machines turned away
}

// exceeded says what of a cost is beyond the bounds, nil if nothing is.
func (b Bounds) exceeded(cost Bounds) error {
	for _, x := range []struct {
		name      string
		most, got int
	}{{"lists", b.Lists, cost.Lists}, {"peak", b.Peak, cost.Peak}, {"opened", b.Opened, cost.Opened},
		{"held", b.Held, cost.Held}, {"refused", b.Refused, cost.Refused}} {
		if x.most > 0 && x.got > x.most {
			return fmt.Errorf("%s: %d, at most %d", x.name, x.got, x.most)
		}
	}
	return nil
}
