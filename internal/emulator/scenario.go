package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	lg "lilacglade"
)

// Scenario is all that a run is made of; with the seed it determines a virtual run to the byte. The
// YAML keys are documented in docs/lab.md. Lakeshore gives the figures of the deployment that this
// project serves, which a scenario file changes.
type Scenario struct {
	Name      string        `yaml:"name"`
	About     string        `yaml:"about"`
	Duration  time.Duration `yaml:"duration"`
	Seed      uint64        `yaml:"seed"`
	Zones     []string      `yaml:"zones"`
	Proxies   Proxies       `yaml:"proxies"`
	Network   Network       `yaml:"network"`
	Servers   Servers       `yaml:"servers"`
	Discovery Discovery     `yaml:"discovery"`
	Classes   []Class       `yaml:"classes"`
	Tenants   []Tenant      `yaml:"tenants"`
	Clients   Clients       `yaml:"clients"`
	Rules     Rules         `yaml:"rules"`
	Prices    Prices        `yaml:"prices"`
	Goal      Goal          `yaml:"goal"`
	Troubles  []Trouble     `yaml:"troubles"`
}

// Proxies says how many there are and what their machines allow. They are spread over the zones.
type Proxies struct {
	Count      int           `yaml:"count"`
	Sockets    int           `yaml:"sockets"`     // descriptors
	MemoryMB   int           `yaml:"memory-mb"`   // sockets mode
	Cores      float64       `yaml:"cores"`       // sockets mode
	Step       time.Duration `yaml:"step"`        // virtual mode: processor time that one event takes
	MaxTries   int           `yaml:"max-tries"`   // attempts for a request
	Connect    time.Duration `yaml:"connect"`     // a connection not up by then has failed
	RetryAfter time.Duration `yaml:"retry-after"` // longest advice to clients; 0: none is given
	AskEvery   time.Duration `yaml:"ask-every"`   // for discovery
}

// Network gives one-way delays: within a zone, and between two zones a fixed one out of a range.
type Network struct {
	Within  Span `yaml:"within"`
	Between Span `yaml:"between"`
}

// Servers are the fleet.
type Servers struct {
	Count       int           `yaml:"count"`
	Models      []Model       `yaml:"models"`
	Slots       float64       `yaml:"slots"`        // requests in work at once, for each core
	Room        int           `yaml:"room"`         // requests that may wait; more are turned away
	Connections int           `yaml:"connections"`  // open ones accepted
	Handshake   Span          `yaml:"handshake"`    // work that a new connection costs
	KeepAlive   time.Duration `yaml:"keep-alive"`   // idle connections are closed after it
	DropsWait   bool          `yaml:"drops-wait"`   // waiting work is dropped when its connection closes
	ReportEvery Span          `yaml:"report-every"` // load reports are renewed so often
	ReportNoise float64       `yaml:"report-noise"` // relative, uniform
	Cold        Cold          `yaml:"cold"`
	Crowd       Crowd         `yaml:"crowd"`
	Cache       Cache         `yaml:"cache"`
	Weights     string        `yaml:"weights"` // what the list says of size: rough, exact or none
	Cells       int           `yaml:"cells"`   // per zone
}

// Model is a kind of machine.
type Model struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
	Cores float64 `yaml:"cores"`
	Speed Range   `yaml:"speed"` // of a core, 1 being the yardstick
}

// Cold is how a fresh server warms up, evenly from From to all of its capacity, and when it falls
// over: sent more than Multiple of what it can do over Window.
type Cold struct {
	From     float64       `yaml:"from"`
	Within   time.Duration `yaml:"within"`
	Multiple float64       `yaml:"multiple"`
	Window   time.Duration `yaml:"window"`
	Slack    float64       `yaml:"slack"` // requests' worth of work granted for chance
}

// Crowd slows a server that has had more than Waiting requests per core waiting for After; it is
// itself again when it has held less than one request per core for Idle, or after Most.
type Crowd struct {
	Waiting float64       `yaml:"waiting"` // per core; 0: off
	After   time.Duration `yaml:"after"`
	Slower  float64       `yaml:"slower"` // times
	Idle    time.Duration `yaml:"idle"`
	Most    time.Duration `yaml:"most"`
}

