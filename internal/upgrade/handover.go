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

// Handover is the state that one process of a proxy passes to the next. It is encoded as JSON under the
// names of its fields.
type Handover struct {
	Saved     time.Time       // wall clock time of the save
	Monotonic time.Duration   // monotonic clock time of the save, as in Instant
	Boot      string          // boot in which it was saved, as in Instant
	Routes    json.RawMessage // the server list as a discovery document
	// Epoch is the Unix time at which the monotonic clock read 0, according to the process that read the start
	// times in the server list; 0 if unknown.
	Epoch   time.Duration
	Learned lg.Learned    // what the Balancer had learned
	Age     time.Duration `json:"-"` // time from the save to the load
}

// Stamp sets the time at which the handover is saved.
func (h *Handover) Stamp(now Instant) {
	h.Saved, h.Monotonic, h.Boot = now.Wall, now.Monotonic, now.Boot
}

// The handover file.
const (
	fileName      = "lilacglade.handover"
	formatVersion = 1
	maxSize       = 1 << 20 // bytes, header included
	maxAge        = 10 * time.Second
)

// ErrNoHandover reports that no handover file exists.
var ErrNoHandover = errors.New("nothing was handed over")

// Save writes a handover into the directory. It writes a temporary file and renames it, so that no reader
// sees a partial one.
func Save(dir string, h Handover) error {
	body, err := json.Marshal(h)
	if err != nil {
		return err
	}
	header := fmt.Sprintf("lilacglade %d %d %08x\n", formatVersion, len(body), crc32.ChecksumIEEE(body))
	if len(header)+len(body) > maxSize {
		return fmt.Errorf("handover: %d bytes exceed the limit of %d", len(body), maxSize)
	}
	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path+".new", append([]byte(header), body...), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Load reads the handover from the directory. It returns ErrNoHandover if there is none; any other
// error means that the file is unreadable, invalid or too old.
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
		return Handover{}, fmt.Errorf("handover: file exceeds the limit of %d bytes", maxSize)
	}
	return Parse(raw, now)
}

// Parse validates and decodes the contents of a handover file.
func Parse(raw []byte, now Instant) (Handover, error) {
	var h Handover
	header, body, _ := bytes.Cut(raw, []byte("\n"))
	var version, length int
	var checksum uint32
	if n, err := fmt.Sscanf(string(header), "lilacglade %d %d %x", &version, &length, &checksum); n != 3 ||
		err != nil {
		return h, errors.New("handover: missing or malformed header")
	}
	switch {
	case version != formatVersion:
		return h, fmt.Errorf("handover: version %d, want %d", version, formatVersion)
	case length != len(body):
		return h, fmt.Errorf("handover: truncated or extended: %d bytes, want %d", len(body), length)
	case crc32.ChecksumIEEE(body) != checksum:
		return h, errors.New("handover: checksum mismatch")
	}
	if err := json.Unmarshal(body, &h); err != nil {
		return Handover{}, fmt.Errorf("handover: %w", err)
	}
	h.Age = now.Since(Instant{h.Saved, h.Monotonic, h.Boot})
	if h.Age < -maxAge || h.Age > maxAge {
		return Handover{}, fmt.Errorf("handover: age %v is outside the limit of %v",
			h.Age.Round(time.Millisecond), maxAge)
	}
	return h, nil
}
