// Package peers is the sockets and the disk round the council: proxies that may talk to each other do so
// here. Without a configuration of its own nothing of it runs.
package peers

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"lilacglade/internal/maintenance"
)

// Config is the file that NODE_PEERS or --peers names.
type Config struct {
	Listen       string            `yaml:"listen"`        // where this proxy listens to its peers
	Dir          string            `yaml:"dir"`           // a folder on a disk that outlives the process
	Founders     []string          `yaml:"founders"`      // names of the first voters: 1, 3 or 5
	Peers        map[string]string `yaml:"peers"`         // names and where they listen, as seen from here
	Advertise    string            `yaml:"advertise"`     // where peers find this one; empty: as listen
	ReplaceAfter time.Duration     `yaml:"replace-after"` // a voter silent for so long loses its vote
	AloneAfter   time.Duration     `yaml:"alone-after"`   // serve without a lease after this; 0: never
}

const replaceAfter = 30 * time.Second

// Load reads a configuration. An error names the file, and the line or the key.
func Load(path, name string) (Config, error) {
	var c Config
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("NODE_PEERS: %w", err)
	}
	if err := strict(raw, &c); err != nil {
		return c, fmt.Errorf("NODE_PEERS: %s: %w", path, err)
	}
	if err := c.check(name); err != nil {
		return c, fmt.Errorf("NODE_PEERS: %s: %w", path, err)
	}
	return c, nil
}

// strict reads YAML in which every key must be known.
func strict(raw []byte, v any) error {
	err := yaml.NewDecoder(bytes.NewReader(raw), yaml.DisallowUnknownField()).Decode(v)
	if err != nil {
		return errors.New(yaml.FormatError(err, false, false)) // "[line:column] what is wrong"
	}
	return nil
}

func (c *Config) check(name string) error {
	if c.ReplaceAfter == 0 {
		c.ReplaceAfter = replaceAfter
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	switch {
	case c.Dir == "":
		return errors.New("dir: not set")
	case len(c.Founders) != 1 && len(c.Founders) != 3 && len(c.Founders) != 5:
		return fmt.Errorf("founders: %d names, want 1, 3 or 5", len(c.Founders))
	case c.ReplaceAfter < time.Second:
		return fmt.Errorf("replace-after: %v, want at least 1s", c.ReplaceAfter)
	case c.AloneAfter < 0:
		return fmt.Errorf("alone-after: %v, want at least 0", c.AloneAfter)
	}
	for i, f := range c.Founders {
		if f == "" || slices.Contains(c.Founders[:i], f) {
			return fmt.Errorf("founders[%d]: %q is empty or repeated", i, f)
		}
		if _, ok := c.Peers[f]; !ok && f != name {
			return fmt.Errorf("founders[%d]: peers has no address for %q", i, f)
		}
	}
	if err := address(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := address(c.Advertise); err != nil {
		return fmt.Errorf("advertise: %w", err)
	}
	for _, peer := range slices.Sorted(maps.Keys(c.Peers)) {
		if err := address(c.Peers[peer]); err != nil {
			return fmt.Errorf("peers.%s: %w", peer, err)
		}
	}
	return nil
}

func address(s string) error {
	host, _, err := net.SplitHostPort(s)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is no numeric host and port", s)
	}
	return err
}

// ReadOrder reads an order as staff write it. An error names the file, and the line or the key.
func ReadOrder(path string) (sp maintenance.Spec, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return sp, err
	}
	if err := strict(raw, &sp); err != nil {
		return sp, fmt.Errorf("%s: %w", path, err)
	}
	if sp.ID == "" {
		return sp, fmt.Errorf("%s: id: not set", path)
	}
	return sp, nil
}