// Cache makes keys that a server met within For cheaper by the part Saves; it remembers Keys of them.
type Cache struct {
	Keys  int           `yaml:"keys"`
	For   time.Duration `yaml:"for"`
	Saves float64       `yaml:"saves"`
}

// Discovery is one service for all proxies, which works through calls in turn.
type Discovery struct {
	Late     Span          `yaml:"late"`      // from a change to when the list has it
	Work     time.Duration `yaml:"work"`      // for one call
	PerEntry time.Duration `yaml:"per-entry"` // and for each line sent
	Patience time.Duration `yaml:"patience"`  // a call that would wait longer fails
	Changes  int           `yaml:"changes"`   // remembered; who missed more gets the whole list
	Detect   Span          `yaml:"detect"`    // a process that died is noticed after
}

// Class is a class of requests.
type Class struct {
	Name      string        `yaml:"name"`
	Share     float64       `yaml:"share"`
	Work      time.Duration `yaml:"work"`   // mean, on a core of speed 1
	Spread    float64       `yaml:"spread"` // standard deviation of the logarithm of the work
	Aim       time.Duration `yaml:"aim"`
	Deadline  time.Duration `yaml:"deadline"`
	Worth     float64       `yaml:"worth"`
	LateWorth float64       `yaml:"late-worth"`
	Effect    string        `yaml:"effect"` // safe, keyed or unsafe
	Group     string        `yaml:"group"`  // for keyed: all, zone or cell
	Memory    time.Duration `yaml:"memory"`
}

// Tenant is a township.
type Tenant struct {
	Name      string  `yaml:"name"`
	Share     float64 `yaml:"share"`     // of the requests
	Allowance float64 `yaml:"allowance"` // requests a second that count in full; 0: 1.15 times its part
}

// Clients send requests at their own pace, whatever becomes of them.
type Clients struct {
	Rate    float64       `yaml:"rate"`  // requests a second, first tries
	Curve   []Point       `yaml:"curve"` // multiples of the rate over time, joined by lines
	Burst   Burst         `yaml:"burst"`
	Keys    int           `yaml:"keys"`    // distinct ones; 0: none
	Skew    float64       `yaml:"skew"`    // Zipf exponent of their popularity
	GiveUp  Range         `yaml:"give-up"` // of the class's deadline, for one try
	Retries Retries       `yaml:"retries"`
	Notice  time.Duration `yaml:"notice"` // after which the front notices that a proxy died
}

// Point is a place on a curve.
type Point struct {
	At    time.Duration `yaml:"at"`
	Times float64       `yaml:"times"`
}

