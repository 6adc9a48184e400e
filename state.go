package lilacglade

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// server is one server as this proxy sees it.
type server struct {
	Server
	own      []int   // ranges it owns, of which at most one in part
	speed    float64 // learned, as a multiple of the listed weight
	base     float64 // capacity before load: weight x speed x warmth
	d        float64 // capacity as the sieve has it
	reported bool    // since it started
	usual    float64 // mean of the reported counts over about an interval
	load     load
	pace     pace
	bound    bound
	doubt    float64 // evidence that it is lost: a logarithm of odds, 0 when there is none
	weighed  time.Duration
	classes  []standing
	aside    bool
	trialAt  time.Duration
	wait     time.Duration
	okAt     time.Duration // its last answer
	purse    float64       // work that this proxy may send it while it is cold
	burst    float64       // the most that purse may hold
	draw     float64       // its place in this proxy's order of servers
	mine     bool          // it is of the part that this proxy works with
}

// standing is what the attempts of one class say of a server.
type standing struct {
	fails float64 // not yet outweighed by answers
	wait  time.Duration
	until time.Duration // barred until then
	okAt  time.Duration // its last answer
}

// request is a request not yet answered, or with attempts still out.
type request struct {
	Request
	class    *Class
	key      uint64
	work     float64       // expected, in seconds
	over     bool          // beyond its tenant's allowance
	elapsed  time.Duration // since the caller's first try, as far as it shows
	most     int           // attempts that it may have
	rank     float64       // what it is worth for its work, against the best
	wanted   time.Duration // after its arrival
	arrived  time.Duration
	deadline time.Duration
	tried    []*server
	loads    []float64 // load for its size of each server tried, when it was sent there
	out      int
	ran      *server       // where it may have run first
	ranAt    time.Duration // and when that attempt was sent
	sentAt   time.Duration
	broke    bool // the last attempt's connection broke
	answered bool
	stream   bool
	held     bool // for want of room
	waits    bool // it is in Balancer.waiting
}

// slot is one range of the sieve.
type slot struct {
	s    *server
	part float64
}

// Balancer decides for one proxy. New makes one.
type Balancer struct {
	set      Settings
	rng      uint64
	servers  map[ServerID]*server
	order    []*server // by id
	requests map[RequestID]*request
	held     map[uint32]RequestID
	waiting  []RequestID // held requests that were looked at again in vain, the first first; some may have ended
	token    uint32
	acts     []Action
	started  bool
	now      time.Duration

	ranges  []slot
	total   float64 // sum of the servers' d
	expired bool    // the list must not be used to send by
	noneUp  bool    // every capacity is zero: base capacities count
	refresh time.Duration

	meanLoad float64       // in-flight count for each unit of base capacity
	others   float64       // the part of it that is not this proxy's
	meanWork float64       // of the requests that lately arrived, in seconds
	meanSlow float64       // expected latency for each unit of work, over the fleet
	usual    float64       // mean load for their size of servers when sent to
	bias     float64       // mean error of the expected latency, in logarithms
	works    []fit         // work of each class, by its hint
	firsts   []firsts      // of each class
	reported time.Duration // when the last load report came
	arrivals float64       // work arriving here a second
	arrived  float64       // since the last tick
	tenants  []float64     // allowance left in each tenant's bucket
	retries  float64
	homely   bool          // servers of the own zone go first
	sharers  time.Duration // how many proxies may send to one server
	peers    float64       // how many do, by its part of the servers
	drawn    []*server     // servers in this proxy's order
	due      []*server     // cold servers that this proxy's budget has something for
	tries    float64       // attempts that ended lately at sound servers
	failed   float64       // and those of them that failed
	refused  int           // requests since the last refresh
	refusing bool
	counts   [hotCounts]float64 // lately arrived requests, by key
	counted  float64
	asking   bool
	listWait time.Duration
	logged   int
}

// New returns a Balancer for one proxy. The seed feeds only what must differ between
// proxies (jitter, requests without a key); the sieve's functions are the same everywhere.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b := &Balancer{set: set, rng: seed, servers: map[ServerID]*server{},
		requests: map[RequestID]*request{}, held: map[uint32]RequestID{}, token: firstToken, noneUp: true,
		ranges: make([]slot, 2), retries: retryStock, meanSlow: 1,
		firsts: make([]firsts, len(set.Classes)), peers: float64(set.Balancers)}
	for _, c := range set.Classes {
		b.works = append(b.works, fit{y: c.Aim.Seconds() / 4})
		b.meanWork += c.Aim.Seconds() / 4 / float64(len(set.Classes))
	}
	for _, t := range set.Tenants {
		b.tenants = append(b.tenants, t.Allowance/float64(set.Balancers))
	}
	b.suit()
	return b, nil
}

// suit sets what follows from the settings alone.
func (b *Balancer) suit() {
	// The own zone goes first where leaving it costs what the load on more servers is worth. Guards
	// against a fleet in which every proxy holds a connection to every server: their number grows with
	// that of the proxies, each has little to do, and each proxy learns little of each server.
	zones := float64(max(1, b.set.Zones))
	legs := b.set.HeldPrice / 100 * float64(b.set.Balancers) * (zones - 1) / zones
	b.sharers, b.homely = time.Duration(b.set.Balancers), b.set.CrossZonePrice+legs >= zoneWorth*(zones-1)
	if b.homely {
		b.sharers /= time.Duration(zones)
	}
}

func (b *Balancer) timer(after time.Duration, token uint32) {
	b.acts = append(b.acts, Action{Do: SetTimer, For: after, Token: token})
}

// logLines bounds what one proxy logs.
const logLines = 100

