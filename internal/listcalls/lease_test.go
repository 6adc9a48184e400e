package listcalls

import (
	"testing"
	"time"
)

// TestLease has one row for each rule of the protocol on when a change that the proxy has not received counts
// as notified, and for what does not extend the lease. The expected times are those from which on nothing may
// be sent.
func TestLease(t *testing.T) {
	const ms = time.Millisecond
	answer := func(l *Lease) { l.answered(10 * second) }
	for name, tc := range map[string]struct {
		pollInterval time.Duration
		steps        func(*Lease)
		want         time.Duration
	}{
		"a process that starts": {steps: func(*Lease) {}, want: 0},
		"a list from an earlier process": {steps: func(l *Lease) { l.cached(2 * second) },
			want: 2*second + 100*ms},
		"an answer":                      {steps: answer, want: 15 * second},
		"an answer, short poll interval": {pollInterval: 2 * second, steps: answer, want: 12 * second},
		"a watch that continues": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, 8*second)
		}, want: 20 * second},
		"a call that was rejected": {steps: func(l *Lease) {
			answer(l)
			l.failed(14*second + ms)
		}, want: 20*second + ms},
		"a call that was rejected, short poll interval": {pollInterval: second, steps: func(l *Lease) {
			answer(l)
			l.failed(14*second + ms)
		}, want: 18*second + ms},
		"a call that failed late": {steps: func(l *Lease) {
			answer(l)
			l.failed(16 * second)
		}, want: 22 * second},
		"answers that can't be used": {steps: func(l *Lease) {
			answer(l)
			l.unusable(11 * second)
			l.called(12*second, 0)
			l.unusable(13 * second)
		}, want: 15 * second},
		"a watch whose answer can't be used": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, 10*second)
			l.unusable(18 * second)
			l.unusable(19 * second)
		}, want: 23 * second},
		"a watch that broke": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, 10*second)
			l.failed(18 * second)
		}, want: 24 * second},
		"a pending call after a failed one": {steps: func(l *Lease) {
			answer(l)
			l.failed(14 * second)
			l.called(15*second, 3*second)
		}, want: 20 * second},
		"a pending call after a failed one, short wait": {steps: func(l *Lease) {
			answer(l)
			l.failed(14 * second)
			l.called(15*second, second)
		}, want: 18 * second},
		"a watch that timed out": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, 8*second)
			l.timedOut(10*second, 8*second)
		}, want: 20 * second},
		"a watch that timed out, short wait": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, second)
			l.timedOut(10*second, second)
		}, want: 16 * second},
		"calls that fail after one that timed out": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, second)
			l.timedOut(10*second, second)
			l.called(12*second, 0)
			l.failed(13 * second)
			l.failed(20 * second)
		}, want: 16 * second},
		"an unreachable service": {steps: func(l *Lease) {
			answer(l)
			l.unreachable(30 * second)
		}, want: 36 * second},
		"a new address": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, 10*second)
			l.addressChanged(13 * second)
		}, want: 17 * second},
		"a new address, twice": {steps: func(l *Lease) {
			answer(l)
			l.watchContinued(10*second, 10*second)
			l.addressChanged(13 * second)
			l.addressChanged(16 * second)
		}, want: 17 * second},
	} {
		l := Lease{pollInterval: tc.pollInterval}
		if tc.steps(&l); l.Until() != tc.want {
			t.Errorf("%s: until %v, want %v", name, l.Until(), tc.want)
		}
	}
}
