package soak

import "slices"

// Shrink takes events out of a schedule that fails, for as long as it fails without them: first halves, then
// smaller parts, then one by one.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for part := len(s) / 2; part > 0; part /= 2 {
		for i := 0; i+part <= len(s); {
			less := slices.Delete(slices.Clone(s), i, i+part)
			if fails(less) {
				s = less
			} else {
				i += part
			}
		}
	}
	return s
}
