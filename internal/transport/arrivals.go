package transport

import "time"

// maxArrivals limits what is remembered of a client that sends its next requests in many pieces. Beyond it
// pieces count as read together with the one before: never later than they were.
const maxArrivals = 64

// arrivals remembers when the bytes of a client connection were read that no request has been taken from.
// With several requests in one buffer, the time of each counts from its own last byte.
type arrivals struct {
	fed   int64 // bytes read since the connection began
	reads []arrival
}

// arrival is one read.
type arrival struct {
	end int64 // value of fed after it
	at  time.Time
}

// add records a read.
func (a *arrivals) add(size int, at time.Time) {
	if size == 0 {
		return
	}
	a.fed += int64(size)
	if len(a.reads) == maxArrivals {
		a.reads[maxArrivals-1].end = a.fed
		return
	}
	a.reads = append(a.reads, arrival{a.fed, at})
}

// take returns when the last byte was read that is not buffered any more, and forgets what came before
// it. At least one read must have been added.
func (a *arrivals) take(buffered int) time.Time {
	consumed := a.fed - int64(buffered)
	first := 0
	for first < len(a.reads)-1 && a.reads[first].end < consumed {
		first++
	}
	at := a.reads[first].at
	a.reads = append(a.reads[:0], a.reads[first:]...)
	return at
}

// latest returns when the last bytes were read. At least one read must have been added.
func (a *arrivals) latest() time.Time { return a.reads[len(a.reads)-1].at }

// last returns when the last bytes were read, and forgets all reads before: no request ends in them.
func (a *arrivals) last() time.Time {
	a.reads = append(a.reads[:0], a.reads[len(a.reads)-1])
	return a.reads[0].at
}
