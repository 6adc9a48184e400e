package settings

import (
	"os"
	"time"

	"lilacglade/internal/transient"
)

// readRetryTimeout is how long reading a file is retried after a transient error. Otherwise a new
// configuration would be ignored if the process was out of file descriptors when it was notified of it.
const readRetryTimeout = 2 * time.Second

// readFile reads a whole file and retries after transient errors.
func readFile(path string) (raw []byte, err error) {
	err = transient.Retry(readRetryTimeout, transient.Reading, func() (err error) {
		raw, err = os.ReadFile(path)
		return err
	})
	return raw, err
}
