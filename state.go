package lilacglade

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// server is the state that this proxy keeps of one server.
type server struct {
	Server
	ownedRanges        []int   // indices into Balancer.ranges, of which at most one is partly owned
	speed              float64 // learned speed, as a multiple of the listed weight
	baseCapacity       float64 // weight x speed x warm-up fraction
	capacity           float64 // capacity in the sieve
	hasReport          bool    // whether a load report came since its start
	meanReported       float64 // mean of the reported in-flight counts over about refreshInterval
	load               loadEstimator
	latency            latencyEstimator
	concurrencyLimit   concurrencyLimit
	failureEvidence    float64       // log odds that it is lost; 0 without evidence
	evidenceAt         time.Duration // when failureEvidence was last updated
	classHealth        []classHealth
	ejected            bool
	probationAt        time.Duration // when the next probation attempt is due
	probationBackoff   time.Duration // doubles with each failure, is halved by each answer
	lastSuccess        time.Duration // time of the last answer
	slowStartBudget    float64       // work in seconds that this proxy may send it during slow start
	maxSlowStartBudget float64       // upper limit of slowStartBudget
	subsetRank         float64       // position in this proxy's subset order, before its weight counts
	inSubset           bool          // whether this proxy sends to it
}

// classHealth is the health of a server for the requests of one class.
type classHealth struct {
	failures     float64 // halved by each answer
	backoff      time.Duration
	blockedUntil time.Duration // sent nothing of the class until then
	lastSuccess  time.Duration // time of the last answer
}

// request is a request that is not answered yet or still has outstanding attempts.
type request struct {
	Request
	class            *Class
	key              uint64
	work             float64       // expected work, in seconds
	overAllowance    bool          // beyond its tenant's allowance
	elapsed          time.Duration // estimated time since the client's first attempt
	maxAttempts      int           // attempts that it may have
	relativeWorth    float64       // worth for its work relative to the best, 0..1
	targetLatency    time.Duration // after its arrival
	arrivedAt        time.Duration
	deadline         time.Duration
	attempted        []*server
	sentLoads        []float64 // load per weight of each attempted server at sending
	outstanding      int
	arriving         bool          // its last byte has not arrived
	mayHaveRunOn     *server       // server of the first attempt that may have run
	mayHaveRunSentAt time.Duration // when that attempt was sent
	sentAt           time.Duration
	connectionBroke  bool // connection of the last attempt broke
	answered         bool
	cannotResend     bool
	wasHeld          bool // for lack of headroom
	queued           bool // whether it is in Balancer.waitQueue
}

// sieveRange is one range of the sieve. Its owner owns the given fraction (0..1) of it.
type sieveRange struct {
	owner    *server
	fraction float64
}

// Balancer makes the decisions of one proxy. New creates one.
type Balancer struct {
	settings      Settings
	rngState      uint64
	servers       map[ServerID]*server
	sortedServers []*server // by id
	requests      map[RequestID]*request
	heldByToken   map[uint32]RequestID
	// Held requests that found no headroom at a second check either, oldest first. Some
	// may have ended.
	waitQueue []RequestID
	lastToken uint32
	actions   []Action
	started   bool
	now       time.Duration

	ranges        []sieveRange
	totalCapacity float64 // sum of the servers' capacities
	listExpired   bool    // the list lease has expired: nothing may be sent
	allEjected    bool    // every capacity is zero, so ejections are ignored
	nextRefresh   time.Duration

	meanLoad            float64                 // in-flight count per unit of base capacity
	meanOthersLoad      float64                 // the part of it that other proxies sent
	meanWork            float64                 // mean over recent requests, in seconds
	meanRelativeLatency float64                 // over the fleet
	meanSentLoad        float64                 // mean load per weight of servers at sending
	latencyBias         float64                 // mean error of the expected latency, as a logarithm
	workEstimators      []linearRegression      // work of each class as a function of the request's cost hint
	firstAttempts       []firstAttemptEstimator // of each class
	lastReportAt        time.Duration           // when the last load report came
	arrivalRate         float64                 // work arriving at this proxy per second, in seconds
	arrivedWork         float64                 // work since the last tick, in seconds
	tenantTokens        []float64               // remaining tokens of each tenant's bucket
	retryTokens         float64
	preferLocalZone     bool          // servers of the local zone are preferred
	maxSharingProxies   time.Duration // upper bound of the number of proxies that send to one server
	proxiesPerServer    float64       // number of proxies that send to one server, from the subset size
	subsetOrder         []*server     // servers in this proxy's subset order
	slowStartDue        []*server     // servers in slow start with a positive budget
	recentAttempts      float64       // attempts that ended recently at healthy servers, decaying
	recentFailures      float64       // failed ones among recentAttempts
	shedCount           int           // requests shed since the last refresh
	shedding            bool
	keyCounts           [keyCounters]float64 // recent requests by key, decaying
	keyTotal            float64
	listRequested       bool
	listBackoff         time.Duration
	loggedLines         int
}

