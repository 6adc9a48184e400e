// Package workorder is the state machine of machines taken out for work: entries of the log that the
// proxies agree on come in, in their order, and the same state follows everywhere. It is pure: no clock, no
// sockets. Every guard is checked where an entry is applied, so that no leader can go round it; what only a
// clock can tell (a lease that ran out) comes in with the entry and is the proposer's to prove.
package workorder

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Step is where a machine stands in its order.
type Step uint8

// The steps. From Granted to Out nothing new is sent to the machine; Returning machines count as missing
// until they are done.
const (
	Waiting   Step = iota
	Granted        // all who hear of it stop sending there
	Draining       // the first proxy has said that it has stopped and has nothing there
	Free           // nobody has anything there: it may be switched off
	Out            // staff have said that they work on it
	Returning      // it takes requests again, as a cold one where it has started anew
	Done
	Failed // it was out for longer than the order allows, or staff gave it up: it stays marked
	Cancelled
)

var stepNames = [...]string{"waiting", "granted", "draining", "free", "out", "returning", "done", "failed",
	"cancelled"}

func (s Step) String() string { return stepNames[min(int(s), len(stepNames)-1)] }

// Marked tells whether nothing new may be sent to a machine in this step.
func (s Step) Marked() bool { return s >= Granted && s <= Out || s == Failed }

// gone tells whether a machine in this step is missing to the fleet.
func (s Step) gone() bool { return s.Marked() || s == Returning }

// Ended tells whether the order is through with a machine. A failed one is not: it stays named.
func (s Step) Ended() bool { return s == Done || s == Cancelled }

// Machine is one machine as discovery listed it when its order was taken in.
type Machine struct {
	ID      string  `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint,omitempty"`
	Kind    string  `cbor:"3,keyasint,omitempty"`
	Weight  float64 `cbor:"4,keyasint,omitempty"`
	Started float64 `cbor:"5,keyasint,omitempty"` // Unix time in milliseconds; 0: long ago
	Proxy   string  `cbor:"6,keyasint,omitempty"` // it is the machine of the proxy of that name
}

// ProxyID is the id of the machine of a proxy. Discovery's ids are other ones.
func ProxyID(name string) string { return proxyPrefix + name }

const proxyPrefix = "proxy:"

// IsProxy tells whether an id is that of a proxy's machine.
func IsProxy(id string) bool { return strings.HasPrefix(id, proxyPrefix) }

// Order is staff's order.
type Order struct {
	ID       string        `cbor:"1,keyasint"`
	Machines []Machine     `cbor:"2,keyasint"`
	Most     int           `cbor:"3,keyasint"`           // out at once, in all orders together
	MostZone int           `cbor:"4,keyasint,omitempty"` // of one zone; 0: as Most
	MostKind int           `cbor:"5,keyasint,omitempty"` // of one model; 0: as Most
	Keep     float64       `cbor:"6,keyasint"`           // part of the fleet's weight that must stay in service
	Fleet    float64       `cbor:"7,keyasint"`           // the fleet's weight when the order was taken in
	OutFor   time.Duration `cbor:"8,keyasint,omitempty"` // longer than this out is failed; 0: no bound
	Said     bool          `cbor:"9,keyasint,omitempty"` // done when staff say so, not when it starts anew
	Paused   bool          `cbor:"10,keyasint,omitempty"`
	Ended    bool          `cbor:"11,keyasint,omitempty"` // cancelled: nothing more is granted
	Margin   float64       `cbor:"12,keyasint,omitempty"` // measured room beyond what is in work that must stay
}

// Work is one machine's way through its order.
type Work struct {
	Order   string          `cbor:"1,keyasint"`
	Machine Machine         `cbor:"2,keyasint"`
	Step    Step            `cbor:"3,keyasint"`
	Named   uint64          `cbor:"4,keyasint"`           // index from which on it has been named
	Granted uint64          `cbor:"5,keyasint,omitempty"` // index of its last grant
	Number  uint64          `cbor:"6,keyasint,omitempty"` // steps of all machines are counted together
	Clear   map[string]bool `cbor:"7,keyasint,omitempty"` // parties that have nothing there, of this grant
	Why     string          `cbor:"8,keyasint,omitempty"`
	Voter   bool            `cbor:"9,keyasint,omitempty"` // a proxy's machine, and it voted when it was granted
}

// concerns tells whether a party has to know, and to stop, for a machine to go out: all may send to a
// machine, but a proxy's own machine is between it and its callers.
func (w *Work) concerns(p *Party) bool { return w.Machine.Proxy == "" || w.Machine.Proxy == p.Name }

