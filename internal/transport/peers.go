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
type publishedLoad struct {
	handled, rejected uint64
	serverNames       map[lg.ServerID]string // of the next hops, as discovery lists them
}

// join has this proxy take part among its peers.
func (p *proxy) joinPeers(cfg peers.Config, node settings.Node) (err error) {
	var longest time.Duration
	for _, class := range p.settings.Classes {
		longest = max(longest, class.Deadline)
	}
	p.peers, err = peers.Start(cfg, peers.Options{Name: node.Name, Seed: node.Seed, Grace: longest,
		WarmAfter: p.settings.WarmWithin, Now: p.now, ID: serverlist.ID,
		Facts: func(facts fencing.Facts[lg.ServerID], own uint64) { p.inbox.post(factsUpdated{facts, own}) }})
	return err
}

// errBeginsLate says that an attempt was not begun since its time was over.
var errTooLate = errors.New("too late to begin")

// heldFor is how long after it was decided an attempt may begin. Its client may leave, its server begin to
// drain, and the deadline that it tells run out in that time, which the rules allow for; not in more.
const maxWriteDelay = 100 * time.Millisecond

// late is asked just before a request is written. Guards against a process that was held up there: the time
// for the attempt may be over, or the machine out by now, so nothing is written, and said is posted; or it
// is to be decided anew.
func (p *proxy) tooLateCheck(effect reducer.Effect, report written) func() bool {
	decided := p.now()
	return func() bool {
		now := p.now()
		switch {
		case effect.StartBy > 0 && now >= effect.StartBy, now >= effect.At:
			report.err = errTooLate
			p.inbox.post(report)
		case now-decided > maxWriteDelay:
			p.inbox.post(requestUnsent{report.conn})
		default:
			return false
		}
		return true
	}
}

// published shows the figures to operators, and what follows from them to the other proxies.
func (p *proxy) publish(figures *reducer.Metrics) {
	if p.adminServer != nil {
		p.adminServer.Show(figures)
	}
	if p.peers == nil {
		return
	}
	now := publishedLoad{serverNames: p.lastPublished.serverNames}
	for _, handled := range figures.Handled {
		now.handled += handled.Passed + handled.Dropped + handled.BadGateway
		now.rejected += handled.Dropped
	}
	load := coordination.Load{Handled: now.handled - p.lastPublished.handled, Refused: now.rejected - p.lastPublished.rejected}
	for _, room := range figures.Headroom {
		load.Busy += float64(room.InFlight)
		name, ok := now.serverNames[room.Server]
		if room.Ejected && ok {
			load.Avoids = append(load.Avoids, name)
		}
		if ok {
			load.Rooms = append(load.Rooms, coordination.Room{Machine: name, Most: room.MaxInFlight})
		}
	}
	for _, id := range figures.HotKeyServers {
		if name, ok := now.serverNames[id]; ok {
			load.Hot = append(load.Hot, name)
		}
	}
	p.peers.Load(load)
	p.lastPublished = now
}

// inventory tells the other proxies' council what discovery lists.
func (p *proxy) publishInventory() {
	if p.peers == nil {
		return
	}
	var machines []maintenance.Seen
	p.lastPublished.serverNames = map[lg.ServerID]string{}
	for _, instance := range p.servers.Instances() {
		p.lastPublished.serverNames[serverlist.ID(instance.Name)] = instance.Name
		machines = append(machines, maintenance.Seen{Ready: instance.State == lg.Ready, Machine: maintenance.Machine{ID: instance.Name,
			Zone: instance.Zone, Kind: instance.Kind, Weight: instance.Weight, Started: instance.Started}})
	}
	p.peers.Inventory(slices.Clip(machines))
}
