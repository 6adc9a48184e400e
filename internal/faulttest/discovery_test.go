package faulttest

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

// TestQuietAnswerLeavesNothingOut makes a change in the moment in which a watch's wait ends: an answer
// without news must not name the generation of that change, else whoever watches on never learns of it.
func TestQuietAnswerLeavesNothingOut(t *testing.T) {
	d, err := NewDiscovery([]*Machine{{ID: "m0"}})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	entered, end := make(chan struct{}), make(chan struct{})
	go func() { // the change is begun while the watch waits, and made when the wait is over
		time.Sleep(20 * time.Millisecond)
		d.Change(func() {
			close(entered)
			<-end
		})
	}()
	time.AfterFunc(200*time.Millisecond, func() { close(end) })
	res, err := http.Get("http://" + d.Addr() + "/?since=1&timeout_ms=100")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var got struct {
		Generation uint64
		Reset      bool
		Instances  []any
	}
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	<-entered
	if got.Generation != 1 && len(got.Instances) == 0 {
		t.Errorf("generation %d is told with no machines", got.Generation)
	}
}
