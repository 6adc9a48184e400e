// Package emulator is the emulator: a fleet of album servers, discovery, the network between the
// substations, callers, troubles, and the judge of the rules. It is pure: it does no I/O, starts no
// goroutine, and its only time is what it is told. All that waits for a time is held by its Clock;
// all chance comes from the scenario's seed.
//
// A Driver stands between the world and the proxies. The virtual one runs reducers in the same
// process and the same virtual time; the sockets one speaks real HTTP/1.1 with real programs. Both
// call the same World, so a scenario means the same in either.
package emulator
