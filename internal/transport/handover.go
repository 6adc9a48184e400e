package transport

import (
	"fmt"
	"log"
	"math"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cloudwego/netpoll"

	lg "lilacglade"
	"lilacglade/internal/reducer"
	"lilacglade/internal/settings"
	"lilacglade/internal/transient"
	"lilacglade/internal/upgrade"
)

// Durations of an upgrade, where the listening socket is shared.
const (
	confirmTimeout   = 3 * time.Second        // a new process waits this long at most for discovery
	overlapDuration  = 10 * time.Second       // the old process exits within this time of the new one's start
	handoverInterval = 250 * time.Millisecond // minimum time between two handovers written
)

// Fractions of the memory limit that the Go runtime may use before it collects harder. The rest is
// for the kernel's part of the sockets and for the program itself, which exists twice while two
// processes run.
const (
	memoryFraction       = 0.75
	sharedMemoryFraction = 0.3
)

// setRuntimeLimits keeps the runtime within the limits, and within less memory while another
// process needs a part of it.
func setRuntimeLimits(limits settings.Limits, shared bool) {
	fraction := memoryFraction
	if shared {
		fraction = sharedMemoryFraction
	}
	runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	debug.SetMemoryLimit(int64(fraction * float64(limits.MemoryMB) * (1 << 20)))
}

// applyLimits applies the current limits. The old process of an upgrade returns the memory that it
// no longer needs.
func (p *proxy) applyLimits() {
	stopping := p.listener.closed.Load()
	shared := p.socketShared && (stopping || p.uptime() < overlapDuration)
	setRuntimeLimits(p.limits, shared)
	p.memory.setLimit(int64(p.limits.MemoryMB)<<20, shared)
	if stopping && p.socketShared {
		go debug.FreeOSMemory()
	}
}

// listen opens the address, or takes over the socket that was passed.
func listen(node settings.Node) (netpoll.Listener, error) {
	if node.PassedSocket != "" {
		ln, err := upgrade.InheritedListener(node.PassedSocket)
		if err != nil {
			return nil, err // not ln: a nil pointer in an interface is not nil
		}
		return ln, nil
	}
	var ln netpoll.Listener
	if err := transient.Retry(listenRetryTimeout, transient.Opening, func() (err error) {
		ln, err = netpoll.CreateListener("tcp", node.Listen)
		return err
	}); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// listenRetryTimeout is how long an address that can't be listened on is retried: the previous
// process may still be exiting there.
const listenRetryTimeout = 3 * time.Second

// readyToAccept reports whether connections may be accepted: at once where no other process would
// accept them, else once they can be served and the others claim the names of their requests, or when that
// takes too long.
func (p *proxy) readyToAccept() bool {
	return !p.socketShared || p.state.Ready() && p.namesReady() || p.uptime() >= confirmTimeout
}

// applyKnownList applies a server list that may be outdated.
func (p *proxy) applyKnownList(raw []byte) bool {
	var list lg.List
	doc, err := p.decoder.Decode(raw)
	if err == nil {
		list, err = p.servers.ApplyCached(doc, p.now())
	}
	if err != nil {
		p.servers.RequestFull()
		log.Printf("known: %v", err)
		return false
	}
	if !p.settings.AskForList {
		// Otherwise a watch would wait for changes while the outdated list is in use.
		p.servers.RequestFull()
	}
	p.step(reducer.ListReceived{List: list, NextFull: !p.servers.CanWatch()})
	return true
}

// takeOver applies what the previous process handed over. If any of it is unusable, this process
// starts from its configuration alone.
func (p *proxy) takeOver(node settings.Node) bool {
	if !p.socketShared || node.HandoverDir == "" {
		return false
	}
	p.handoverWriter = newHandoverWriter(node.HandoverDir)
	now := upgrade.Now()
	handover, err := upgrade.Load(node.HandoverDir, now)
	if err == upgrade.ErrNoHandover {
		return false
	}
	if err != nil {
		log.Printf("cold start: %v", err)
		return false
	}
	if handover.Epoch > 0 && handover.Boot == now.Boot {
		p.servers.SetEpoch(handover.Epoch + now.Monotonic - p.now())
	}
	if !p.applyKnownList(handover.Routes) {
		return false
	}
	p.step(reducer.LearnedReceived{Age: max(0, handover.Age), Learned: handover.Learned})
	log.Printf("took over from a process that wrote %v ago", handover.Age.Round(time.Millisecond))
	return true
}

// saveHandover passes the state for the next process to the writer, at intervals of at least
// handoverInterval.
func (p *proxy) saveHandover() {
	if p.handoverWriter == nil || time.Since(p.handoverWriter.lastSave) < handoverInterval || !p.state.Ready() {
		return
	}
	p.handoverWriter.lastSave = time.Now()
	handover := upgrade.Handover{Routes: p.servers.Encode(), Learned: p.state.Learned()}
	now := upgrade.Now()
	handover.Stamp(now)
	if now.Monotonic > 0 {
		handover.Epoch = p.servers.Epoch() - (now.Monotonic - p.now())
	}
	select {
	case p.handoverWriter.pending <- handover:
	default: // the disk is slow: a later one will do
	}
}

// handoverWriter writes handovers on a goroutine of its own, so that the disk doesn't block the
// reducer.
type handoverWriter struct {
	pending  chan upgrade.Handover
	lastSave time.Time
}

// newHandoverWriter starts a writer to a directory. It logs when writing begins and ceases to fail.
func newHandoverWriter(dir string) *handoverWriter {
	writer := &handoverWriter{pending: make(chan upgrade.Handover, 1)}
	go func() {
		failing := false
		for handover := range writer.pending {
			err := upgrade.Save(dir, handover)
			if failed := err != nil; failed != failing {
				failing = failed
				log.Printf("saving the handover: %v", err)
			}
		}
	}()
	return writer
}

// staleClassDuration is how long classes that a new configuration has dropped are still accepted,
// by their old rules.
const staleClassDuration = 3 * time.Second

// applySettings applies new settings to what is read from now on, unless the decider doesn't
// support that. Zones and kinds are numbered by the new names. Where these differ, the server list
// must be applied again: it is returned.
func (p *proxy) applySettings(updated settings.Settings) (known []byte) {
	if !p.state.SupportsRetune() {
		return nil
	}
	previous := p.settings
	updated.Settings = updated.Settings.RetainingClasses(previous.Settings)
	p.settings, p.staleClassesUntil = updated, p.now()+staleClassDuration
	if !slices.Equal(previous.ZoneNames, updated.ZoneNames) ||
		!slices.Equal(previous.KindNames, updated.KindNames) {
		known = p.servers.Encode()
		p.servers = p.servers.WithNames(updated.ZoneNames, updated.KindNames)
	}
	return known
}
