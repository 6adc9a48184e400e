package transport

import (
	"errors"
	"slices"
	"time"

	lg "lilacglade"
	"lilacglade/internal/coordination"
	"lilacglade/internal/fencing"
	"lilacglade/internal/maintenance"
	"lilacglade/internal/peers"
	"lilacglade/internal/reducer"
	"lilacglade/internal/serverlist"
	"lilacglade/internal/settings"
)

// loads is what the other proxies were told of this one's load.
type loads struct {
	handled, refused uint64
	names            map[lg.ServerID]string // of the next hops, as discovery lists them
}

// join has this proxy take part among its peers.
func (p *proxy) join(cfg peers.Config, node settings.Node) (err error) {
	var longest time.Duration
	for _, c := range p.set.Classes {
		longest = max(longest, c.Deadline)
	}
	p.peers, err = peers.Start(cfg, peers.Options{Name: node.Name, Seed: node.Seed, Grace: longest,
		WarmAfter: p.set.WarmWithin, Now: p.now, ID: serverlist.ID,
		Facts: func(f fencing.Restrictions[lg.ServerID], own uint64) { p.inbox.post(settled{f, own}) }})
	return err
}

// errBeginsLate says that an attempt was not begun since its time was over.
var errBeginsLate = errors.New("too late to begin")

// heldFor is how long after it was decided an attempt may begin. Its client may leave, its server begin to
// drain, and the deadline that it tells run out in that time, which the rules allow for; not in more.
const heldFor = 100 * time.Millisecond

// late is asked just before a request is written. Guards against a process that was held up there: the time
// for the attempt may be over, or the machine out by now, so nothing is written, and said is posted; or it
// is to be decided anew.
func (p *proxy) late(e reducer.Effect, said written) func() bool {
	decided := p.now()
	return func() bool {
		now := p.now()
		switch {
		case e.Begin > 0 && now >= e.Begin, now >= e.At:
			said.err = errBeginsLate
			p.inbox.post(said)
		case now-decided > heldFor:
			p.inbox.post(unsent{said.leg})
		default:
			return false
		}
		return true
	}
}

// published shows the figures to operators, and what follows from them to the other proxies.
func (p *proxy) published(f *reducer.Figures) {
	if p.door != nil {
		p.door.Show(f)
	}
	if p.peers == nil {
		return
	}
	now := loads{names: p.loads.names}
	for _, h := range f.Handled {
		now.handled += h.Passed + h.Dropped + h.BadGateway
		now.refused += h.Dropped
	}
	l := coordination.Load{Handled: now.handled - p.loads.handled, Shed: now.refused - p.loads.refused}
	for _, r := range f.Rooms {
		l.InFlight += float64(r.Out)
		name, ok := now.names[r.Server]
		if r.Aside && ok {
			l.Ejected = append(l.Ejected, name)
		}
		if ok {
			l.Capacities = append(l.Capacities, coordination.Capacity{Machine: name, Requests: r.Most})
		}
	}
	for _, id := range f.Hot {
		if name, ok := now.names[id]; ok {
			l.Hot = append(l.Hot, name)
		}
	}
	p.peers.Load(l)
	p.loads = now
}

// inventory tells the other proxies' council what discovery lists.
func (p *proxy) inventory() {
	if p.peers == nil {
		return
	}
	var all []maintenance.Seen
	p.loads.names = map[lg.ServerID]string{}
	for _, in := range p.servers.Instances() {
		p.loads.names[serverlist.ID(in.Name)] = in.Name
		all = append(all, maintenance.Seen{Ready: in.State == lg.Ready, Machine: maintenance.Machine{ID: in.Name,
			Zone: in.Zone, Kind: in.Kind, Weight: in.Weight, Started: in.Started}})
	}
	p.peers.Inventory(slices.Clip(all))
}
