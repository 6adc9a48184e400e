package transport

import "runtime"

// yield lets other goroutines run. One that always has more to do for its connection calls it after each
// piece of that. With one processor, Go's scheduler otherwise lets it run for 10 ms, and what it wakes next
// to it, while the poller and all other connections wait: 10 ms at each of the some ten steps of a request.
func yield() { runtime.Gosched() }
