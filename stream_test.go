package lilacglade

import (
	"testing"
	"time"
)

// TestConsumedBodyIsNotResent checks that a request whose body was passed on is refused after one
// attempt that did not run, while the same outcome leads to a retry if the body is still available.
func TestConsumedBodyIsNotResent(t *testing.T) {
	for _, gone := range []bool{false, true} {
		b, err := New(Settings{Balancers: 1, MaxAttempts: 3, WarmWithin: time.Second, TipWindow: time.Second,
			Classes: []Class{{Name: "a", Aim: time.Second, Deadline: time.Second, Worth: 1, Effect: Unsafe}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(time.Hour, List{Kind: FullList, Servers: []Server{{ID: 1}, {ID: 2}, {ID: 3}}})
		sent := Action{}
		for _, a := range b.Handle(time.Hour, Request{ID: 7, Budget: time.Second, Stream: true}) {
			if a.Do == Send {
				sent = a
			}
		}
		resent, refused := false, false
		for _, a := range b.Handle(time.Hour, Outcome{Request: 7, Server: sent.Server, Result: ConnectFailed,
			Gone: gone}) {
			resent, refused = resent || a.Do == Send, refused || a.Do == Refuse
		}
		if resent == gone || refused != gone {
			t.Errorf("body gone %t: sent again %t, refused %t", gone, resent, refused)
		}
	}
}