// Party is a process that may send to machines.
type Party struct {
	Name   string        `cbor:"1,keyasint"`
	Inc    uint64        `cbor:"2,keyasint"` // its incarnation
	Addr   string        `cbor:"3,keyasint"` // where it listens to its peers
	Joined uint64        `cbor:"4,keyasint"`
	Knows  uint64        `cbor:"5,keyasint,omitempty"` // it knows the state up to this index
	Gone   bool          `cbor:"6,keyasint,omitempty"` // another process has its address: it is dead
	Grace  time.Duration `cbor:"7,keyasint,omitempty"` // the longest that a request of it may take
	ID     uint64        `cbor:"8,keyasint,omitempty"` // as a voter
	Boot   uint64        `cbor:"9,keyasint,omitempty"` // which start this is of that identity
	// Resumed: until its first lease it may go on by what its disk knew at Knows; else it sends nothing then
	Resumed bool `cbor:"10,keyasint,omitempty"`
}

// Key names a party: a name and an incarnation.
func Key(name string, inc uint64) string { return fmt.Sprintf("%s/%x", name, inc) }

// Key names the party.
func (p *Party) Key() string { return Key(p.Name, p.Inc) }

// knows tells whether the party, if it sends at all, knows what was named at an index. One that joined
// later sends nothing before it was told the state as it is then, unless it goes on by an older one.
func (p *Party) knows(index uint64) bool { return p.Known() >= index }

// Known is the index up to which the party surely knows what was named, if it sends at all.
func (p *Party) Known() uint64 {
	if p.Resumed {
		return p.Knows
	}
	return max(p.Knows, p.Joined)
}

// Kind is what an entry does.
type Kind uint8

// The entries.
const (
	Nothing  Kind = iota
	Join          // Party
	Leave         // Name, Inc: it has stopped and has nothing open anywhere
	Forget        // Name: staff vouch that no process of that name runs
	Bury          // Name, Inc: a dead party's lease has run out
	Know          // Notes: up to where parties know the state
	Submit        // Order
	Pause         // Name: an order
	Resume        // Name: an order
	Cancel        // Name: an order
	Grant         // Machine, Fact
	Clear         // Notes: parties have nothing at a machine, of a grant
	SetFree       // Machine, Index: its grant; Expired: parties whose lease has surely run out
	SetOut        // Machine: staff work on it
	Return        // Machine: it takes requests again
	SetDone       // Machine
	Fail          // Machine, Why
	GiveBack      // Machine, Index, Why: its room is needed, and it is not free yet
	Name          // Machine, Fact: it may go out next; who is cut off from now on sends nothing new there
	Raise         // Index: all understand entries of this level from now on
)

// Levels of what entries may say. A leader proposes nothing that a voter or party does not understand.
const (
	LevelFirst  = 1
	LevelResume = 2 // parties that go on by their disk's knowledge, measured room, hot keys
	LevelNow    = LevelResume
)

// Note is what a party has said.
type Note struct {
	Party   string `cbor:"1,keyasint"`
	Index   uint64 `cbor:"2,keyasint"` // Know: of the state; Clear: of the grant
	Machine string `cbor:"3,keyasint,omitempty"`
}

// Fact is what the leader saw when it chose a machine. The guards hold it against the order.
type Fact struct {
	Left     float64 `cbor:"1,keyasint"` // weight in service once the machine is out
	ZoneLeft int     `cbor:"2,keyasint"` // machines in service in its zone then
	Voter    bool    `cbor:"3,keyasint,omitempty"`
	Room     float64 `cbor:"4,keyasint,omitempty"` // requests that the rest could hold then; 0: not known
	Busy     float64 `cbor:"5,keyasint,omitempty"` // requests in work at machines, all proxies together
	Hot      bool    `cbor:"6,keyasint,omitempty"` // it now serves a key that is a machine's load by itself
}

// Command is an entry.
type Command struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Call    string   `cbor:"2,keyasint,omitempty"` // the operators' id: carried out once
	Party   *Party   `cbor:"3,keyasint,omitempty"`
	Name    string   `cbor:"4,keyasint,omitempty"`
	Inc     uint64   `cbor:"5,keyasint,omitempty"`
	Notes   []Note   `cbor:"6,keyasint,omitempty"`
	Order   *Order   `cbor:"7,keyasint,omitempty"`
	Machine string   `cbor:"8,keyasint,omitempty"`
	Index   uint64   `cbor:"9,keyasint,omitempty"`
	Expired []string `cbor:"10,keyasint,omitempty"`
	Why     string   `cbor:"11,keyasint,omitempty"`
	Fact    *Fact    `cbor:"12,keyasint,omitempty"`
}

