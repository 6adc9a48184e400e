package serverlist

import (
	"slices"
	"testing"

	lg "lilacglade"
)

// TestServerIsOneProcess guards against a new process that is taken for the one before at its address, or of
// its name.
func TestServerIsOneProcess(t *testing.T) {
	const here, there = "127.0.0.1:81", "127.0.0.1:82" // s-1 listens here, started at 1700000060000
	const earlier, same, later = "1700000050000", "1700000060000", "1700000070000"
	for name, tc := range map[string]struct {
		documents    []string // changes, in order
		gone, listed []string
		replaced     bool // s-1 is another process
	}{
		"a later one at the same address": {[]string{entry("s-2", here, "ready", "1", later)},
			[]string{"s-1"}, []string{"s-2"}, false},
		"the earlier one is still named": {[]string{entry("s-2", here, "ready", "1", later), good},
			nil, []string{"s-2"}, false},
		"an earlier one at the same address": {[]string{entry("s-2", here, "ready", "1", earlier)},
			nil, []string{"s-1"}, false},
		"which is later is not known": {[]string{entry("s-2", here, "ready", "1", same)},
			nil, []string{"s-1", "s-2"}, false},
		"the address is free again": {[]string{entry("s-2", here, "ready", "1", later),
			entry("s-2", here, "gone", "1", later), good}, nil, []string{"s-1"}, false},
		"the same instance elsewhere": {[]string{entry("s-1", there, "ready", "1.5", same)},
			nil, []string{"s-1"}, true},
		"the same instance started anew": {[]string{entry("s-1", here, "ready", "1.5", later)},
			nil, []string{"s-1"}, true},
		"the same instance drains": {[]string{entry("s-1", here, "draining", "1.5", same)},
			nil, []string{"s-1"}, false},
	} {
		s := newTestStore(t)
		var list lg.List
		for _, entries := range tc.documents {
			var err error
			if list, err = apply(s, doc("43", "false", entries), testNow); err != nil {
				t.Fatal(name, err)
			}
		}
		var gone, listed []string
		for _, id := range []string{"s-1", "s-2"} {
			isGone := func(l lg.Server) bool { return l.ID == ID(id) && l.State == lg.Gone }
			if len(tc.documents) == 1 && slices.ContainsFunc(list.Servers, isGone) {
				gone = append(gone, id)
			}
			if s.Address(ID(id)) != "" {
				listed = append(listed, id)
			}
		}
		if !slices.Equal(gone, tc.gone) || !slices.Equal(listed, tc.listed) ||
			(len(s.Replaced()) > 0) != tc.replaced {
			t.Errorf("%s: gone %v, listed %v, replaced %v", name, gone, listed, s.Replaced())
		}
	}
}
