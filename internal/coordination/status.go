package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Status returns the current state as text for operators.
func (c *Coordinator) Status() string {
	var b strings.Builder
	work, v := c.replica.Maintenance, c.view()
	fmt.Fprintf(&b, "index %d leader %s term %d voters", work.Index, c.cfg.Name, c.leadership.term)
	for _, id := range slices.Sorted(maps.Keys(c.replica.Voters)) {
		fmt.Fprintf(&b, " %s", c.replica.Voters[id].Name)
	}
	b.WriteByte('\n')
	room := 0.0
	for _, m := range v.Machines {
		if m.Ready {
			room += m.Capacity
		}
	}
	fmt.Fprintf(&b, "level %d busy %.3g of room for %.3g requests, %.2g refused\n", work.Level, v.InFlight, room,
		v.ShedFraction)
	for _, key := range slices.Sorted(maps.Keys(work.Participants)) {
		p := work.Participants[key]
		age := "never"
		if at, ok := c.leadership.renewed[key]; ok {
			age = (c.now - at).Round(TickEvery).String() + " ago"
		}
		fmt.Fprintf(&b, "proxy %s knows %d renewed %s", key, p.KnownIndex(), age)
		if p.Gone {
			b.WriteString(" gone")
		}
		b.WriteByte('\n')
	}
	for _, o := range work.Orders {
		fmt.Fprintf(&b, "order %s most %d keep %.3g", o.ID, o.MaxOut, o.Keep)
		if o.Paused {
			b.WriteString(" paused")
		}
		if o.Ended {
			b.WriteString(" cancelled")
		}
		b.WriteByte('\n')
	}
	for _, w := range work.Works {
		fmt.Fprintf(&b, "machine %s %v number %d order %s", w.Machine.ID, w.Step, w.Number, w.Order)
		if why := work.WaitReason(w, v); why != "" {
			fmt.Fprintf(&b, " why %s", why)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