// New returns a Balancer for one proxy. The seed only feeds what must differ between proxies
// (jitter and the sieve position of requests without a key). The hash functions of the sieve are
// the same at every proxy.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b := &Balancer{settings: settings, rngState: seed, servers: map[ServerID]*server{},
		requests: map[RequestID]*request{}, heldByToken: map[uint32]RequestID{}, lastToken: firstHoldToken,
		allEjected: true, ranges: make([]sieveRange, 2), retryTokens: maxRetryTokens, meanRelativeLatency: 1,
		firstAttempts:    make([]firstAttemptEstimator, len(settings.Classes)),
		proxiesPerServer: float64(settings.Balancers)}
	for _, c := range settings.Classes {
		b.workEstimators = append(b.workEstimators, linearRegression{meanY: c.Aim.Seconds() / 4})
		b.meanWork += c.Aim.Seconds() / 4 / float64(len(settings.Classes))
	}
	for _, t := range settings.Tenants {
		b.tenantTokens = append(b.tenantTokens, t.Allowance/float64(settings.Balancers))
	}
	b.deriveFromSettings()
	return b, nil
}

// deriveFromSettings sets the fields that depend on the settings alone.
func (b *Balancer) deriveFromSettings() {
	// Prefer the local zone if leaving it costs more than balancing over more servers is worth.
	// Otherwise every proxy of a large fleet holds a connection to every server: the number of
	// connections grows with the number of proxies, each carries little traffic, and each proxy
	// learns little about each server.
	zones := float64(max(1, b.settings.Zones))
	heldConnectionsPrice := b.settings.HeldPrice / 100 * float64(b.settings.Balancers) * (zones - 1) / zones
	b.maxSharingProxies, b.preferLocalZone = time.Duration(b.settings.Balancers),
		b.settings.CrossZonePrice+heldConnectionsPrice >= extraZoneWorth*(zones-1)
	if b.preferLocalZone {
		b.maxSharingProxies /= time.Duration(zones)
	}
}

func (b *Balancer) setTimer(after time.Duration, token uint32) {
	b.actions = append(b.actions, Action{Do: SetTimer, For: after, Token: token})
}

// maxLogLines limits the number of lines that one proxy logs.
const maxLogLines = 100

// shedLogThreshold is the number of requests shed between two refreshes above which a line is
// logged.
const shedLogThreshold = 10

// logServer logs a line about one server. The action names the server, for a reader that knows its
// address.
func (b *Balancer) logServer(s *server, format string, args ...any) {
	before := len(b.actions)
	b.logf("server %x %s", uint64(s.ID), fmt.Sprintf(format, args...))
	for i := range b.actions[before:] {
		b.actions[before+i].Server = s.ID
	}
}

// logf logs a line, up to maxLogLines.
func (b *Balancer) logf(format string, args ...any) {
	if b.loggedLines++; b.loggedLines <= maxLogLines {
		b.actions = append(b.actions, Action{Do: Log, Text: fmt.Sprintf(format, args...)})
	}
}

// mix is the finalizer of SplitMix64, a bijective hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// random returns the next number of the SplitMix64 generator.
func (b *Balancer) random() uint64 {
	b.rngState += 0x9e3779b97f4a7c15
	return mix(b.rngState)
}

// uniform returns a random number from 0 to 1, 1 excluded.
func (b *Balancer) uniform() float64 { return float64(b.random()>>11) / (1 << 53) }

// jitter returns a random duration below limit.
func (b *Balancer) jitter(limit time.Duration) time.Duration {
	return time.Duration(b.uniform() * float64(limit))
}

// Handle processes one event at the given time and returns the resulting actions. The slice is
// reused by the next call.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.actions, b.now = b.actions[:0], now
	if !b.started {
		b.started = true
		b.setTimer(tickInterval, tickToken)
		if b.settings.AskForList {
			b.setTimer(b.jitter(min(b.settings.AskEvery/5, refreshInterval)), listToken)
		}
	}
	switch ev := ev.(type) {
	case Request:
		b.handleRequest(ev)
	case Arrived:
		b.handleArrived(ev)
	case Outcome:
		b.handleOutcome(ev)
	case AnswerStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.cannotResend = true
		}
	case Departed:
		if r := b.requests[ev.Request]; r != nil {
			b.closeRequest(r)
		}
	case Timer:
		b.handleTimer(ev.Token)
	case List:
		b.handleList(ev)
	case ListLease:
		b.listExpired = ev.Expired
	}
	return b.actions
}

