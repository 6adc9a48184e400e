//go:build !rig

package consensus

// rigFull simulates a full disk in test builds (tag rig); here it never does.
func rigFull(string) error { return nil }
