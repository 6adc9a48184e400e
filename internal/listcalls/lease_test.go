package listcalls

import (
	"testing"
	"time"
)

// TestLease has a row for each sentence of the protocol's pages on when a change counts as notified that the
// proxy was not told, and for what extends nothing. Times are those from which on nothing may be sent.
func TestLease(t *testing.T) {
	const ms = time.Millisecond
	heard := func(l *Lease) { l.answered(10 * second) }
	for name, tc := range map[string]struct {
		every time.Duration
		play  func(*Lease)
		want  time.Duration
	}{
		"a process that starts": {play: func(*Lease) {}, want: 0},
		"a list that was known at the start": {play: func(l *Lease) { l.known(2 * second) },
			want: 2*second + 100*ms},
		"an answer that was under way":     {play: heard, want: 15 * second},
		"no watch for the time for asking": {every: 2 * second, play: heard, want: 12 * second},
		"a watch that goes on": {play: func(l *Lease) {
			heard(l)
			l.watched(10*second, 8*second)
		}, want: 20 * second},
		"a call that was turned away": {play: func(l *Lease) {
			heard(l)
			l.failed(14*second + ms)
		}, want: 20*second + ms},
		"the same, asked for often": {every: second, play: func(l *Lease) {
			heard(l)
			l.failed(14*second + ms)
		}, want: 18*second + ms},
		"a call that failed in a queue": {play: func(l *Lease) {
			heard(l)
			l.failed(16 * second)
		}, want: 22 * second},
		"a watch that broke": {play: func(l *Lease) {
			heard(l)
			l.watched(10*second, 10*second)
			l.failed(18 * second)
		}, want: 24 * second},
		"a call that is out after one that failed": {play: func(l *Lease) {
			heard(l)
			l.failed(14 * second)
			l.called(15*second, 3*second)
		}, want: 20 * second},
		"the same, which may wait for less": {play: func(l *Lease) {
			heard(l)
			l.failed(14 * second)
			l.called(15*second, second)
		}, want: 18 * second},
		"a silent watch": {play: func(l *Lease) {
			heard(l)
			l.watched(10*second, 8*second)
			l.silent(10*second, 8*second)
		}, want: 20 * second},
		"a silent watch that may wait for little": {play: func(l *Lease) {
			heard(l)
			l.watched(10*second, second)
			l.silent(10*second, second)
		}, want: 16 * second},
		"calls that fail after a silent one": {play: func(l *Lease) {
			heard(l)
			l.watched(10*second, second)
			l.silent(10*second, second)
			l.called(12*second, 0)
			l.failed(13 * second)
			l.failed(20 * second)
		}, want: 16 * second},
		"a service out of reach": {play: func(l *Lease) {
			heard(l)
			l.unreachable(30 * second)
		}, want: 36 * second},
		"another address": {play: func(l *Lease) {
			heard(l)
			l.watched(10*second, 10*second)
			l.moved(13 * second)
		}, want: 17 * second},
		"another address, twice": {play: func(l *Lease) {
			heard(l)
			l.watched(10*second, 10*second)
			l.moved(13 * second)
			l.moved(16 * second)
		}, want: 17 * second},
	} {
		l := Lease{every: tc.every}
		if tc.play(&l); l.Until() != tc.want {
			t.Errorf("%s: until %v, want %v", name, l.Until(), tc.want)
		}
	}
}
