package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Call is what one client wants: a first try and the tries that follow it.
type Call struct {
	ID       uint64
	Class    int
	Tenant   int
	Key      uint64 // 0: none
	Work     float64
	Zone     int
	Over     bool // beyond its tenant's allowance
	Started  time.Duration
	Deadline time.Duration

	tries  int
	served time.Duration // when; 0: not
	second int           // of the run in which it began
}

// heavy makes some of a class's requests cost more.
type heavy struct {
	class int // -1: all
	part  float64
	times float64
}

// clients make the calls. Each tenant's arrivals are a process of their own whose chance depends on
// nothing that proxies do: two runs with one seed are asked the same.
type clients struct {
	w      *World
	byKey  []float64 // popularity of the keys, summed
	floods []float64 // by tenant
	heavy  []*heavy
	shares []float64 // of the tenants
	class  []float64 // shares of the classes, summed
	purse  []float64 // allowance left, by tenant
	purseA []time.Duration
	robin  []int // by zone
}

func newClients(w *World) *clients {
	c := &clients{w: w, robin: make([]int, len(w.sc.Zones))}
	sum := 0.0
	for i := range w.sc.Clients.Keys {
		sum += math.Pow(float64(i+1), -w.sc.Clients.Skew)
		c.byKey = append(c.byKey, sum)
	}
	all := 0.0
	for _, t := range w.sc.Tenants {
		all += t.Share
	}
	for i, t := range w.sc.Tenants {
		c.shares = append(c.shares, t.Share/all)
		c.floods = append(c.floods, 1)
		c.purse = append(c.purse, 2*w.sc.Allowance(i))
		c.purseA = append(c.purseA, 0)
	}
	all = 0
	for _, k := range w.sc.Classes {
		all += k.Share
		c.class = append(c.class, all)
	}
	return c
}

// pick draws an index by summed shares.
func pick(sums []float64, u float64) int {
	i, _ := slices.BinarySearch(sums, u*sums[len(sums)-1])
	return min(i, len(sums)-1)
}

// times is the multiple of the rate at a time, without floods.
func (c *clients) times(at time.Duration) float64 {
	x := 1.0
	if p := c.w.sc.Clients.Curve; len(p) > 0 {
		i := 0
		for i < len(p) && p[i].At <= at {
			i++
		}
		switch {
		case i == 0:
			x = p[0].Times
		case i == len(p):
			x = p[i-1].Times
		default:
			part := float64(at-p[i-1].At) / float64(p[i].At-p[i-1].At)
			x = p[i-1].Times + part*(p[i].Times-p[i-1].Times)
		}
	}
	if b := c.w.sc.Clients.Burst; b.Every > 0 && at%b.Every < b.For {
		x *= b.Times
	}
	return x
}

// most is the largest multiple of the rate that can come.
func (c *clients) most() float64 {
	x := 1.0
	if p := c.w.sc.Clients.Curve; len(p) > 0 {
		x = 0
		for _, p := range p {
			x = max(x, p.Times)
		}
	}
	if b := c.w.sc.Clients.Burst; b.Every > 0 {
		x *= max(1, b.Times)
	}
	for _, t := range c.w.sc.Troubles {
		if t.Kind == "flood" {
			x *= max(1, t.size())
		}
	}
	return x
}

func (c *clients) flood(tenant int, times float64) {
	for i := range c.floods {
		if tenant < 0 || i == tenant {
			c.floods[i] *= times
		}
	}
}

// start begins every tenant's arrivals: candidates at the largest rate, of which some are taken.
func (c *clients) start() {
	most := c.most()
	for t := range c.w.sc.Tenants {
		top := c.w.sc.Clients.Rate * c.shares[t] * most
		if top <= 0 {
			continue
		}
		rng := c.w.rng("arrivals", uint64(t))
		var next func()
		at := time.Duration(0)
		next = func() {
			if at >= c.w.sc.Duration {
				return
			}
			now := at
			taken := rng.Float64()*most < c.times(now)*c.floods[t]
			call := c.draw(rng, t)
			at += time.Duration(rng.ExpFloat64() / top * 1e9)
			if at < c.w.sc.Duration {
				c.w.Clock.At(at, next)
			}
			if taken {
				c.begin(call)
			}
		}
		at = time.Duration(rng.ExpFloat64() / top * 1e9)
		c.w.Clock.At(at, next)
	}
}

