package lilacglade

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures a request with its outcome; a pick does not rank the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			bal, err := New(testSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Minute
			bal.Handle(now, List{Kind: FullList, Servers: fleet(n)})
			b.ReportAllocs()
			id := RequestID(0)
			for b.Loop() {
				id++
				now += ms
				r := Request{ID: id, Key: uint64(id % 500), HasKey: true, Budget: time.Second}
				for _, a := range bal.Handle(now, r) {
					if a.Do == Send {
						bal.Handle(now, Outcome{Request: id, Server: a.Server, Result: OK, Closed: true,
							Latency: 20 * ms, Load: LoadReport{N: 1, Values: [4]float64{3}}})
						break
					}
				}
			}
		})
	}
}
