package upgrade

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"time"

	lg "lilacglade"
)

// Handover is what the next process of this proxy should know.
type Handover struct {
	Saved     time.Time
	Monotonic time.Duration   // when it was saved, and
	Boot      string          // at which start of the machine, as in Moment
	Routes    json.RawMessage // the server list as a document of discovery
	// Epoch is the Unix time at which the monotonic clock read 0, as the process has it that read the list's
	// start times; 0: not known
	Epoch   time.Duration
	Learned lg.Learned
	Age     time.Duration `json:"-"` // as it was loaded
}

// Stamp notes when the handover is saved.
func (h *Handover) Stamp(m Instant) { h.Saved, h.Monotonic, h.Boot = m.Wall, m.Monotonic, m.Boot }

// Of the file: its name, the version of its form, how large it may be, and how old.
const (
	fileName = "lilacglade.handover"
	format   = 1
	maxSize  = 1 << 20
	maxAge   = 10 * time.Second
)

// ErrNoHandover says that nothing was handed over.
var ErrNoHandover = errors.New("nothing was handed over")

// Save writes a handover into a folder: beside, then renamed into place, so that no reader sees half of
// one.
func Save(dir string, h Handover) error {
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	head := fmt.Sprintf("lilacglade %d %d %08x\n", format, len(body), crc32.ChecksumIEEE(body))
	if len(head)+len(body) > maxSize {
		return fmt.Errorf("handover: %d bytes, at most %d", len(body), maxSize)
	}
	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path+".new", append([]byte(head), body...), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Load reads what was handed over. An error other than ErrNone says what is wrong with it.
func Load(dir string, now Instant) (Handover, error) {
	f, err := os.Open(filepath.Join(dir, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return Handover{}, ErrNoHandover
	} else if err != nil {
		return Handover{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxSize+1))
	if err != nil {
		return Handover{}, err
	}
	if len(raw) > maxSize {
		return Handover{}, fmt.Errorf("handover: over %d bytes", maxSize)
	}
	return Parse(raw, now)
}

// Parse checks and decodes a handover.
func Parse(raw []byte, now Instant) (Handover, error) {
	var h Handover
	head, body, _ := bytes.Cut(raw, []byte("\n"))
	var version, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), "lilacglade %d %d %x", &version, &length, &sum); n != 3 || err != nil {
		return h, errors.New("handover: no head")
	}
	switch {
	case version != format:
		return h, fmt.Errorf("handover: version %d, want %d", version, format)
	case length != len(body):
		return h, fmt.Errorf("handover: %d bytes of %d", len(body), length)
	case crc32.ChecksumIEEE(body) != sum:
		return h, errors.New("handover: wrong checksum")
	}
	if err := json.Unmarshal(body, &h); err != nil {
		return Handover{}, fmt.Errorf("handover: %w", err)
	}
	h.Age = now.Since(Instant{h.Saved, h.Monotonic, h.Boot})
	if h.Age < -maxAge || h.Age > maxAge {
		return Handover{}, fmt.Errorf("handover: %v old, at most %v", h.Age.Round(time.Millisecond), maxAge)
	}
	return h, nil
}
