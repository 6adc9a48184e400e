// Package settings decodes the configuration file of a proxy, and the settings object in it, which the
// simulator's protocol uses too.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"time"

	lg "lilacglade"
)

// Settings are the settings of a Balancer and those of the proxy around it that the same object holds.
type Settings struct {
	lg.Settings
	ZoneNames []string
	KindNames []string      // names of the server models
	KeepAlive time.Duration // idle time after which the other side closes a connection
}

// settingsObject is the settings object in JSON. Keys that it lacks are ignored. Durations are in
// milliseconds.
type settingsObject struct {
	Zones     []string `json:"azs"`
	Kinds     []string `json:"models"`
	Balancers int      `json:"balancers"`
	Me        int      `json:"me"`
	Zone      int      `json:"zone"`
	Stage     int      `json:"stage"`
	Tiers     []string `json:"tiers"`
	Bounds    struct {
		Cancel         bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connect-timeout"`
		KeepAlive      float64 `json:"keepalive"`
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
		CrossZone  float64 `json:"cross-zone"`
		Connection float64 `json:"connection"`
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
	effectNames = map[string]lg.Effect{"safe": lg.Safe, "keyed": lg.Keyed, "unsafe": lg.Unsafe}
	groupNames  = map[string]lg.Group{"": lg.GroupAll, "all": lg.GroupAll, "zone": lg.GroupZone,
		"cell": lg.GroupCell}
	loadFieldNames = map[string]lg.LoadField{"rif": lg.LoadInFlight, "q": lg.LoadQueue, "busy": lg.LoadUtil,
		"lat_ms": lg.LoadLatency, "rate": lg.LoadRate, "fail_rate": lg.LoadErrors}
)

// LoadFields maps the names under which servers report load values: the names in the protocol
// documentation and those that the settings use.
var LoadFields = map[string]lg.LoadField{"inflight": lg.LoadInFlight, "queue": lg.LoadQueue,
	"util": lg.LoadUtil, "latency_ms": lg.LoadLatency, "qps": lg.LoadRate, "eps": lg.LoadErrors}

func init() { maps.Copy(LoadFields, loadFieldNames) }

// maxMillis is about thirty years in milliseconds; no clock reading, delay or setting comes near it.
const maxMillis = 1e12

// Millis converts milliseconds to a duration. NaN and values beyond maxMillis become 0.
func Millis(ms float64) time.Duration {
	if !(math.Abs(ms) < maxMillis) {
		ms = 0
	}
	return time.Duration(math.Round(ms * 1e6))
}

// Decode parses the settings object.
func Decode(raw []byte) (Settings, error) {
	var object settingsObject
	if err := json.Unmarshal(raw, &object); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if object.Stage < 0 || object.Stage >= max(1, len(object.Tiers)) {
		return Settings{}, fmt.Errorf("settings: stage %d, out of range for %d tiers",
			object.Stage, len(object.Tiers))
	}
	settings := Settings{ZoneNames: object.Zones, KindNames: object.Kinds,
		KeepAlive: Millis(object.Bounds.KeepAlive)}
	settings.Settings = lg.Settings{
		Me: object.Me, Balancers: object.Balancers, Zone: object.Zone, Zones: len(object.Zones),
		WorthByWork:    object.CountedBy == "work",
		OverShareWorth: object.OverShareWorth,
		CrossZonePrice: object.Prices.CrossZone,
		HeldPrice:      object.Prices.Connection,
		AskForList:     object.MembershipMode == "on_request",
		AskEvery:       Millis(object.Rules.AskEvery),
		MaxAttempts:    object.Bounds.MostTries,
		SecondCopies:   object.Bounds.SecondCopies,
		Cancel:         object.Bounds.Cancel,
		ConnectTimeout: Millis(object.Bounds.ConnectTimeout),
		ColdShare:      object.Rules.ColdFrom,
		WarmWithin:     Millis(object.Rules.WarmWithin),
		TipMultiple:    object.Rules.TipMultiple,
		TipWindow:      Millis(object.Rules.OverloadFor),
		DrainGrace:     Millis(object.Rules.StopSendingWithin),
		AnswerSlack:    Millis(object.Rules.AnswerSlack),
	}
	if object.Bounds.RetryAfter {
		settings.MaxRetryAfter = Millis(object.Bounds.MaxRetryAfter)
	}
	for _, name := range object.Reporting.Names {
		settings.Report = append(settings.Report, loadFieldNames[name]) // an unknown name yields LoadOther
	}
	for i, class := range object.Classes {
		effect, ok := effectNames[class.Semantics]
		if !ok {
			return settings, fmt.Errorf("settings: classes[%d].semantics: unknown kind %q", i, class.Semantics)
		}
		group, ok := groupNames[class.Group]
		if !ok {
			return settings, fmt.Errorf("settings: classes[%d].group: unknown group %q", i, class.Group)
		}
		settings.Classes = append(settings.Classes, lg.Class{Name: class.Name, Aim: Millis(class.Aim),
			Deadline: Millis(class.Deadline), Worth: class.Worth, LateWorth: class.LateWorth, Effect: effect,
			Group: group, Memory: Millis(class.MemorySpan), Stream: class.Stream})
	}
	for _, tenant := range object.Tenants {
		settings.Tenants = append(settings.Tenants, lg.Tenant{Name: tenant.Name, Allowance: tenant.Allowance})
	}
	return settings, nil
}
