package lilacglade

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures a request with its outcome. Its cost must not grow with the number of
// servers, since a selection does not rank all of them.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Minute
			balancer.Handle(now, List{Kind: FullList, Servers: fleet(n)})
			b.ReportAllocs()
			id := RequestID(0)
			for b.Loop() {
				id++
				now += ms
				r := Request{ID: id, Key: uint64(id % 500), HasKey: true, Budget: time.Second}
				for _, a := range balancer.Handle(now, r) {
					if a.Do == Send {
						balancer.Handle(now, Outcome{Request: id, Server: a.Server, Result: OK, Closed: true,
							Latency: 20 * ms, Load: LoadReport{N: 1, Values: [4]float64{3}}})
						break
					}
				}
			}
		})
	}
}
