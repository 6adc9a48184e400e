package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Way is how machines are taken out while it is measured what that costs.
type Way string

// The ways.
const (
	Idle    Way = "idle"     // none is: to compare
	ByHand  Way = "by hand"  // by discovery, with a wait that staff think long enough
	ByOrder Way = "by order" // the proxies settle it
)

// OrderCost is what taking machines out cost.
type OrderCost struct {
	Way    Way
	Fault  string
	Load   float64 // of what the machines can do
	Report Report
	Each   time.Duration // for one machine
}

// Figures of the measurement.
const (
	costMachines = 40
	costTaken    = 12
	costProxies  = 3
	costTakes    = 18 * time.Millisecond // and two of the machine's own
	costMean     = 28 * time.Millisecond // since one request in seven takes 58 more
	costWork     = 500 * time.Millisecond
	costSettle   = 3000 // requests before it begins
	handWait     = 3 * time.Second
)

// MeasureOrder takes 12 of 40 machines out, in one of the ways, at a part of what the machines can do, with
// one fault ("" for none: killed, paused, cut) at the leader while it goes on.
func MeasureOrder(ctx context.Context, binary, dir string, way Way, load float64, fault string) (OrderCost,
	error) {
	perSecond := load * costMachines / costMean.Seconds()
	sc := Scenario{Name: string(way), Proxies: costProxies, Machines: costMachines, Serial: true,
		Takes: costTakes, Every: time.Duration(costProxies / perSecond * 1e9), Work: costWork,
		Patient: 4 * time.Minute}
	var ids []string
	for i := range costTaken {
		ids = append(ids, fmt.Sprint("m", 3*i))
	}
	list := strings.Join(ids, ",")
	begin := Step{When: []string{"ready all", "voters are 3", "level is 2",
		fmt.Sprint("served all ", costSettle), "leader"}}
	end := Step{}
	switch way {
	case ByOrder:
		begin.Do = []string{"submit o at n0 most 1 keep 0.5 machines " + list}
		end.When = []string{"through o"}
	case ByHand:
		begin.Do = []string{fmt.Sprint("hand ", list, " wait ", handWait)}
		end.When = []string{"by-hand"}
	default:
		end.When = []string{fmt.Sprint("more all ", int(20*perSecond))}
	}
	sc.Steps = []Step{begin}
	if fault != "" {
		hurt := map[string][2]string{"killed": {"kill leader", "start leader"}, "cut": {"cut leader", "heal"},
			"paused": {"pause leader", "continue leader"}}[fault]
		sc.Steps = append(sc.Steps, Step{When: []string{fmt.Sprint("more all ", int(5*perSecond))},
			Do: []string{hurt[0]}}, Step{When: []string{fmt.Sprint("more other1 ", int(6*perSecond/costProxies))},
			Do: []string{hurt[1]}})
	}
	sc.Steps = append(sc.Steps, end)
	return measure(ctx, sc, binary, dir, costTaken, OrderCost{Way: way, Fault: fault, Load: load})
}

// MeasureRenewal takes twenty proxies out in turn, by an order of their own.
func MeasureRenewal(ctx context.Context, binary, dir string) (OrderCost, error) {
	const n = 20
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("n", i))
	}
	sc := Scenario{Name: "proxies in turn", Proxies: n, Machines: 8, Every: 50 * time.Millisecond,
		Patient: 6 * time.Minute, Steps: []Step{{When: []string{"ready all", "voters are 3", "level is 2",
			"served all 400"}, Do: []string{"submit o at n0 most 2 keep 0.5 proxies " + strings.Join(ids, ",")}},
			{When: []string{"through o"}}}}
	return measure(ctx, sc, binary, dir, n, OrderCost{Way: "20 proxies in turn"})
}

func measure(ctx context.Context, sc Scenario, binary, dir string, machines int, c OrderCost) (OrderCost,
	error) {
	dir = filepath.Join(dir, fmt.Sprint(time.Now().UnixNano()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return c, err
	}
	var err error
	c.Report, err = Run(ctx, sc, binary, dir, nil)
	c.Each = (c.Report.Ran - c.Report.Began) / time.Duration(machines)
	return c, err
}
