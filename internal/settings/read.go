package settings

import (
	"os"
	"time"

	"lilacglade/internal/transient"
)

// readFor is how long a file that can't be read for the moment is tried again. A configuration that was put
// in place is not dropped because the process was out of descriptors when it was told of it.
const readFor = 2 * time.Second

// readFile reads a whole file.
func readFile(path string) (raw []byte, err error) {
	err = transient.Retry(readFor, transient.Reading, func() (err error) {
		raw, err = os.ReadFile(path)
		return err
	})
	return raw, err
}
