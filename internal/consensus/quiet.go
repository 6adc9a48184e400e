package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/tracker"
)

type progress = tracker.Progress

// discardLogger drops what the library logs: what operators need is logged by the coordination package. An
// impossible state panics; the owner of the Core then discards it.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