// Burst multiplies the rate by Times for For, once in Every.
type Burst struct {
	Every time.Duration `yaml:"every"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// Retries are what a client does after a refusal, or after a failure where that is harmless.
type Retries struct {
	Most  int    `yaml:"most"`
	How   string `yaml:"how"` // none, at-once, after (Wait) or advised (Retry-After, else Wait)
	Wait  Span   `yaml:"wait"`
	Marks bool   `yaml:"marks"`
}

// Rules are the judge's figures.
type Rules struct {
	DrainWithin time.Duration `yaml:"drain-within"`
	Slack       time.Duration `yaml:"slack"`  // past the client's deadline
	Margin      time.Duration `yaml:"margin"` // sockets mode: added to both, and allowed between two attempts
}

// Prices are points of service deducted, as parts of one.
type Prices struct {
	Waste      float64 `yaml:"waste"`
	LateFail   float64 `yaml:"late-fail"`
	Handshake  float64 `yaml:"handshake"`
	Connection float64 `yaml:"connection"`
	CrossZone  float64 `yaml:"cross-zone"`
	HeldBack   float64 `yaml:"held-back"`
	OverShare  float64 `yaml:"over-share"` // worth of what goes beyond an allowance
}

// Goal weighs the parts of the result.
type Goal struct {
	Whole       float64       `yaml:"whole"`
	WorstWindow float64       `yaml:"worst-window"`
	WorstClass  float64       `yaml:"worst-class"`
	WorstTenant float64       `yaml:"worst-tenant"`
	Window      time.Duration `yaml:"window"`
}

// Range is two numbers, written as one or as [from, to].
type Range struct{ From, To float64 }

// UnmarshalYAML reads a number or a list of two.
func (r *Range) UnmarshalYAML(decode func(any) error) error {
	var one float64
	if decode(&one) == nil {
		*r = Range{one, one}
		return nil
	}
	var two []float64
	if err := decode(&two); err != nil {
		return err // which knows its place
	}
	if *r = (Range{1, 0}); len(two) == 2 { // Check reports what goes backwards
		*r = Range{two[0], two[1]}
	}
	return nil
}

// MarshalYAML writes it as it is read.
func (r Range) MarshalYAML() (any, error) { return []float64{r.From, r.To}, nil }

// at gives the value at a place from 0 to 1.
func (r Range) at(u float64) float64 { return r.From + u*(r.To-r.From) }

// Span is two times, written as one or as [from, to].
type Span struct{ From, To time.Duration }

// UnmarshalYAML reads a time or a list of two.
func (s *Span) UnmarshalYAML(decode func(any) error) error {
	var one time.Duration
	if decode(&one) == nil {
		*s = Span{one, one}
		return nil
	}
	var two []time.Duration
	if err := decode(&two); err != nil {
		return err // which knows its place
	}
	if *s = (Span{1, 0}); len(two) == 2 { // Check reports what goes backwards
		*s = Span{two[0], two[1]}
	}
	return nil
}

// MarshalYAML writes it as it is read.
func (s Span) MarshalYAML() (any, error) { return []string{s.From.String(), s.To.String()}, nil }

func (s Span) at(u float64) time.Duration { return s.From + time.Duration(u*float64(s.To-s.From)) }

// Lakeshore is the deployment of Lakeshore Municipal Utilities on a calm day.
func Lakeshore() Scenario {
	const ms, s = time.Millisecond, time.Second
	return Scenario{
		Name: "calm", Duration: 60 * s, Seed: 1,
		Zones: []string{"harbor-st", "bluff-rd", "mill-ave", "pier-st"},
		Proxies: Proxies{Count: 4, Sockets: 1024, MemoryMB: 192, Cores: 1, MaxTries: 5, Connect: 200 * ms,
			RetryAfter: s, AskEvery: 10 * s},
		Network: Network{Within: Span{150 * time.Microsecond, 250 * time.Microsecond},
			Between: Span{700 * time.Microsecond, 1300 * time.Microsecond}},
		Servers: Servers{Count: 13, Models: []Model{
			{Name: "std-2", Share: 0.64, Cores: 2, Speed: Range{0.85, 1.1}},
			{Name: "slow-2", Share: 0.36, Cores: 2, Speed: Range{0.64, 0.86}}},
			Slots: 1, Room: 24, Connections: 100, Handshake: Span{7600 * time.Microsecond, 12 * ms},
			KeepAlive: 60 * s, DropsWait: true, ReportEvery: Span{60 * ms, 310 * ms}, ReportNoise: 0.1,
			Cold:    Cold{From: 0.3, Within: 8800 * ms, Multiple: 2.5, Window: s, Slack: 6},
			Crowd:   Crowd{Waiting: 6, After: 2 * s, Slower: 2.8, Idle: 3 * s, Most: 25 * s},
			Cache:   Cache{Keys: 300, For: 7 * s, Saves: 0.45},
			Weights: "rough", Cells: 1},
		Discovery: Discovery{Late: Span{s, 3 * s}, Work: 2 * ms, PerEntry: 20 * time.Microsecond,
			Patience: 2 * s, Changes: 400, Detect: Span{s, 3 * s}},
		Classes: []Class{
			{Name: "album-edit", Share: 0.69, Work: 38 * ms, Spread: 0.5, Aim: 400 * ms, Deadline: 800 * ms,
				Worth: 5, LateWorth: 0.2, Effect: "unsafe"},
			{Name: "photo-upload", Share: 0.31, Work: 78 * ms, Spread: 0.5, Aim: 400 * ms, Deadline: 2 * s,
				Worth: 15, LateWorth: 0.2, Effect: "keyed", Group: "zone", Memory: 1200 * ms}},
		Tenants: []Tenant{{Name: "port-alder", Share: 0.75}, {Name: "cedar-bay", Share: 0.25}},
		Clients: Clients{Rate: 370, Keys: 1200, Skew: 0.9, GiveUp: Range{0.5, 1}, Notice: 2 * s,
			Retries: Retries{Most: 2, How: "after", Wait: Span{100 * ms, 300 * ms}, Marks: true}},
		Rules: Rules{DrainWithin: 250 * ms, Slack: 20 * ms, Margin: 50 * ms},
		Prices: Prices{Waste: 0.29, LateFail: 0.08, Handshake: 0.03, Connection: 0.03, CrossZone: 0.025,
			HeldBack: 0.3, OverShare: 0.1},
		Goal: Goal{Whole: 0.35, WorstWindow: 0.35, WorstClass: 0.2, WorstTenant: 0.1, Window: 10 * s},
	}
}

var effects = map[string]lg.Effect{"safe": lg.Safe, "keyed": lg.Keyed, "unsafe": lg.Unsafe}

var groups = map[string]lg.Group{"": lg.GroupAll, "all": lg.GroupAll, "zone": lg.GroupZone,
	"cell": lg.GroupCell}

// Bounds on a scenario: what lies beyond is a slip of the pen and would eat the machine.
const (
	mostServers = 20_000
	mostProxies = 1_000
	mostRate    = 1e6
	mostTime    = 24 * time.Hour
)

// Check reports the first thing in a scenario that can't be meant, by its YAML path.
func (s *Scenario) Check() error {
	sum := func(n int, share func(int) float64) (all float64) {
		for i := range n {
			if share(i) < 0 {
				return math.Inf(-1)
			}
			all += share(i)
		}
		return all
	}
	for _, c := range []struct {
		bad  bool
		path string
		why  string
	}{
		{s.Duration <= 0 || s.Duration > mostTime, "duration", "want more than 0 and at most 24h"},
		{len(s.Zones) == 0 || len(s.Zones) > 200, "zones", "want 1 to 200"},
		{s.Proxies.Count < 1 || s.Proxies.Count > mostProxies, "proxies.count", "want 1 to 1000"},
		{s.Proxies.Sockets < 64, "proxies.sockets", "want 64 at least"},
		{s.Proxies.MaxTries < 1, "proxies.max-tries", "want 1 at least"},
		{s.Proxies.Connect <= 0, "proxies.connect", "want more than 0"},
		{s.Proxies.Step < 0, "proxies.step", "want 0 or more"},
		{s.Servers.Count < 1 || s.Servers.Count > mostServers, "servers.count", "want 1 to 20000"},
		{sum(len(s.Servers.Models), func(i int) float64 { return s.Servers.Models[i].Share }) <= 0,
			"servers.models", "want shares that add up to more than 0"},
		{s.Servers.Slots <= 0, "servers.slots", "want more than 0"},
		{s.Servers.Room < 0, "servers.room", "want 0 or more"},
		{s.Servers.Connections < 1, "servers.connections", "want 1 at least"},
		{s.Servers.KeepAlive <= 0, "servers.keep-alive", "want more than 0"},
		{s.Servers.Cold.From <= 0 || s.Servers.Cold.From > 1, "servers.cold.from", "want more than 0, at most 1"},
		{!slices.Contains([]string{"rough", "exact", "none"}, s.Servers.Weights), "servers.weights",
			"want rough, exact or none"},
		{s.Servers.Cells < 1, "servers.cells", "want 1 at least"},
		{s.Servers.Cache.Saves < 0 || s.Servers.Cache.Saves >= 1, "servers.cache.saves", "want 0 to less than 1"},
		{sum(len(s.Classes), func(i int) float64 { return s.Classes[i].Share }) <= 0, "classes",
			"want shares that add up to more than 0"},
		{sum(len(s.Tenants), func(i int) float64 { return s.Tenants[i].Share }) <= 0, "tenants",
			"want shares that add up to more than 0"},
		{!(s.Clients.Rate > 0) || s.Clients.Rate > mostRate, "clients.rate", "want more than 0, at most a million"},
		{s.Clients.Keys < 0, "clients.keys", "want 0 or more"},
		{!(s.Clients.GiveUp.From > 0) || s.Clients.GiveUp.To > 1 ||
			s.Clients.GiveUp.To < s.Clients.GiveUp.From, "clients.give-up", "want parts of the deadline"},
		{!slices.Contains([]string{"none", "at-once", "after", "advised"}, s.Clients.Retries.How),
			"clients.retries.how", "want none, at-once, after or advised"},
		{s.Goal.Window < time.Second, "goal.window", "want 1s at least"},
	} {
		if c.bad {
			return fmt.Errorf("%s: %s", c.path, c.why)
		}
	}
	for _, p := range []struct {
		path string
		span Span
	}{{"network.within", s.Network.Within}, {"network.between", s.Network.Between},
		{"servers.handshake", s.Servers.Handshake}, {"servers.report-every", s.Servers.ReportEvery},
		{"discovery.late", s.Discovery.Late}, {"discovery.detect", s.Discovery.Detect},
		{"clients.retries.wait", s.Clients.Retries.Wait}} {
		if p.span.From < 0 || p.span.To < p.span.From {
			return fmt.Errorf("%s: want a time such as 200ms, or [from, to]", p.path)
		}
	}
	for i, m := range s.Servers.Models {
		if m.Speed.To < m.Speed.From {
			return fmt.Errorf("servers.models[%d].speed: want a number, or [from, to]", i)
		}
		if m.Name == "" || !(m.Cores > 0) || !(m.Speed.From > 0) {
			return fmt.Errorf("servers.models[%d]: want a name, cores and a speed of more than 0", i)
		}
	}
	for i, c := range s.Classes {
		if _, ok := effects[c.Effect]; !ok {
			return fmt.Errorf("classes[%d].effect: %q is none of safe, keyed, unsafe", i, c.Effect)
		}
		if _, ok := groups[c.Group]; !ok {
			return fmt.Errorf("classes[%d].group: %q is none of all, zone, cell", i, c.Group)
		}
		if c.Name == "" || c.Work <= 0 || c.Aim <= 0 || c.Deadline < c.Aim || c.Worth < 0 || c.Spread < 0 {
			return fmt.Errorf("classes[%d]: want a name, work, an aim and a deadline no shorter than it", i)
		}
	}
	for i := range s.Troubles {
		if err := s.Troubles[i].check(s); err != nil {
			return fmt.Errorf("troubles[%d].%w", i, err)
		}
	}
	return nil
}

// Settings is what a proxy is told at its start.
func (s *Scenario) Settings(proxy int) lg.Settings {
	set := lg.Settings{Me: proxy, Balancers: s.Proxies.Count, Zone: s.ProxyZone(proxy), Zones: len(s.Zones),
		Report: []lg.LoadField{lg.LoadInFlight, lg.LoadLatency}, OverShareWorth: s.Prices.OverShare,
		CrossZonePrice: s.Prices.CrossZone, HeldPrice: s.Prices.Connection, AskForList: true,
		AskEvery:    s.Proxies.AskEvery,
		MaxAttempts: s.Proxies.MaxTries, Cancel: true, MaxRetryAfter: s.Proxies.RetryAfter,
		ConnectTimeout: s.Proxies.Connect, ColdShare: s.Servers.Cold.From, WarmWithin: s.Servers.Cold.Within,
		TipMultiple: s.Servers.Cold.Multiple, TipWindow: s.Servers.Cold.Window,
		DrainGrace: s.Rules.DrainWithin, AnswerSlack: s.Rules.Slack}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, lg.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth,
			LateWorth: c.LateWorth, Effect: effects[c.Effect], Group: groups[c.Group], Memory: c.Memory})
	}
	for i, t := range s.Tenants {
		set.Tenants = append(set.Tenants, lg.Tenant{Name: t.Name, Allowance: s.Allowance(i)})
	}
	return set
}

// ProxyZone is the zone in which a proxy stands.
func (s *Scenario) ProxyZone(proxy int) int { return proxy % len(s.Zones) }

// Allowance is a tenant's share in requests a second.
func (s *Scenario) Allowance(tenant int) float64 {
	t := s.Tenants[tenant]
	if t.Allowance > 0 {
		return t.Allowance
	}
	all := 0.0
	for _, o := range s.Tenants {
		all += o.Share
	}
	return 1.15 * s.Clients.Rate * t.Share / all
}
