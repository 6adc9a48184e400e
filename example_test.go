package lilacglade_test

import (
	"fmt"
	"time"

	"lilacglade"
)

// A proxy serves one request, retries one, refuses one and handles a drain.
func Example() {
	b, err := lilacglade.New(lilacglade.Settings{
		Balancers:   1,
		MaxAttempts: 2,
		Classes: []lilacglade.Class{
			{Name: "page", Aim: time.Second, Worth: 1},
			{Name: "order", Aim: time.Second, Worth: 5, Effect: lilacglade.Unsafe},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // any clock that never goes back
	handle := func(ev lilacglade.Event) (last lilacglade.Action) {
		for _, a := range b.Handle(now, ev) {
			switch a.Do {
			case lilacglade.Send:
				fmt.Println("send request", a.Request)
			case lilacglade.Refuse:
				fmt.Println("refuse request", a.Request)
			case lilacglade.Fail:
				fmt.Println("fail request", a.Request)
			}
			last = a
		}
		return last
	}
	handle(lilacglade.List{Kind: lilacglade.FullList, Servers: []lilacglade.Server{
		{ID: 1, Weight: 1}, {ID: 2, Weight: 1},
	}})

	fmt.Println("served:")
	a := handle(lilacglade.Request{ID: 1, Budget: 2 * time.Second})
	now += 30 * time.Millisecond
	handle(lilacglade.Outcome{Request: 1, Server: a.Server, Result: lilacglade.OK, Closed: true,
		Latency: 30 * time.Millisecond})

	fmt.Println("retried:")
	first := handle(lilacglade.Request{ID: 2, Class: 1, Budget: 2 * time.Second})
	again := handle(lilacglade.Outcome{Request: 2, Server: first.Server, Result: lilacglade.ConnectFailed})
	fmt.Println("another server:", again.Server != first.Server)

	fmt.Println("drained:")
	handle(lilacglade.List{Kind: lilacglade.Changes, Servers: []lilacglade.Server{
		{ID: 1, State: lilacglade.Draining},
	}})
	a = handle(lilacglade.Request{ID: 3, Budget: 2 * time.Second})
	fmt.Println("server", a.Server)

	fmt.Println("refused:")
	handle(lilacglade.Outcome{Request: 3, Server: a.Server, Result: lilacglade.Full})

	// Output:
	// served:
	// send request 1
	// retried:
	// send request 2
	// send request 2
	// another server: true
	// drained:
	// send request 3
	// server 2
	// refused:
	// refuse request 3
}
