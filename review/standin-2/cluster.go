package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// cluster is an installation of three proxies that talk to each other, with its staff.
type cluster struct {
	run     *run
	proxies []*proxy
	last    map[string]string // the line of each machine in the last status that was noted
}

// newCluster writes the configuration of three proxies, all founders, and starts them.
func (r *run) newCluster(d *discovery, warmWithin float64, classes ...class) (*cluster, error) {
	c := &cluster{run: r, last: map[string]string{}}
	names, addresses := []string{"n0", "n1", "n2"}, []string{}
	for range names {
		addresses = append(addresses, freeAddress())
	}
	for i, name := range names {
		p, err := r.newProxy(name, d.address, options{mode: "on_request", balancers: len(names), me: i,
			warmWithin: warmWithin, classes: classes,
			known: document{d.generation, true, d.list}.text()})
		if err != nil {
			return nil, err
		}
		p.peers = filepath.Join(p.dir, "peers.yaml")
		text := fmt.Sprintf("listen: %s\ndir: %s\nfounders: [n0, n1, n2]\npeers:\n  n0: %s\n  n1: %s\n  n2: %s\n"+
			"replace-after: 30s\nalone-after: 0s\n", addresses[i], filepath.Join(p.dir, "disk"), addresses[0],
			addresses[1], addresses[2])
		if err := os.WriteFile(p.peers, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := p.begin(); err != nil {
			return nil, err
		}
		c.proxies = append(c.proxies, p)
	}
	for _, p := range c.proxies {
		if !p.awaitReady(20 * time.Second) {
			p.logTail(20)
			return nil, fmt.Errorf("proxy %s is not ready", p.name)
		}
	}
	return c, nil
}

// work makes an operators' call to the first proxy.
func (c *cluster) work(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(c.run.root, "bin", "lilacglade"),
		append([]string{"work", "--admin", c.proxies[0].admin}, args...)...)
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	return out.String(), err
}

// submit gives an order, until it is taken in.
func (c *cluster) submit(id, text string) error {
	path := filepath.Join(c.run.dir, "order.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	var out string
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if out, err = c.work("--id", id, "submit", path); err == nil {
			c.run.note("staff: the order is taken in:\n%s", text)
			return nil
		}
	}
	return fmt.Errorf("the order is not taken in: %s", out)
}

// step returns the step of a machine as the status says it, "" if it does not.
func (c *cluster) step(machine string) string {
	out, err := c.work("status")
	if err != nil {
		return ""
	}
	step := ""
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		if len(fields) < 3 || fields[0] != "machine" {
			continue
		}
		if c.last[fields[1]] != line {
			c.last[fields[1]] = line
			c.run.note("status: %s", strings.TrimSpace(line))
		}
		if fields[1] == machine {
			step = fields[2]
		}
	}
	return step
}

// await polls the status until a machine has one of the steps, and returns it; "" if that takes too long.
func (c *cluster) await(machine string, limit time.Duration, steps ...string) string {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		step := c.step(machine)
		for _, wanted := range steps {
			if step == wanted {
				return step
			}
		}
	}
	return ""
}