// logAfter is how many refusals between two refreshes an operator should hear of.
const logAfter = 10

// logServer logs a line about one server, whose name whoever prints it may know.
func (b *Balancer) logServer(s *server, format string, args ...any) {
	before := len(b.acts)
	b.logf("server %x %s", uint64(s.ID), fmt.Sprintf(format, args...))
	for i := range b.acts[before:] {
		b.acts[before+i].Server = s.ID
	}
}

func (b *Balancer) logf(format string, args ...any) {
	if b.logged++; b.logged <= logLines {
		b.acts = append(b.acts, Action{Do: Log, Text: fmt.Sprintf(format, args...)})
	}
}

// mix scrambles x (the finisher of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (b *Balancer) random() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

func (b *Balancer) uniform() float64 { return float64(b.random()>>11) / (1 << 53) }

func (b *Balancer) jitter(most time.Duration) time.Duration {
	return time.Duration(b.uniform() * float64(most))
}

// Handle takes one event at the given time and returns what to do about it. The slice
// is used again by the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.acts, b.now = b.acts[:0], now
	if !b.started {
		b.started = true
		b.timer(tick, tickToken)
		if b.set.AskForList {
			b.timer(b.jitter(min(b.set.AskEvery/5, interval)), listToken)
		}
	}
	switch ev := ev.(type) {
	case Request:
		b.arrive(ev)
	case Outcome:
		b.outcome(ev)
	case AnswerStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.stream = true
		}
	case Departed:
		if r := b.requests[ev.Request]; r != nil {
			b.end(r)
		}
	case Timer:
		b.wake(ev.Token)
	case List:
		b.list(ev)
	case ListLease:
		b.expired = ev.Expired
	}
	return b.acts
}

// end forgets r once nothing of it is out.
func (b *Balancer) end(r *request) {
	r.answered = true
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// drop forgets a server that is gone.
func (b *Balancer) drop(s *server) {
	b.resize(s, 0)
	s.State = Gone
	delete(b.servers, s.ID)
	b.order = slices.DeleteFunc(b.order, func(o *server) bool { return o == s })
}

// enlist makes room for a server that is new, in the order of ids.
func (b *Balancer) enlist(id ServerID) *server {
	s := &server{speed: 1, Server: Server{Weight: 1}, classes: make([]standing, len(b.set.Classes)),
		draw: b.draw(id), mine: true}
	b.servers[id] = s
	at, _ := slices.BinarySearchFunc(b.order, id, func(s *server, id ServerID) int {
		return cmp.Compare(s.ID, id)
	})
	b.order = slices.Insert(b.order, at, s)
	return s
}

// Timer tokens below firstToken have a fixed use; the others wake held requests.
const (
	tickToken uint32 = iota
	listToken
	firstToken
)

// hotCounts is the number of counters that keys share; a hot key stands out from what it
// shares its counter with.
const hotCounts = 1024

// share is the part of the lately arrived requests that carry r's key, 0 below what chance brings.
func (b *Balancer) share(r *request) float64 {
	if n := b.counts[r.key%hotCounts]; r.HasKey && n > 1 {
		return (n - 1) / b.counted
	}
	return 0
}

// report takes in a server's load report.
func (b *Balancer) report(s *server, load LoadReport) {
	for i := range min(load.N, len(b.set.Report)) {
		if v := load.Values[i]; b.set.Report[i] == LoadInFlight && v >= 0 && !math.IsInf(v, 0) {
			if !s.reported {
				s.usual = v
			}
			s.usual += (v - s.usual) * -math.Expm1(-(b.now-s.load.at).Seconds()/interval.Seconds())
			s.load.report(v, b.now)
			s.reported, b.reported = true, b.now
		}
	}
}

// weigh takes the end of an attempt into what is held against s: how much likelier it is at a lost
// server than at a sound one. Evidence of single servers would gather slowly where a proxy has little
// traffic for each; so what counts as usual is learned from all of them, and where failures are rare a
// single one says enough. Attempts at servers in doubt hardly count as usual. Odds are those of this failure
// at a sound server, where more is known of it. They guard against callers who wait no longer than a heavy
// request takes, whose time-outs looked like a loss.
func (b *Balancer) weigh(s *server, failed bool, odds float64) {
	if !s.aside { // else only trials tell
		s.doubt *= math.Exp(-(b.now - s.weighed).Seconds() / doubtFade.Seconds())
	}
	s.weighed = b.now
	usual := min(lostFails/1.5, (soundFails+b.failed)/(soundTries+b.tries))
	says := math.Log((1 - lostFails) / (1 - usual))
	if failed {
		says = max(0, math.Log(lostFails/max(usual, odds)))
	}
	s.doubt = max(0, min(2*certain, s.doubt+says)) // so that a few answers bring a server back
	sound := 1 / (1 + math.Exp(s.doubt-certain))
	b.tries, b.failed = b.tries*soundFade+sound, b.failed*soundFade
	if failed {
		b.failed += sound
	}
}

// bounded tells whether a server in use has shown how much it takes.
func (b *Balancer) bounded() bool {
	return slices.ContainsFunc(b.order, func(s *server) bool {
		return s.State == Ready && !s.aside && s.bound.most > 0
	})
}

// asides counts the servers that are set aside.
func (b *Balancer) asides() (n int) {
	for _, s := range b.order {
		if s.aside {
			n++
		}
	}
	return n
}

// Skipped counts the ready servers that get no requests but trials, for operators.
func (b *Balancer) Skipped() (n int) {
	for _, s := range b.order {
		if s.aside && s.State == Ready && !b.noneUp {
			n++
		}
	}
	return n
}
