package faulttest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacglade/internal/maintenance"
)

// Proc is one real process of the program, and its place.
type Proc struct {
	Name          string
	Listen, Admin string
	peersAt       string
	dir           string
	binary        string
	alone         bool    // it talks to no other proxy
	level         int     // what its program understands, as an earlier one; 0: all. For test builds
	clock         float64 // how fast its clock runs; 0: right. For test builds
	config        map[string]any

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	Paused bool
	log    bytes.Buffer
	Starts int
}

// assignAddresses has the process listen at addresses that are free.
func (p *Proc) assignAddresses() (err error) {
	for _, at := range []*string{&p.Listen, &p.Admin, &p.peersAt} {
		if *at, err = freeAddress(); err != nil {
			return err
		}
	}
	return nil
}

// Write takes the process's log.
func (p *Proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Log is what the processes here have logged.
func (p *Proc) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Start starts the process.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s runs already", p.Name)
	}
	args := []string{"serve", "--config", filepath.Join(p.dir, "config.json")}
	if !p.alone {
		args = append(args, "--peers", filepath.Join(p.dir, "peers.yaml"))
	}
	// As the deployment has it, whose shell ignores SIGHUP before it becomes the program: one that comes before
	// the program can hear of it is no end. A shell here would leave the time before its own first command.
	signal.Ignore(syscall.SIGHUP)
	cmd := exec.Command(p.binary, args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG=", "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=",
		"NODE_ADMIN=", "NODE_PEERS=", "TMPDIR="+p.dir, fmt.Sprint("RIG_LEVEL=", p.level),
		fmt.Sprint("RIG_CLOCK=", p.clock))
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.Paused = cmd, ended, false
	p.Starts++
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (p *Proc) started() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Starts
}

func (p *Proc) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Paused
}

// Running tells whether there is a process.
func (p *Proc) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Signal sends the process a signal; SIGKILL and SIGTERM are waited for.
func (p *Proc) Signal(sig syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	if cmd != nil {
		p.Paused = sig == syscall.SIGSTOP || p.Paused && sig != syscall.SIGCONT
	}
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		<-ended
	}
}

// Disk is the file that the process keeps.
func (p *Proc) Disk() string { return filepath.Join(p.dir, "peers", "peers.db") }

// Ready tells whether the process takes requests.
func (p *Proc) Ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.Listen + "/healthz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// turnedDown is what a proxy said of a call that it didn't carry out.
type turnedDown string

func (t turnedDown) Error() string { return string(t) }

// open tells whether the call may be carried out all the same.
func (t turnedDown) open() bool { return strings.Contains(string(t), "ask again") }

// Call makes an operators' call.
func (p *Proc) Call(line string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.Admin, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	raw, err := io.ReadAll(conn)
	switch {
	case err != nil:
		return "", err
	case bytes.HasPrefix(raw, []byte("-ERR ")):
		return "", turnedDown(bytes.TrimSpace(raw[5:]))
	case !bytes.HasPrefix(raw, []byte("+OK")):
		return "", fmt.Errorf("no answer: %q", raw)
	}
	return strings.TrimSuffix(strings.TrimPrefix(string(raw[3:]), "\n"), ".\n"), nil
}

// configure writes the process's files.
func (p *Proc) configure(me, all int, discovery string, founders []string, peers map[string]string) error {
	p.config = map[string]any{"name": p.Name, "listen": p.Listen, "discovery": discovery, "admin": p.Admin,
		"seed": fmt.Sprintf("%x", me+1), "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"generation": 0, "reset": true, "instances": []any{}},
		"settings": map[string]any{"azs": []string{"z0", "z1"}, "models": []string{"k0", "k1"}, "balancers": all,
			"me": me % all, "zone": me % 2, "stage": 0, "tiers": []string{"t"},
			"bounds": map[string]any{"cancel": true, "connect-timeout": 200.0, "keepalive": 60000.0,
				"max-retry-after": 1000.0, "most-tries": 5, "retry-after": true, "second-copies": false},
			"classes": []any{
				map[string]any{"name": "edit", "aim": 400.0, "deadline": 800.0, "late-worth": 0.2,
					"semantics": "unsafe", "worth": 5.0},
				map[string]any{"name": "upload", "aim": 400.0, "deadline": 2000.0, "group": "zone", "late-worth": 0.2,
					"memory-span": 1200.0, "semantics": "keyed", "worth": 15.0}},
			"counted-by": "request", "membership-mode": "on_request", "over-share-worth": 0.1,
			"prices":    map[string]any{"cross-zone": 0.025},
			"reporting": map[string]any{"how": "piggyback", "names": []string{"rif", "lat_ms"}},
			"rules": map[string]any{"answer-slack": 20.0, "ask-every": 1500.0, "cold-from": 0.3,
				"overload-for":        1000.0,
				"stop-sending-within": 250.0, "tip-multiple": 2.5, "warm-within": 500.0},
			"tenants": []any{map[string]any{"name": "port", "allowance-per-s": 500.0}}}}
	var b strings.Builder
	fmt.Fprintf(&b, "listen: %s\ndir: %s\nreplace-after: 20s\nfounders: [%s]\npeers:\n", p.peersAt,
		filepath.Join(p.dir, "peers"), strings.Join(founders, ", "))
	for name, addr := range peers {
		fmt.Fprintf(&b, "  %s: %s\n", name, addr)
	}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return err
	}
	if err := p.write(); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "peers.yaml"), []byte(b.String()), 0o600)
}

// know has the process begin with a list from its next start on, as its configuration has it.
func (p *Proc) know(list map[string]any) error {
	p.config["known"] = list
	return p.write()
}

// upgrade has the process be of this version from its next start on; downgrade, of the one before.
func (p *Proc) upgrade() { p.level = 0 }

func (p *Proc) downgrade() { p.level = maintenance.LevelFirst }

// write writes the process's configuration, for its next start or reload.
func (p *Proc) write() error {
	raw, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "config.json"), raw, 0o600)
}
