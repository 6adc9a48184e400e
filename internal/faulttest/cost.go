package faulttest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Cost is what requests through one proxy took.
type Cost struct {
	PerSecond float64
	P99       time.Duration
	CPU       time.Duration // of the proxy's process, for each request
}

// IdleCost measures one proxy without peers and with them and nothing to do, by turns: callers who each ask
// again as soon as they are answered.
func IdleCost(binary, dir string, rounds, callers int, lasts time.Duration) (without, with []Cost,
	err error) {
	m, err := NewMachine("m0", "z0", "k0", func(error) {})
	if err != nil {
		return nil, nil, err
	}
	defer m.Die()
	d, err := NewDiscovery([]*Machine{m})
	if err != nil {
		return nil, nil, err
	}
	defer d.Close()
	for i := range 2 * rounds {
		p := &Proc{Name: "n0", binary: binary, dir: filepath.Join(dir, fmt.Sprint(i)), alone: i%2 == 0}
		if err := p.assignAddresses(); err != nil {
			return nil, nil, err
		}
		if err := p.configure(0, 1, d.Addr(), []string{"n0"}, nil); err != nil {
			return nil, nil, err
		}
		if err := p.Start(); err != nil {
			return nil, nil, err
		}
		for end := time.Now().Add(defaultPatience); !p.Ready(); time.Sleep(pollEvery) {
			if time.Now().After(end) {
				p.Signal(syscall.SIGKILL)
				return nil, nil, fmt.Errorf("never ready: %s", p.Log())
			}
		}
		cost := load(p, callers, lasts)
		cmd := p.cmd
		p.Signal(syscall.SIGTERM)
		if n := time.Duration(cost.PerSecond * lasts.Seconds()); n > 0 {
			cost.CPU = (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()) / n
		}
		if p.alone {
			without = append(without, cost)
		} else {
			with = append(with, cost)
		}
	}
	return without, with, nil
}

func load(p *Proc, callers int, lasts time.Duration) (c Cost) {
	var mu sync.Mutex
	var took []time.Duration
	var wait sync.WaitGroup
	end := time.Now().Add(lasts)
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	for i := range callers {
		wait.Go(func() {
			var mine []time.Duration
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				req, err := http.NewRequest(http.MethodPost, "http://"+p.Listen+"/api", bytes.NewReader([]byte("x")))
				if err != nil {
					return
				}
				for k, v := range map[string]string{"Request-Id": fmt.Sprint("c", i, "-", n), "Request-Class": "edit",
					"Tenant": "port", "Request-Timeout-Ms": "800"} {
					req.Header.Set(k, v)
				}
				res, err := transport.RoundTrip(req)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
				mine = append(mine, time.Since(began))
			}
			mu.Lock()
			took = append(took, mine...)
			mu.Unlock()
		})
	}
	wait.Wait()
	slices.Sort(took)
	if len(took) == 0 {
		return c
	}
	return Cost{PerSecond: float64(len(took)) / lasts.Seconds(), P99: took[len(took)*99/100]}
}
