package transport

import (
	"log"
	"slices"
	"time"

	lg "lilacglade"
	"lilacglade/internal/reducer"
	"lilacglade/internal/settings"
	"lilacglade/internal/upgrade"
)

// Intervals of looking for other processes of this proxy. A process that has been killed leaves the names
// that it had claimed by the last look.
const (
	processLookInterval = 50 * time.Millisecond // while there is no other one,
	namesLookInterval   = 20 * time.Millisecond // and while there is
	// namesKeptAtEnd is how long a process that ends keeps its names claimed, for the others to learn of them.
	namesKeptAtEnd = 5 * namesLookInterval
)

// maxForeignNames limits the names of other processes that are remembered when they end.
const maxForeignNames = 4096

// otherProcesses reports a change in what is known of the other processes of this proxy.
type otherProcesses struct {
	count    int
	allClaim bool     // they all claim the names of their requests
	left     []uint64 // names that those had claimed that have ended since the last report
}

// nameSharing keeps the names of open requests apart between the processes of this proxy, while there are
// several. It belongs to the reducer's goroutine; nil if no other process can be there.
type nameSharing struct {
	registry *upgrade.NameRegistry
	claiming bool
	allClaim bool
}

// joinProcesses joins the other processes of this proxy, if there may be any, and watches for them from then
// on. If they can't be joined, names are not kept apart.
func (p *proxy) joinProcesses(node settings.Node) {
	if !p.socketShared || node.HandoverDir == "" {
		return
	}
	registry, err := upgrade.OpenNameRegistry(node.HandoverDir)
	if err != nil {
		log.Printf("names of requests can't be shared with another process: %v", err)
		return
	}
	p.names = &nameSharing{registry: registry, allClaim: true}
	watch := processWatch{registry: registry}
	if report, changed := watch.look(); changed {
		p.otherProcessesChanged(report)
	}
	go watch.run(p.inbox)
}

// processWatch looks for changes among the other processes.
type processWatch struct {
	registry *upgrade.NameRegistry
	last     otherProcesses
	names    []uint64 // what the others had claimed at the last look, sorted
}

// run reports changes until the process ends.
func (w *processWatch) run(inbox *inbox) {
	for {
		interval := processLookInterval
		if w.last.count > 0 {
			interval = namesLookInterval
		}
		time.Sleep(interval)
		if report, changed := w.look(); changed {
			inbox.post(report)
		}
	}
}

// look returns what has changed since the last look.
func (w *processWatch) look() (report otherProcesses, changed bool) {
	count, allClaim, err := w.registry.Processes()
	if err != nil {
		return report, false // the next look may tell
	}
	var names []uint64
	if count > 0 {
		if names, err = w.registry.ForeignUnsafe(maxForeignNames); err != nil {
			return report, false
		}
		slices.Sort(names)
	}
	report = otherProcesses{count: count, allClaim: allClaim}
	changed = count != w.last.count || allClaim != w.last.allClaim
	if count < w.last.count {
		report.left = slices.DeleteFunc(w.names, func(name uint64) bool {
			_, still := slices.BinarySearch(names, name)
			return still
		})
	}
	w.last, w.names = otherProcesses{count: count, allClaim: allClaim}, names
	return report, changed
}

// otherProcessesChanged begins to claim names, or ceases to.
func (p *proxy) otherProcessesChanged(report otherProcesses) {
	p.names.allClaim = report.allClaim
	switch {
	case report.count > 0 && !p.names.claiming:
		p.names.claiming = true
		p.step(reducer.NamesShared{On: true})
		p.setClaiming(true)
	case report.count == 0 && p.names.claiming:
		p.setClaiming(false)
		// A process that began before this looks whether the others claim names: it has seen that this one did.
		if others, _, err := p.names.registry.Processes(); others > 0 || err != nil {
			p.setClaiming(true)
			break
		}
		p.names.claiming = false
		p.step(reducer.NamesShared{On: false})
		p.names.registry.ReleaseAll()
	}
	if len(report.left) > 0 {
		p.step(reducer.NamesLeft{Hashes: report.left})
	}
}

// setClaiming tells the other processes whether this one claims names.
func (p *proxy) setClaiming(on bool) {
	if err := p.names.registry.SetClaiming(on); err != nil {
		log.Printf("other processes can't be told of claimed names: %v", err)
	}
}

// namesReady reports whether clients may be accepted as far as names are concerned: all other processes claim
// theirs.
func (p *proxy) namesReady() bool { return p.names == nil || p.names.allClaim }

// claimName claims the name of a request, which another process may have.
func (p *proxy) claimName(request *reducer.RequestReceived) {
	unsafe := p.settings.Classes[request.Class].Effect != lg.Safe
	request.NameClaimed = p.names.registry.Claim(reducer.NameHash(request.Name), unsafe)
	request.NameTaken = !request.NameClaimed
}

// keepNames keeps what is claimed for as long as the others need to learn of it, at the end of this process.
func (p *proxy) keepNames() {
	if p.names != nil && p.names.claiming {
		time.Sleep(namesKeptAtEnd)
	}
}
