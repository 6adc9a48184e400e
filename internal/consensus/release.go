//go:build !rig

package consensus

// rigFull tells whether a disk is to be taken for full. Only test builds ever do.
func rigFull(string) error { return nil }