// Result is what became of an operators' call.
type Result struct {
	Call string `cbor:"1,keyasint"`
	Err  string `cbor:"2,keyasint,omitempty"`
}

// keptResults bounds the results that are remembered: a call that is sent again later than so many others
// is refused by what it asks for (an order's id, a step), not by its own id.
const keptResults = 512

// keptWorks bounds the machines remembered that orders are through with.
const keptWorks = 1024

// State is the state after an entry. New makes the first.
type State struct {
	Index   uint64            `cbor:"1,keyasint"`
	Parties map[string]*Party `cbor:"2,keyasint"`
	Orders  []*Order          `cbor:"3,keyasint"`
	Works   []*Work           `cbor:"4,keyasint"`  // in the order in which they were named
	Results []Result          `cbor:"5,keyasint"`  // oldest first
	Steps   uint64            `cbor:"6,keyasint"`  // taken so far
	Crowd   int               `cbor:"7,keyasint"`  // most parties that there ever were
	Grace   time.Duration     `cbor:"8,keyasint"`  // the longest of any party ever
	Turn    string            `cbor:"9,keyasint"`  // zone of the last grant
	Boots   map[string]Boot   `cbor:"10,keyasint"` // the latest start of each name that was taken in
	Level   uint64            `cbor:"11,keyasint,omitempty"`
}

// Boot is a start of an identity as a voter.
type Boot struct {
	ID   uint64 `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"`
}

// New is the state before the first entry.
func New() *State { return &State{Parties: map[string]*Party{}, Boots: map[string]Boot{}} }

// Active is the work on a machine that is not ended, nil if there is none.
func (s *State) Active(machine string) *Work {
	for _, w := range s.Works {
		if w.Machine.ID == machine && !w.Step.Ended() {
			return w
		}
	}
	return nil
}

// Order is the order of that id, nil if there is none.
func (s *State) Order(id string) *Order {
	for _, o := range s.Orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

// Named lists the machines that may go out: who is cut off sends nothing new there. They are few at any time,
// so that a proxy that is cut off has room to go on with.
func (s *State) Named() (ids []string) {
	for _, w := range s.Works {
		if w.Named > 0 && !w.Step.Ended() {
			ids = append(ids, w.Machine.ID)
		}
	}
	return ids
}

// Mark is a machine to which nothing new may be sent, with the index of its grant.
type Mark struct {
	Machine string `cbor:"1,keyasint"`
	Grant   uint64 `cbor:"2,keyasint"`
}

// Marked lists the machines to which nothing new may be sent.
func (s *State) Marked() (marks []Mark) {
	for _, w := range s.Works {
		if w.Step.Marked() {
			marks = append(marks, Mark{w.Machine.ID, w.Granted})
		}
	}
	return marks
}

// Result is what became of a call; ok is false if it was not carried out yet, or too long ago.
func (s *State) Result(call string) (r Result, ok bool) {
	for _, r := range s.Results {
		if r.Call == call {
			return r, true
		}
	}
	return r, false
}

// Apply takes an entry at an index, at which there may be several. It returns why nothing changed, nil if the
// entry counted. A call that was carried out before gives what it gave then.
func (s *State) Apply(index uint64, c Command) error {
	if index < s.Index {
		return errors.New("an old entry")
	}
	s.Index = index
	if c.Call == "" {
		return s.apply(c)
	}
	if r, ok := s.Result(c.Call); ok {
		if r.Err != "" {
			return errors.New(r.Err)
		}
		return nil
	}
	err := s.apply(c)
	r := Result{Call: c.Call}
	if err != nil {
		r.Err = err.Error()
	}
	s.Results = append(s.Results, r)
	if n := len(s.Results) - keptResults; n > 0 {
		s.Results = slices.Delete(s.Results, 0, n)
	}
	return err
}

func (s *State) apply(c Command) error {
	switch c.Kind {
	case Nothing:
		return nil
	case Join:
		return s.join(c.Party)
	case Leave, Bury:
		p := s.Parties[Key(c.Name, c.Inc)]
		if p == nil || c.Kind == Bury && !p.Gone {
			return fmt.Errorf("no such party: %s", Key(c.Name, c.Inc))
		}
		s.drop(p)
		return nil
	case Forget:
		return s.forget(c.Name)
	case Know:
		for _, n := range c.Notes {
			if p := s.Parties[n.Party]; p != nil {
				p.Knows = max(p.Knows, min(n.Index, s.Index))
			}
		}
		return nil
	case Clear:
		return s.clear(c.Notes)
	case Submit:
		return s.submit(c.Order)
	case Pause, Resume, Cancel:
		return s.order(c)
	case Raise:
		s.Level = max(s.Level, c.Index)
		return nil
	}
	w := s.Active(c.Machine)
	if w == nil {
		return fmt.Errorf("machine %q: no order names it now", c.Machine)
	}
	return s.step(w, c)
}

// join takes in a party. Guards against two processes of one name being taken for one: only the address,
// which one process can hold at a time, proves that the earlier one is dead.
func (s *State) join(p *Party) error {
	if p == nil || p.Name == "" || p.Inc == 0 {
		return errors.New("join: no party")
	}
	if s.Parties[p.Key()] != nil {
		return nil
	}
	for _, o := range s.Parties {
		if o.Name == p.Name && o.Addr == p.Addr {
			o.Gone = true
		}
	}
	n := *p
	n.Joined, n.Gone = s.Index, false
	if n.Knows = min(n.Knows, s.Index); !n.Resumed {
		n.Knows = 0
	}
	s.Parties[n.Key()] = &n
	if b := s.Boots[n.Name]; b.ID != n.ID || b.Boot < n.Boot {
		s.Boots[n.Name] = Boot{n.ID, n.Boot}
	}
	s.Crowd = max(s.Crowd, len(s.Parties))
	s.Grace = max(s.Grace, n.Grace)
	return nil
}

func (s *State) drop(p *Party) {
	delete(s.Parties, p.Key())
	for _, w := range s.Works {
		delete(w.Clear, p.Key())
	}
}

func (s *State) forget(name string) error {
	found := false
	for _, p := range s.sorted() {
		if p.Name == name {
			s.drop(p)
			found = true
		}
	}
	if !found {
		return fmt.Errorf("party %q: unknown", name)
	}
	return nil
}

// sorted lists the parties by key.
func (s *State) sorted() []*Party {
	all := make([]*Party, 0, len(s.Parties))
	for _, p := range s.Parties {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Party) int { return cmp.Compare(a.Key(), b.Key()) })
	return all
}

