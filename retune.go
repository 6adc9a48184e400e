package lilacglade

import (
	"slices"
	"time"
)

// maxRetainedClasses limits the classes kept for requests that began before their class was
// dropped.
const maxRetainedClasses = 64

// RetainingClasses returns s as the successor of the old settings. Classes that s has dropped or
// changed are appended to those that it offers, for requests that have already begun.
func (s Settings) RetainingClasses(old Settings) Settings {
	offered := s.offeredClasses()
	s.Offered, s.Classes = len(offered), slices.Clone(offered)
	for _, c := range old.Classes {
		if len(s.Classes) < s.Offered+maxRetainedClasses && !slices.Contains(s.Classes, c) {
			s.Classes = append(s.Classes, c)
		}
	}
	return s
}

// offeredClasses returns the classes offered to new requests.
func (s Settings) offeredClasses() []Class {
	if s.Offered == 0 {
		return s.Classes
	}
	return s.Classes[:s.Offered]
}

// Retune applies new settings, as returned by RetainingClasses, to future requests. Requests that
// have begun keep their class and their number of attempts. On an error nothing changes.
func (b *Balancer) Retune(now time.Duration, settings Settings) error {
	if err := settings.check(); err != nil {
		return err
	}
	b.now = now
	old := b.settings
	oldIndex := func(i int) int { // old index of the class, or of the one with its name if it changed, or -1
		if index := slices.Index(old.Classes, settings.Classes[i]); index >= 0 {
			return index
		}
		return slices.IndexFunc(old.Classes, func(c Class) bool { return c.Name == settings.Classes[i].Name })
	}
	count := len(settings.Classes)
	workEstimators, oldIndexes, firstAttempts := make([]linearRegression, count), make([]int, count),
		make([]firstAttemptEstimator, count)
	// A new class counts as average until it is known. Otherwise it may be shed for a guess of its
	// work.
	meanWork := 0.0
	for _, w := range b.workEstimators {
		meanWork += w.meanY / float64(len(b.workEstimators))
	}
	for i := range settings.Classes {
		workEstimators[i] = linearRegression{meanY: meanWork}
		if oldIndexes[i] = oldIndex(i); oldIndexes[i] >= 0 {
			workEstimators[i], firstAttempts[i] = b.workEstimators[oldIndexes[i]], b.firstAttempts[oldIndexes[i]]
		}
	}
	for _, s := range b.servers {
		health := make([]classHealth, len(settings.Classes))
		for i, index := range oldIndexes {
			if index >= 0 {
				health[i] = s.classHealth[index]
			}
		}
		s.classHealth = health
	}
	for _, r := range b.requests {
		r.Class = max(0, slices.Index(settings.Classes, old.Classes[r.Class]))
	}
	oldTokens := b.tenantTokens
	b.settings, b.workEstimators, b.firstAttempts, b.tenantTokens = settings, workEstimators, firstAttempts, nil
	for _, t := range settings.Tenants {
		tokens := t.Allowance / float64(settings.Balancers)
		if index := slices.IndexFunc(old.Tenants, func(o Tenant) bool { return o.Name == t.Name }); index >= 0 {
			tokens = min(tokens, oldTokens[index])
		}
		b.tenantTokens = append(b.tenantTokens, tokens)
	}
	b.deriveFromSettings()
	return nil
}