// draw makes a call; it takes the same number of draws whatever comes out.
func (c *clients) draw(rng *rand.Rand, tenant int) *Call {
	k := &Call{Tenant: tenant, Class: pick(c.class, rng.Float64()), Zone: rng.IntN(len(c.w.sc.Zones))}
	u, n := rng.Float64(), rng.NormFloat64()
	if len(c.byKey) > 0 {
		k.Key = mix(uint64(pick(c.byKey, u)) + 1)
	}
	class := &c.w.sc.Classes[k.Class]
	k.Work = class.Work.Seconds() * math.Exp(class.Spread*n-class.Spread*class.Spread/2)
	u = rng.Float64()
	for _, h := range c.heavy {
		if (h.class < 0 || h.class == k.Class) && u < h.part {
			k.Work *= h.times
			break
		}
	}
	return k
}

// begin makes the first try of a call.
func (c *clients) begin(k *Call) {
	now := c.w.Clock.Now()
	k.ID = c.w.id()
	k.Started, k.Deadline = now, now+c.w.sc.Classes[k.Class].Deadline
	rate := c.w.sc.Allowance(k.Tenant)
	c.purse[k.Tenant] = min(2*rate, c.purse[k.Tenant]+rate*(now-c.purseA[k.Tenant]).Seconds())
	c.purseA[k.Tenant] = now
	if c.purse[k.Tenant] < 1 {
		k.Over = true
	} else {
		c.purse[k.Tenant]--
	}
	c.w.result.began(k)
	c.try(k)
}

// try makes one try of a call.
func (c *clients) try(k *Call) {
	now := c.w.Clock.Now()
	k.tries++
	c.w.lastAsk++
	a := &Ask{ID: c.w.lastAsk, Call: k, Repeat: k.tries > 1 && c.w.sc.Clients.Retries.Marks, Sent: now}
	a.Name = askName(a.ID)
	u := c.w.chance(k.ID, uint64(k.tries), 31)
	a.GiveUp = min(k.Deadline,
		now+time.Duration(c.w.sc.Clients.GiveUp.at(u)*float64(c.w.sc.Classes[k.Class].Deadline)))
	c.w.result.asked(a)
	c.place(a)
}

// place finds a leg for a request: an idle one of a proxy that the front chooses, or a new one.
func (c *clients) place(a *Ask) {
	proxy := c.front(a.Call.Zone)
	if proxy < 0 {
		c.failed(a, outUnreachable)
		return
	}
	a.Proxy = proxy
	p := c.w.proxies[proxy]
	if n := len(p.idle); n > 0 {
		l := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.ask(l, a)
		return
	}
	l := &Leg{ID: c.w.id(), Proxy: proxy, ask: a, place: len(p.legs)}
	p.legs = append(p.legs, l)
	a.leg = l
	c.w.log(logDial, a, uint64(proxy), 0)
	c.w.Clock.At(a.GiveUp, func() {
		if l.ask == a && !l.up && !l.gone { // it never came up
			c.drop(l)
			c.failed(a, outUnreachable)
		}
	})
	c.w.driver.Dial(l)
}

// askName is the id under which a request crosses the proxy.
func askName(id uint64) string {
	const digits = "0123456789abcdef"
	b := []byte("q000000000000")
	for i := len(b) - 1; id > 0 && i > 0; i-- {
		b[i] = digits[id&15]
		id >>= 4
	}
	return string(b)
}

// front chooses a proxy of a zone in turn, or of the next zone that has one; -1 when there is none.
func (c *clients) front(zone int) int {
	n, zones := c.w.sc.Proxies.Count, len(c.w.sc.Zones)
	for z := range zones {
		at := (zone + z) % zones
		in := (n - at + zones - 1) / zones // proxies in that zone
		for range in {
			c.robin[at]++
			if i := at + c.robin[at]%in*zones; c.w.proxies[i].inFront {
				return i
			}
		}
	}
	return -1
}

// Dialed says how the opening of a caller leg went.
func (w *World) Dialed(l *Leg, ok bool) {
	if l.gone {
		return
	}
	a := l.ask
	if !ok {
		w.clients.drop(l)
		w.clients.failed(a, outUnreachable)
		return
	}
	l.up = true
	w.clients.ask(l, a)
}

