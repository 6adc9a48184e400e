package transport

import (
	"fmt"
	"log"
	"strings"
	"sync"
	"time"

	"lilacglade/internal/logburst"
)

// libraryLog writes the library's log lines to the log, at most one per faultLogInterval. The library logs
// a line for each connection that is reset before its input was read, which any client can cause as often
// as it connects, and writes it in the poller's goroutine.
type libraryLog struct {
	mu      sync.Mutex
	started time.Time
	limiter logburst.Limiter
}

func newLibraryLog() *libraryLog {
	return &libraryLog{started: time.Now(), limiter: logburst.Limiter{Every: faultLogInterval}}
}

// Write logs one line of the library, or counts it. It never fails.
func (l *libraryLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	suppressed, ok := l.limiter.Allow(time.Since(l.started))
	l.mu.Unlock()
	if ok {
		log.Print(withoutPrefix(string(line)), fmt.Sprintf(" (%d more since the last line)", suppressed))
	}
	return len(line), nil
}

// withoutPrefix returns a line of the library without its line end and the date that its logger adds.
func withoutPrefix(line string) string {
	line = strings.TrimSpace(line)
	if start := strings.Index(line, "NETPOLL"); start > 0 {
		return line[start:]
	}
	return line
}
