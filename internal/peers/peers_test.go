package peers

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/fencing"
)

const good = `listen: 127.0.0.1:1
dir: d
founders: [n0]
peers:
  n1: 127.0.0.1:2
`

// TestConfigFaults guards against a start with a file that means something else than was written: the error
// names the file, and the line or the key.
func TestConfigFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "peers.yaml")
	if _, err := Load(path, "n0"); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("no file: %v", err)
	}
	for want, text := range map[string]string{
		"":               good,
		"[2:":            strings.Replace(good, "dir:", "dri:", 1),
		"dir: not set":   strings.Replace(good, "dir: d", "", 1),
		"founders: 0":    strings.Replace(good, "[n0]", "[]", 1),
		"founders[1]":    strings.Replace(good, "[n0]", "[n0, n0, n1]", 1),
		"founders[0]":    strings.Replace(good, "[n0]", "[n9]", 1),
		"listen: ":       strings.Replace(good, "127.0.0.1:1", "here", 1),
		"peers.n1":       strings.Replace(good, "127.0.0.1:2", "there:2", 1),
		"replace-after":  good + "replace-after: 3ms\n",
		"alone-after: -": good + "alone-after: -3s\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path, "n0")
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), path)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for want, text := range map[string]string{"id: not set": "most: 1\n", "[1:": "mots: 1\n",
		"[2:": "id: a\nmost: x\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadOrder(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// TestOneAlone covers a proxy that is the only founder: it gets a lease, answers calls that make no sense
// with what is wrong, and goes on beside connections that bring anything else than a peer's messages.
func TestOneAlone(t *testing.T) {
	cfg := Config{Listen: "127.0.0.1:0", Advertise: "127.0.0.1:0", Dir: t.TempDir(), Founders: []string{"n0"},
		ReplaceAfter: time.Minute}
	began, leased := time.Now(), make(chan bool, 1)
	n, err := Start(cfg, Options{Name: "n0", Now: func() time.Duration { return time.Since(began) },
		ID: func(string) lg.ServerID { return 1 }, Facts: func(f fencing.Restrictions[lg.ServerID], _ uint64) {
			if f.LeaseUntil > 0 {
				select {
				case leased <- true:
				default:
				}
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	<-leased
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\xff", 11), "\x03abc",
		"\xff\xff\xff\x7f"} {
		conn, err := net.Dial("tcp", n.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(text))
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = conn.Read(make([]byte, 8)) // until it is closed
		conn.Close()
	}
	for call, want := range map[string]string{
		`{`:                        "not a call",
		`{"id":"a","od":"x"}`:      "od",
		`{"do":"status"}`:          "id: not set",
		`{"id":"a","do":"dance"}`:  `do: "dance"`,
		`{"id":"a","do":"submit"}`: "order: not set",
		`{"id":"a","do":"pause"}`:  "name: not set",
		`{"id":"b","do":"submit","order":{"id":"o","most":1,"machines":["x"]}}`: "machines",
		`{"id":"c","do":"pause","name":"o"}`:                                    "unknown",
		`{"id":"d","do":"out","name":"m"}`:                                      "no order names it",
		`STATUS`:                                                                "leader n0",
	} {
		if got := string(n.Work(call)); !strings.Contains(got, want) {
			t.Errorf("%s: %q, want %q", call, got, want)
		}
	}
	if n.garbled.Load()+n.foreign.Load() == 0 {
		t.Error("what came from foreign connections was not counted")
	}
}