// closeRequest marks r as answered and forgets it once no attempt is outstanding.
func (b *Balancer) closeRequest(r *request) {
	r.answered = true
	if r.outstanding == 0 {
		delete(b.requests, r.ID)
	}
}

// removeServer forgets a server that is gone and frees its ranges.
func (b *Balancer) removeServer(s *server) {
	b.setCapacity(s, 0)
	s.State = Gone
	delete(b.servers, s.ID)
	b.sortedServers = slices.DeleteFunc(b.sortedServers, func(o *server) bool { return o == s })
}

// addServer adds a new server and keeps sortedServers sorted by id.
func (b *Balancer) addServer(id ServerID) *server {
	s := &server{speed: 1, Server: Server{Weight: 1}, classHealth: make([]classHealth, len(b.settings.Classes)),
		subsetRank: b.subsetRank(id), inSubset: true}
	b.servers[id] = s
	index, _ := slices.BinarySearchFunc(b.sortedServers, id, func(s *server, id ServerID) int {
		return cmp.Compare(s.ID, id)
	})
	b.sortedServers = slices.Insert(b.sortedServers, index, s)
	return s
}

// Timer tokens below firstHoldToken have a fixed use. The others wake held requests.
const (
	tickToken uint32 = iota
	listToken
	firstHoldToken
)

// keyCounters is the number of counters shared by all keys. A hot key stands out from the other
// keys of its counter.
const keyCounters = 1024

// keyShare returns the fraction of recent requests that carry r's key, 0 if no more than one did.
func (b *Balancer) keyShare(r *request) float64 {
	if count := b.keyCounts[r.key%keyCounters]; r.HasKey && count > 1 {
		return (count - 1) / b.keyTotal
	}
	return 0
}

// addLoadReport records a server's load report.
func (b *Balancer) addLoadReport(s *server, report LoadReport) {
	for i := range min(report.N, len(b.settings.Report)) {
		if value := report.Values[i]; b.settings.Report[i] == LoadInFlight && value >= 0 && !math.IsInf(value, 0) {
			if !s.hasReport {
				s.meanReported = value
			}
			s.meanReported += (value - s.meanReported) *
				-math.Expm1(-(b.now-s.load.reportedAt).Seconds()/refreshInterval.Seconds())
			s.load.addReport(value, b.now)
			s.hasReport, b.lastReportAt = true, b.now
		}
	}
}

// addEvidence updates the failure evidence of s with the end of an attempt, by the log of how much
// more likely it is at a lost server than at a healthy one. A proxy with little traffic per server
// would gather evidence slowly, so the usual failure rate is learned over all servers: where
// failures are rare, a single one is strong evidence. Attempts at suspect servers hardly count
// toward the usual rate.
//
// The parameter probability is that of this failure at a healthy server, where more is known about
// it than the usual rate. Otherwise clients that wait no longer than a heavy request takes make a
// healthy server look lost.
func (b *Balancer) addEvidence(s *server, failed bool, probability float64) {
	if !s.ejected { // an ejected server only gains or loses evidence by attempts
		s.failureEvidence *= math.Exp(-(b.now - s.evidenceAt).Seconds() / evidenceDecayTime.Seconds())
	}
	s.evidenceAt = b.now
	usualFailureRate := min(lostFailureRate/1.5,
		(priorFailures+b.recentFailures)/(priorAttempts+b.recentAttempts))
	evidence := math.Log((1 - lostFailureRate) / (1 - usualFailureRate))
	if failed {
		evidence = max(0, math.Log(lostFailureRate/max(usualFailureRate, probability)))
	}
	// Limited, so that a few answers readmit a server.
	s.failureEvidence = max(0, min(2*ejectionEvidence, s.failureEvidence+evidence))
	healthyWeight := 1 / (1 + math.Exp(s.failureEvidence-ejectionEvidence))
	b.recentAttempts, b.recentFailures = b.recentAttempts*failureRateDecay+healthyWeight,
		b.recentFailures*failureRateDecay
	if failed {
		b.recentFailures += healthyWeight
	}
}

// anyConcurrencyLimit reports whether the concurrency limit of a server in use is known.
func (b *Balancer) anyConcurrencyLimit() bool {
	return slices.ContainsFunc(b.sortedServers, func(s *server) bool {
		return s.State == Ready && !s.ejected && s.concurrencyLimit.limit > 0
	})
}

// ejectedCount returns the number of ejected servers.
func (b *Balancer) ejectedCount() (n int) {
	for _, s := range b.sortedServers {
		if s.ejected {
			n++
		}
	}
	return n
}

// Skipped returns the number of ready servers that get only probation attempts, for operators.
func (b *Balancer) Skipped() (n int) {
	for _, s := range b.sortedServers {
		if s.ejected && s.State == Ready && !b.allEjected {
			n++
		}
	}
	return n
}
