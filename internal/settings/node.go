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
	Name         string // name of the proxy
	Listen       string // address for clients
	Discovery    string // address of discovery
	Admin        string // address of the operators' interface; empty: none
	Seed         uint64
	PassedSocket string // file descriptor of an inherited listening socket; empty: none
	HandoverDir  string // directory of the handover file
	Limits       Limits
	Known        json.RawMessage // the last known server list, as a discovery document
	Settings     Settings

	raw []byte // contents of the configuration file
}

// Limits are the resources that the proxy may use on its host.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // open sockets of all kinds
}

// minSockets leaves a few sockets for clients and for servers besides those that the process itself needs.
const minSockets = 64

// Load reads the file that NODE_CONFIG names. The other NODE_ variables override it where they are set.
// An error is one line that names the key.
func Load(getenv func(string) string) (Node, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Node{}, errors.New("NODE_CONFIG: not set")
	}
	raw, err := readFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	node, err := ParseNode(raw, getenv)
	if err != nil {
		return Node{}, fmt.Errorf("NODE_CONFIG: %s: %w", path, err)
	}
	return node, nil
}

// Reload reads the file again while the program runs. NODE_DISCOVERY holds the address of discovery at
// the start; on a reload the file takes precedence over it. A file that lacks a key of the current one
// is rejected, because it was truncated or written by a tool that failed.
func Reload(getenv func(string) string, current Node) (Node, error) {
	node, err := Load(func(key string) string {
		if key == "NODE_DISCOVERY" {
			return ""
		}
		return getenv(key)
	})
	if err != nil {
		return node, err
	}
	if key := missingKey(current.raw, node.raw); key != "" {
		return node, fmt.Errorf("NODE_CONFIG: %s: %s: missing, but present in the current configuration",
			getenv("NODE_CONFIG"), key)
	}
	return node, nil
}

// ParseNode parses and validates the contents of a configuration file and applies the NODE_ variables.
func ParseNode(raw []byte, getenv func(string) string) (Node, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Admin     string          `json:"admin"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return Node{}, withLine(raw, 0, err)
	}
	node := Node{raw: raw, Limits: file.Limits, Known: file.Known, PassedSocket: getenv("NODE_PASSED_SOCKET"),
		HandoverDir: getenv("TMPDIR")}
	for _, setting := range []struct {
		target                *string
		key, env, fileSetting string
	}{
		{&node.Name, "name", "NODE_NAME", file.Name},
		{&node.Listen, "listen", "NODE_LISTEN", file.Listen},
		{&node.Discovery, "discovery", "NODE_DISCOVERY", file.Discovery},
		{&node.Admin, "admin", "NODE_ADMIN", file.Admin},
	} {
		name := setting.key
		if *setting.target = setting.fileSetting; getenv(setting.env) != "" {
			*setting.target, name = getenv(setting.env), setting.env
		}
		if *setting.target == "" && setting.key == "admin" {
			continue
		}
		if *setting.target == "" {
			return node, fmt.Errorf("%s: not set", name)
		}
		if setting.key != "name" {
			if err := checkAddress(*setting.target); err != nil {
				return node, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	var err error
	if node.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return node, fmt.Errorf("seed: %q is not a hexadecimal number of at most 64 bits", file.Seed)
	}
	switch {
	case !(node.Limits.Cores > 0):
		return node, fmt.Errorf("limits.cores: %v, want more than 0", node.Limits.Cores)
	case node.Limits.MemoryMB < 1:
		return node, fmt.Errorf("limits.memory_mb: %d, want at least 1", node.Limits.MemoryMB)
	case node.Limits.Sockets < minSockets:
		return node, fmt.Errorf("limits.sockets: %d, want at least %d", node.Limits.Sockets, minSockets)
	case file.Settings == nil:
		return node, errors.New("settings: not set")
	}
	if node.Settings, err = Decode(file.Settings); err != nil {
		return node, withLine(raw, max(0, bytes.Index(raw, file.Settings)), err)
	}
	for i, c := range node.Settings.Classes {
		if c.Deadline <= 0 {
			return node, fmt.Errorf("settings: classes[%d].deadline: %v, want more than 0", i, c.Deadline)
		}
	}
	if node.Settings.ConnectTimeout <= 0 {
		return node, errors.New("settings: bounds.connect-timeout: want more than 0")
	}
	if node.Settings.KeepAlive <= 0 {
		return node, errors.New("settings: bounds.keepalive: want more than 0")
	}
	_, err = lg.New(node.Settings.Settings, node.Seed) // validates the settings
	return node, err
}

// checkAddress returns an error unless the address is an IP address and a port other than 0.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not a numeric host and port", address)
	}
	return nil
}