// ask writes a request on a leg and waits for its answer.
func (c *clients) ask(l *Leg, a *Ask) {
	l.ask, a.leg = a, l
	now := c.w.Clock.Now()
	c.w.log(logAsk, a, uint64(l.Proxy), uint64((a.GiveUp - now).Microseconds()))
	c.w.Clock.At(a.GiveUp+c.w.sc.Rules.Slack+c.w.margin(), func() {
		if !a.done && a.leg == l { // the client gives up and closes
			c.w.judge.overdue(a)
			c.drop(l)
			c.failed(a, outSilent)
		}
	})
	c.w.driver.Ask(l, a)
}

// Answered takes an answer that a client has read whole.
func (w *World) Answered(l *Leg, ans Answer) {
	a := l.ask
	if l.gone {
		return
	}
	if a == nil {
		w.judge.unasked(l)
		w.clients.drop(l)
		return
	}
	l.ask = nil
	w.log(logAnswer, a, uint64(l.Proxy), uint64(ans.Status))
	if ans.Last {
		w.clients.drop(l)
	} else {
		w.proxies[l.Proxy].idle = append(w.proxies[l.Proxy].idle, l)
	}
	w.judge.answered(a, ans)
	c := w.clients
	now := w.Clock.Now()
	switch {
	case ans.Status == 200 && now <= a.GiveUp+w.sc.Rules.Slack+w.margin() && ans.Token == a.Token():
		a.done = true
		c.served(a)
	case ans.Status == 200:
		c.failed(a, outFailed)
	case ans.Status == 429 || ans.Status == 503:
		a.done = true
		w.result.ended(w, a, outRefused)
		c.again(a, outRefused, ans.RetryAfter)
	default:
		c.failed(a, outFailed)
	}
}

// Closed takes in that a caller leg has been closed by the proxy, or is gone with it.
func (w *World) Closed(l *Leg) {
	if l.gone {
		return
	}
	a := l.ask
	w.clients.drop(l)
	if a == nil || a.done {
		return
	}
	switch {
	case !w.proxies[l.Proxy].up:
		w.clients.failed(a, outKilled)
	case !l.up:
		w.clients.failed(a, outUnreachable)
	case !a.resent && len(a.attempts) == 0:
		// A proxy may close a leg between two requests: one that crosses that is sent once more.
		a.resent = true
		w.clients.place(a)
	case w.proxies[l.Proxy].restarts:
		w.clients.failed(a, outKilled)
	default:
		w.judge.lost(a, "the proxy closed the leg without an answer")
		w.clients.failed(a, outClosed)
	}
}

// drop closes a client's leg.
func (c *clients) drop(l *Leg) {
	if l.gone {
		return
	}
	l.gone = true
	p := c.w.proxies[l.Proxy]
	last := len(p.legs) - 1
	p.legs[l.place] = p.legs[last]
	p.legs[l.place].place = l.place
	p.legs[last] = nil
	p.legs = p.legs[:last]
	if i := slices.Index(p.idle, l); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	c.w.driver.Close(l)
}

func (c *clients) served(a *Ask) {
	if a.Call.served == 0 {
		a.Call.served = c.w.Clock.Now()
	}
	c.w.result.ended(c.w, a, outServed)
	c.w.result.closed(c.w, a.Call)
}

// failed ends a try without an answer that serves.
func (c *clients) failed(a *Ask, how outcome) {
	a.done = true
	c.w.log(logLeft, a, uint64(a.Proxy), uint64(how))
	c.w.result.ended(c.w, a, how)
	c.again(a, how, 0)
}

// again makes another try of a call, where the client may and wants to.
func (c *clients) again(a *Ask, how outcome, advice time.Duration) {
	k, r, now := a.Call, &c.w.sc.Clients.Retries, c.w.Clock.Now()
	class := &c.w.sc.Classes[k.Class]
	may := how == outRefused || how == outUnreachable || class.Effect == "safe" ||
		class.Effect == "keyed" && groups[class.Group] == 0 && now-k.Started < class.Memory
	wait := time.Duration(0)
	u := c.w.chance(k.ID, uint64(k.tries), 32)
	switch r.How {
	case "none":
		may = false
	case "after":
		wait = r.Wait.at(u)
	case "advised":
		if wait = advice; advice <= 0 {
			wait = r.Wait.at(u)
		}
	}
	if !may || k.tries > r.Most || now+wait >= k.Deadline {
		c.w.result.closed(c.w, k)
		return
	}
	c.w.Clock.After(wait, func() { c.try(k) })
}
