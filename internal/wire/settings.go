package wire

import (
	"encoding/json"
	"fmt"

	hf "harrierfront"
)

// bootInfo holds the keys of the start-up settings that are read; others are skipped.
type bootInfo struct {
	Zones     []string `json:"azs"`
	Balancers int      `json:"balancers"`
	Me        int      `json:"me"`
	Zone      int      `json:"zone"`
	Stage     int      `json:"stage"`
	Tiers     []string `json:"tiers"`
	Bounds    struct {
		Cancel         bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connect-timeout"`
		MaxRetryAfter  float64 `json:"max-retry-after"`
		MostTries      int     `json:"most-tries"`
		RetryAfter     bool    `json:"retry-after"`
		SecondCopies   bool    `json:"second-copies"`
	} `json:"bounds"`
	Classes []struct {
		Name       string  `json:"name"`
		Aim        float64 `json:"aim"`
		Deadline   float64 `json:"deadline"`
		Group      string  `json:"group"`
		LateWorth  float64 `json:"late-worth"`
		MemorySpan float64 `json:"memory-span"`
		Semantics  string  `json:"semantics"`
		Stream     bool    `json:"stream"`
		Worth      float64 `json:"worth"`
	} `json:"classes"`
	CountedBy      string  `json:"counted-by"`
	MembershipMode string  `json:"membership-mode"`
	OverShareWorth float64 `json:"over-share-worth"`
	Prices         struct {
		CrossZone float64 `json:"cross-zone"`
	} `json:"prices"`
	Reporting struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"reporting"`
	Rules struct {
		AnswerSlack       float64 `json:"answer-slack"`
		AskEvery          float64 `json:"ask-every"`
		ColdFrom          float64 `json:"cold-from"`
		OverloadFor       float64 `json:"overload-for"`
		StopSendingWithin float64 `json:"stop-sending-within"`
		TipMultiple       float64 `json:"tip-multiple"`
		WarmWithin        float64 `json:"warm-within"`
	} `json:"rules"`
	Tenants []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance-per-s"`
	} `json:"tenants"`
}

var (
	effects = map[string]hf.Effect{"safe": hf.Safe, "keyed": hf.Keyed, "unsafe": hf.Unsafe}
	groups  = map[string]hf.Group{"": hf.GroupAll, "all": hf.GroupAll, "zone": hf.GroupZone,
		"cell": hf.GroupCell}
	fields = map[string]hf.LoadField{"rif": hf.LoadInFlight, "q": hf.LoadQueue, "busy": hf.LoadUtil,
		"lat_ms": hf.LoadLatency, "rate": hf.LoadRate, "fail_rate": hf.LoadErrors}
)

// settings decodes an instance's start-up settings.
func settings(raw []byte) (hf.Settings, error) {
	var in bootInfo
	if err := json.Unmarshal(raw, &in); err != nil {
		return hf.Settings{}, fmt.Errorf("boot-info: %w", err)
	}
	if in.Stage < 0 || in.Stage >= max(1, len(in.Tiers)) {
		return hf.Settings{}, fmt.Errorf("boot-info: stage %d, out of range for %d tiers", in.Stage, len(in.Tiers))
	}
	set := hf.Settings{
		Me: in.Me, Balancers: in.Balancers, Zone: in.Zone, Zones: len(in.Zones),
		WorthByWork:    in.CountedBy == "work",
		OverShareWorth: in.OverShareWorth,
		CrossZonePrice: in.Prices.CrossZone,
		AskForList:     in.MembershipMode == "on_request",
		AskEvery:       fromMillis(in.Rules.AskEvery),
		MaxAttempts:    in.Bounds.MostTries,
		SecondCopies:   in.Bounds.SecondCopies,
		Cancel:         in.Bounds.Cancel,
		ConnectTimeout: fromMillis(in.Bounds.ConnectTimeout),
		ColdShare:      in.Rules.ColdFrom,
		WarmWithin:     fromMillis(in.Rules.WarmWithin),
		TipMultiple:    in.Rules.TipMultiple,
		TipWindow:      fromMillis(in.Rules.OverloadFor),
		DrainGrace:     fromMillis(in.Rules.StopSendingWithin),
		AnswerSlack:    fromMillis(in.Rules.AnswerSlack),
	}
	if in.Bounds.RetryAfter {
		set.MaxRetryAfter = fromMillis(in.Bounds.MaxRetryAfter)
	}
	for _, n := range in.Reporting.Names {
		set.Report = append(set.Report, fields[n]) // a name not known is LoadOther
	}
	for i, c := range in.Classes {
		effect, ok := effects[c.Semantics]
		if !ok {
			return set, fmt.Errorf("boot-info: classes[%d].semantics: unknown kind %q", i, c.Semantics)
		}
		group, ok := groups[c.Group]
		if !ok {
			return set, fmt.Errorf("boot-info: classes[%d].group: unknown group %q", i, c.Group)
		}
		set.Classes = append(set.Classes, hf.Class{Name: c.Name, Aim: fromMillis(c.Aim),
			Deadline: fromMillis(c.Deadline), Worth: c.Worth, LateWorth: c.LateWorth, Effect: effect,
			Group: group, Memory: fromMillis(c.MemorySpan), Stream: c.Stream})
	}
	for _, t := range in.Tenants {
		set.Tenants = append(set.Tenants, hf.Tenant{Name: t.Name, Allowance: t.Allowance})
	}
	return set, nil
}
