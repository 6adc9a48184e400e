package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	lg "lilacglade"
)

// Node is the configuration of one proxy.
type Node struct {
	Name         string
	Listen       string
	Discovery    string
	Admin        string // where operators call; empty: nowhere
	Seed         uint64
	PassedSocket string // descriptor of a listening socket that is passed to the process; empty: none
	HandoverDir  string // folder for what one process hands over to the next
	Limits       Limits
	Known        json.RawMessage // the server list as last had, in discovery's form
	Settings     Settings

	raw []byte // the file
}

// Limits are what the proxy's machine allows it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// leastSockets leaves a few for each side besides what the process itself needs.
const leastSockets = 64

// Load reads the file that NODE_CONFIG names; the other NODE_ variables, where they are set,
// go before it. An error is one line that names the key.
func Load(getenv func(string) string) (Node, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Node{}, errors.New("NODE_CONFIG: not set")
	}
	raw, err := readFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	n, err := ParseNode(raw, getenv)
	if err != nil {
		return Node{}, fmt.Errorf("NODE_CONFIG: %s: %w", path, err)
	}
	return n, nil
}

// Reload reads the file again while the program runs. NODE_DISCOVERY tells where discovery was
// at the start: from here on the file goes before it. A file that lacks a key that the one in force has is
// turned down: it was cut or written by a tool that failed.
func Reload(getenv func(string) string, inForce Node) (Node, error) {
	n, err := Load(func(key string) string {
		if key == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(key)
	})
	if err != nil {
		return n, err
	}
	if key := lacks(inForce.raw, n.raw); key != "" {
		return n, fmt.Errorf("NODE_CONFIG: %s: %s: not there, but in the file in force", getenv("NODE_CONFIG"), key)
	}
	return n, nil
}

// ParseNode reads a configuration.
func ParseNode(raw []byte, getenv func(string) string) (Node, error) {
	var in struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Admin     string          `json:"admin"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return Node{}, place(raw, 0, err)
	}
	n := Node{raw: raw, Limits: in.Limits, Known: in.Known, PassedSocket: getenv("NODE_PASSED_SOCKET"),
		HandoverDir: getenv("TMPDIR")}
	for _, v := range []struct {
		to            *string
		key, env, own string
	}{
		{&n.Name, "name", "NODE_NAME", in.Name},
		{&n.Listen, "listen", "NODE_LISTEN", in.Listen},
		{&n.Discovery, "discovery", "NODE_DISCOVERY", in.Discovery},
		{&n.Admin, "admin", "NODE_ADMIN", in.Admin},
	} {
		name := v.key
		if *v.to = v.own; getenv(v.env) != "" {
			*v.to, name = getenv(v.env), v.env
		}
		if *v.to == "" && v.key == "admin" {
			continue
		}
		if *v.to == "" {
			return n, fmt.Errorf("%s: not set", name)
		}
		if v.key != "name" {
			if err := address(*v.to); err != nil {
				return n, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	var err error
	if n.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		return n, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", in.Seed)
	}
	switch {
	case !(n.Limits.Cores > 0):
		return n, fmt.Errorf("limits.cores: %v, want more than 0", n.Limits.Cores)
	case n.Limits.MemoryMB < 1:
		return n, fmt.Errorf("limits.memory_mb: %d, want at least 1", n.Limits.MemoryMB)
	case n.Limits.Sockets < leastSockets:
		return n, fmt.Errorf("limits.sockets: %d, want at least %d", n.Limits.Sockets, leastSockets)
	case in.Settings == nil:
		return n, errors.New("settings: not set")
	}
	if n.Settings, err = Decode(in.Settings); err != nil {
		return n, place(raw, max(0, bytes.Index(raw, in.Settings)), err)
	}
	for i, c := range n.Settings.Classes {
		if c.Deadline <= 0 {
			return n, fmt.Errorf("settings: classes[%d].deadline: %v, want more than 0", i, c.Deadline)
		}
	}
	if n.Settings.ConnectTimeout <= 0 {
		return n, errors.New("settings: bounds.connect-timeout: want more than 0")
	}
	if n.Settings.KeepAlive <= 0 {
		return n, errors.New("settings: bounds.keepalive: want more than 0")
	}
	_, err = lg.New(n.Settings.Settings, n.Seed) // which names what no deployment can mean
	return n, err
}

// address reports what is no numeric host and port.
func address(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return err
	}
	if p, err := strconv.ParseUint(port, 10, 16); err != nil || p == 0 || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no numeric host and port", s)
	}
	return nil
}