func (s *State) clear(notes []Note) error {
	for _, n := range notes {
		w := s.Active(n.Machine)
		if w == nil || w.Granted != n.Index || s.Parties[n.Party] == nil {
			continue
		}
		if w.Step == Granted {
			s.to(w, Draining, "")
		}
		if w.Step == Draining {
			if w.Clear == nil {
				w.Clear = map[string]bool{}
			}
			w.Clear[n.Party] = true
		}
	}
	return nil
}

// submit takes in an order: all of it or nothing.
func (s *State) submit(o *Order) error {
	if err := o.check(); err != nil {
		return err
	}
	if s.Order(o.ID) != nil {
		return fmt.Errorf("id: an order %q was given before", o.ID)
	}
	for _, m := range o.Machines {
		if w := s.Active(m.ID); w != nil {
			return fmt.Errorf("machines: %q is in order %q", m.ID, w.Order)
		}
	}
	s.Orders = append(s.Orders, o)
	for _, m := range o.Machines {
		s.Works = append(s.Works, &Work{Order: o.ID, Machine: m})
	}
	s.tidy()
	return nil
}

// check says what is wrong with an order by itself.
func (o *Order) check() error {
	switch {
	case o == nil || o.ID == "":
		return errors.New("id: not set")
	case len(o.Machines) == 0:
		return errors.New("machines: none")
	case o.Most < 1:
		return fmt.Errorf("most: %d, want at least 1", o.Most)
	case o.MostZone < 0 || o.MostKind < 0:
		return fmt.Errorf("most-zone, most-kind: %d, %d, want at least 0", o.MostZone, o.MostKind)
	case !(o.Keep >= 0 && o.Keep < 1):
		return fmt.Errorf("keep: %v, want a part from 0 to under 1", o.Keep)
	case o.OutFor < 0:
		return fmt.Errorf("out-for: %v, want at least 0", o.OutFor)
	case !(o.Margin >= 0 && o.Margin <= mostMargin):
		return fmt.Errorf("margin: %v, want 0 to %v", o.Margin, mostMargin)
	}
	seen := map[string]bool{}
	for _, m := range o.Machines {
		if (m.Proxy == "") != (o.Machines[0].Proxy == "") {
			return errors.New("machines: proxies and album servers want an order each")
		}
		if m.ID == "" || seen[m.ID] {
			return fmt.Errorf("machines: %q is empty or repeated", m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}

// mostMargin bounds an order's margin: more is a slip of the pen.
const mostMargin = 10.0

// tidy forgets the machines that orders are through with, the oldest first, and orders of which none is
// left. An order's id is free again then.
func (s *State) tidy() {
	over := len(s.Works) - keptWorks
	s.Works = slices.DeleteFunc(s.Works, func(w *Work) bool {
		if over > 0 && w.Step.Ended() {
			over--
			return true
		}
		return false
	})
	s.Orders = slices.DeleteFunc(s.Orders, func(o *Order) bool {
		return !slices.ContainsFunc(s.Works, func(w *Work) bool { return w.Order == o.ID })
	})
}

func (s *State) order(c Command) error {
	o := s.Order(c.Name)
	if o == nil {
		return fmt.Errorf("order %q: unknown", c.Name)
	}
	switch {
	case o.Ended:
		return fmt.Errorf("order %q: cancelled", c.Name)
	case c.Kind == Pause:
		o.Paused = true
	case c.Kind == Resume:
		o.Paused = false
	default:
		// What is free or out stays marked until staff say that it is back; nobody can have begun on the rest.
		o.Ended = true
		for _, w := range s.Works {
			if w.Order == o.ID && w.Step < Free {
				s.to(w, Cancelled, "the order was cancelled")
			}
		}
	}
	return nil
}

// to takes a step.
func (s *State) to(w *Work, step Step, why string) {
	s.Steps++
	w.Step, w.Number, w.Why = step, s.Steps, why
	if !step.Marked() {
		w.Clear = nil
	}
}

// steps says from where each entry leads where. Free and Grant have guards of their own besides.
var steps = map[Kind]struct {
	from []Step
	to   Step
}{
	Grant:    {[]Step{Waiting}, Granted},
	SetFree:  {[]Step{Granted, Draining}, Free},
	SetOut:   {[]Step{Free}, Out},
	Return:   {[]Step{Free, Out, Failed}, Returning},
	SetDone:  {[]Step{Returning}, Done},
	Fail:     {[]Step{Free, Out}, Failed},
	GiveBack: {[]Step{Granted, Draining}, Waiting},
}

func (s *State) step(w *Work, c Command) error {
	if c.Kind == Name {
		if err := s.MayName(w, c.Fact); err != nil {
			return err
		}
		w.Named = s.Index
		return nil
	}
	next, ok := steps[c.Kind]
	if !ok || !slices.Contains(next.from, w.Step) {
		return fmt.Errorf("machine %q is %v", w.Machine.ID, w.Step)
	}
	switch c.Kind {
	case Grant:
		if err := s.May(w, c.Fact); err != nil {
			return err
		}
		w.Granted, w.Clear, w.Voter, s.Turn = s.Index, nil, c.Fact.Voter, w.Machine.Zone
	case Return:
		if p := w.Machine.Proxy; p != "" && !slices.ContainsFunc(s.sorted(), func(o *Party) bool {
			return o.Name == p && o.Joined > w.Granted
		}) {
			return fmt.Errorf("machine %q: proxy %s has not started anew", w.Machine.ID, p)
		}
	case SetFree:
		if c.Index != w.Granted {
			return fmt.Errorf("machine %q: of another grant", w.Machine.ID)
		}
		if key := s.Holding(w, c.Expired); key != "" {
			return fmt.Errorf("machine %q: %s may have something there", w.Machine.ID, key)
		}
	case GiveBack:
		if c.Index != w.Granted {
			return fmt.Errorf("machine %q: of another grant", w.Machine.ID)
		}
	}
	s.to(w, next.to, c.Why)
	return nil
}

// MayName says why a machine can't be named now, nil if it can. Guards against a proxy that is cut off with
// no room left: it gives up all that is named.
func (s *State) MayName(w *Work, f *Fact) error {
	o := s.Order(w.Order)
	if o == nil || f == nil {
		return errors.New("no order, or no facts")
	}
	ahead := 0
	for _, v := range s.Works {
		if v.Order == o.ID && v.Named > 0 && v.Step == Waiting {
			ahead++
		}
	}
	switch {
	case o.Ended || o.Paused || w.Step != Waiting || w.Named > 0:
		return errors.New("it does not wait to be named")
	case ahead >= o.Most:
		return fmt.Errorf("%d are named already", ahead)
	case w.Machine.Proxy == "" && (f.Left < o.Keep*o.Fleet || f.ZoneLeft < 1):
		return fmt.Errorf("no room for those who are cut off: %.3g of weight %.3g would stay, %d in zone %s",
			f.Left, o.Fleet, f.ZoneLeft, w.Machine.Zone)
	}
	return f.room(o)
}

// room says why the measured room would not do without a machine, nil if it would, or is not known.
func (f *Fact) room(o *Order) error {
	if f.Room > 0 && f.Room < (1+o.Margin)*f.Busy {
		return fmt.Errorf("no room: the others could hold %.3g requests, %.3g are in work (order %s: margin %.3g)",
			f.Room, f.Busy, o.ID, o.Margin)
	}
	return nil
}

// May says why a machine can't be granted now, nil if it can.
func (s *State) May(w *Work, f *Fact) error {
	o := s.Order(w.Order)
	switch {
	case o == nil || f == nil:
		return errors.New("no order, or no facts")
	case o.Ended:
		return errors.New("the order is cancelled")
	case o.Paused:
		return errors.New("the order is paused")
	}
	if w.Named == 0 {
		return errors.New("the proxies have not been told yet that it may go out")
	}
	// Guards against a proxy that was cut off before it was told that the machine may go out: it would go on
	// sending there after its lease has run out.
	if key := s.AllKnow(w); key != "" {
		return fmt.Errorf("proxy %s does not know of the order yet", key)
	}
	all, zone, kind := s.Missing(w.Machine.Zone, w.Machine.Kind)
	// Every order that has a machine out has its own limits kept, too.
	for _, a := range s.Orders {
		if a != o && !slices.ContainsFunc(s.Works, func(v *Work) bool { return v.Order == a.ID && v.Step.gone() }) {
			continue
		}
		switch {
		case all >= a.Most:
			return fmt.Errorf("%d out already (order %s: most %d)", all, a.ID, a.Most)
		case a.MostZone > 0 && zone >= a.MostZone:
			return fmt.Errorf("%d of zone %s out already (order %s: most-zone %d)", zone, w.Machine.Zone, a.ID,
				a.MostZone)
		case a.MostKind > 0 && kind >= a.MostKind:
			return fmt.Errorf("%d of model %s out already (order %s: most-kind %d)", kind, w.Machine.Kind, a.ID,
				a.MostKind)
		case f.Left < a.Keep*a.Fleet:
			return fmt.Errorf("no room: %.3g of weight %.3g would stay, order %s keeps %.3g", f.Left, a.Fleet, a.ID,
				a.Keep*a.Fleet)
		}
		if err := f.room(a); err != nil {
			return err
		}
	}
	if f.Hot {
		return errors.New("it serves a hot key now")
	}
	if w.Machine.Proxy != "" && f.Voter {
		for _, v := range s.Works {
			if v.Voter && v.Step.gone() {
				return fmt.Errorf("the voter %s is out, and voters go one at a time", v.Machine.Proxy)
			}
		}
	}
	if f.ZoneLeft < 1 {
		return fmt.Errorf("it is the last room of zone %s", w.Machine.Zone)
	}
	return nil
}

// AllKnow is the first party that has not said that it knows a machine as named, "" if all have.
func (s *State) AllKnow(w *Work) string {
	for _, p := range s.sorted() {
		if w.concerns(p) && !p.knows(w.Named) {
			return p.Key()
		}
	}
	return ""
}

// Missing counts the machines that are missing to the fleet for work: all, of a zone, of a model.
func (s *State) Missing(zone, kind string) (all, inZone, ofKind int) {
	for _, w := range s.Works {
		if !w.Step.gone() {
			continue
		}
		all++
		if w.Machine.Zone == zone {
			inZone++
		}
		if w.Machine.Kind == kind {
			ofKind++
		}
	}
	return all, inZone, ofKind
}

// Holding is the first party that may still have something at a machine, "" if there is none: it has not
// said that it is clear, its lease is not among those that have surely run out, and it joined before the
// grant (one that joins later knows of it with its first lease, or by what its disk knew before).
func (s *State) Holding(w *Work, expired []string) string {
	for _, p := range s.sorted() {
		stopped := slices.Contains(expired, p.Key()) && p.knows(w.Named)
		later := p.Joined > w.Granted && p.knows(w.Named)
		if w.concerns(p) && !later && !w.Clear[p.Key()] && !stopped {
			return p.Key()
		}
	}
	return ""
}
