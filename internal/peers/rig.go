//go:build rig

package peers

import (
	"os"
	"strconv"
)

// rigLevel is what the program is to understand at most, as an earlier one; 0: all that it does.
func rigLevel() uint64 {
	level, _ := strconv.ParseUint(os.Getenv("RIG_LEVEL"), 10, 8)
	return level
}
