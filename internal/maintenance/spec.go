package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Spec is an order as operators submit it. It selects machines by id, zone or model, or all of
// them. See Order for the limits.
type Spec struct {
	ID          string        `json:"id" yaml:"id" cbor:"1,keyasint"`
	Machines    []string      `json:"machines,omitempty" yaml:"machines" cbor:"2,keyasint,omitempty"`
	Zones       []string      `json:"zones,omitempty" yaml:"zones" cbor:"3,keyasint,omitempty"`
	Models      []string      `json:"models,omitempty" yaml:"models" cbor:"4,keyasint,omitempty"`
	All         bool          `json:"all,omitempty" yaml:"all" cbor:"5,keyasint,omitempty"`
	MaxOut      int           `json:"most" yaml:"most" cbor:"6,keyasint"`
	MaxPerZone  int           `json:"most-zone,omitempty" yaml:"most-zone" cbor:"7,keyasint,omitempty"`
	MaxPerModel int           `json:"most-model,omitempty" yaml:"most-model" cbor:"8,keyasint,omitempty"`
	Keep        float64       `json:"keep" yaml:"keep" cbor:"9,keyasint"`
	OutFor      time.Duration `json:"out-for,omitempty" yaml:"out-for" cbor:"10,keyasint,omitempty"`
	Proxies     []string      `json:"proxies,omitempty" yaml:"proxies" cbor:"12,keyasint,omitempty"`
	AllProxies  bool          `json:"all-proxies,omitempty" yaml:"all-proxies" cbor:"13,keyasint,omitempty"`
	// Done is what marks a machine as back: "restart" (also if empty), or "said" for an operator's
	// call.
	Done   string  `json:"done,omitempty" yaml:"done" cbor:"11,keyasint,omitempty"`
	Margin float64 `json:"margin,omitempty" yaml:"margin" cbor:"14,keyasint,omitempty"` // 0: usualMargin
}

// defaultMargin is the capacity that must stay beyond the requests in flight, as a fraction of
// them: bursts of 50 % are usual.
const defaultMargin = 0.5

// maxMachines is the maximum number of machines in one order.
const maxMachines = 512

// Resolve converts a spec into an order over the machines that the leader knows. Its errors name
// the spec's key.
func (sp Spec) Resolve(v View) (*Order, error) {
	o := &Order{ID: sp.ID, MaxOut: sp.MaxOut, MaxPerZone: sp.MaxPerZone, MaxPerModel: sp.MaxPerModel,
		Keep: sp.Keep, Fleet: v.Fleet(sp.AllProxies || len(sp.Proxies) > 0), OutFor: sp.OutFor,
		ConfirmReturn: sp.Done == "said"}
	if v.Level >= LevelResume {
		o.Margin = cmp.Or(sp.Margin, defaultMargin)
	}
	if sp.Done != "" && sp.Done != "said" && sp.Done != "restart" {
		return nil, fmt.Errorf("done: %q, want restart or said", sp.Done)
	}
	proxies := sp.AllProxies || len(sp.Proxies) > 0
	of := v.count(proxies)
	if of == 0 {
		return nil, fmt.Errorf("machines: the list of machines is not known yet")
	}
	zones, kinds := map[string]bool{}, map[string]bool{}
	var ids []string
	for id, m := range v.Machines {
		if m.Proxy != "" {
			if sp.AllProxies || slices.Contains(sp.Proxies, m.Proxy) {
				ids = append(ids, id)
			}
			continue
		}
		zones[m.Zone], kinds[m.Model] = true, true
		if sp.All || slices.Contains(sp.Zones, m.Zone) || slices.Contains(sp.Models, m.Model) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for i, id := range sp.Machines {
		if _, ok := v.Machines[id]; !ok {
			return nil, fmt.Errorf("machines[%d]: %q is not listed", i, id)
		}
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	for i, p := range sp.Proxies {
		if _, ok := v.Machines[ProxyID(p)]; !ok {
			return nil, fmt.Errorf("proxies[%d]: %q is not among the proxies", i, p)
		}
	}
	for i, z := range sp.Zones {
		if !zones[z] {
			return nil, fmt.Errorf("zones[%d]: %q has no machine", i, z)
		}
	}
	for i, k := range sp.Models {
		if !kinds[k] {
			return nil, fmt.Errorf("models[%d]: %q has no machine", i, k)
		}
	}
	if len(ids) > maxMachines {
		return nil, fmt.Errorf("machines: %d, at most %d in one order", len(ids), maxMachines)
	}
	if sp.MaxOut > of {
		return nil, fmt.Errorf("most: %d of %d machines", sp.MaxOut, of)
	}
	for _, id := range ids {
		o.Machines = append(o.Machines, v.Machines[id].Machine)
	}
	return o, o.check()
}
