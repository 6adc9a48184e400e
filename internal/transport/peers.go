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

// publishedLoad holds the totals at the last load report to the other proxies.
type publishedLoad struct {
	handled, rejected uint64
	serverNames       map[lg.ServerID]string // as discovery lists them
}

// joinPeers connects this proxy to its peers.
func (p *proxy) joinPeers(cfg peers.Config, node settings.Node) (err error) {
	var longest time.Duration
	for _, class := range p.settings.Classes {
		longest = max(longest, class.Deadline)
	}
	p.peers, err = peers.Start(cfg, peers.Options{Name: node.Name, Seed: node.Seed, Grace: longest,
		WarmAfter: p.settings.WarmWithin, Now: p.now, ID: serverlist.ID,
		Facts: func(facts fencing.Restrictions[lg.ServerID], ownGrant uint64) {
			p.inbox.post(fencingUpdated{facts, ownGrant})
		}})
	return err
}

// errTooLate reports that an attempt was not begun because its deadline had passed.
var errTooLate = errors.New("too late to begin")

// maxWriteDelay limits how long after it was decided an attempt may begin. In that time its client
// may leave, its server begin to drain, and the reported deadline run out; the rules allow for
// these within this delay only.
const maxWriteDelay = 100 * time.Millisecond

// tooLateCheck returns a check that runs just before a request is written. If the process was
// delayed until then, the attempt's deadline may have passed or the machine may be out by now: then
// nothing is written and report is posted. After a delay of more than maxWriteDelay the reducer
// decides again.
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

// publish reports the metrics to operators, and the load derived from them to the other proxies.
func (p *proxy) publish(metrics *reducer.Metrics) {
	if p.adminServer != nil {
		p.adminServer.Publish(metrics)
	}
	if p.peers == nil {
		return
	}
	now := publishedLoad{serverNames: p.lastPublished.serverNames}
	for _, handled := range metrics.Handled {
		now.handled += handled.Passed + handled.Dropped + handled.BadGateway
		now.rejected += handled.Dropped
	}
	load := coordination.Load{Handled: now.handled - p.lastPublished.handled,
		Shed: now.rejected - p.lastPublished.rejected}
	for _, headroom := range metrics.Headroom {
		load.InFlight += float64(headroom.InFlight)
		name, ok := now.serverNames[headroom.Server]
		if headroom.Ejected && ok {
			load.Ejected = append(load.Ejected, name)
		}
		if ok {
			load.Capacities = append(load.Capacities, coordination.Capacity{Machine: name,
				Requests: headroom.MaxInFlight})
		}
	}
	for _, id := range metrics.HotKeyServers {
		if name, ok := now.serverNames[id]; ok {
			load.Hot = append(load.Hot, name)
		}
	}
	p.peers.Load(load)
	p.lastPublished = now
}

// publishInventory reports the servers that discovery lists to the coordination group.
func (p *proxy) publishInventory() {
	if p.peers == nil {
		return
	}
	var machines []maintenance.MachineView
	p.lastPublished.serverNames = map[lg.ServerID]string{}
	for _, instance := range p.servers.Instances() {
		p.lastPublished.serverNames[serverlist.ID(instance.Name)] = instance.Name
		machines = append(machines, maintenance.MachineView{Ready: instance.State == lg.Ready,
			Machine: maintenance.Machine{ID: instance.Name, Zone: instance.Zone, Model: instance.Kind,
				Weight: instance.Weight, Started: instance.Started}})
	}
	p.peers.Inventory(slices.Clip(machines))
}
