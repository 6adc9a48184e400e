package serverlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	lg "lilacglade"
)

// Document is an answer of discovery that was read and makes sense by itself: the whole list, or what changed
// since a version. A Set says whether it fits what is known.
type Document struct {
	version   uint64
	whole     bool
	instances []instance
}

// IsFull tells whether it names every server there is.
func (d *Document) IsFull() bool { return d.whole }

// instance is one line of a document.
type instance struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"startedAtMs"`

	key lg.ServerID // the number of ID
}

var states = map[string]lg.State{"ready": lg.Ready, "draining": lg.Draining, "gone": lg.Gone}

// maxStarted is far beyond any Unix time in milliseconds that a clock shows.
const maxStarted = 1 << 45

// Decoder reads documents. Lines that it has read before it knows again by their bytes, so that a whole list
// of thousands costs little more than the lines that changed. Its zero value is ready for use, by several
// goroutines at once.
type Decoder struct {
	mu    sync.Mutex
	lines map[uint64]line // by the hash of their bytes
	round uint64
}

// line is an instance as it was read, and its bytes.
type line struct {
	raw   string
	in    instance
	round uint64 // of the document that had it last
}

// mostLines bounds the lines that a Decoder remembers between two whole lists.
const mostLines = 16384

// Decode reads a document, or says what is wrong with it.
func (d *Decoder) Decode(raw []byte) (Document, error) {
	if !gjson.ValidBytes(raw) {
		return Document{}, notJSON(raw)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.round++
	var doc Document
	var version, whole, instances gjson.Result
	gjson.ParseBytes(raw).ForEach(func(key, value gjson.Result) bool {
		switch key.String() {
		case "generation":
			version = value
		case "reset":
			whole = value
		case "instances":
			instances = value
		}
		return true
	})
	if version.Type == gjson.Null {
		return Document{}, errors.New("no generation")
	}
	if err := json.Unmarshal([]byte(version.Raw), &doc.version); err != nil {
		return Document{}, fmt.Errorf("generation: %w", err)
	}
	if doc.whole = whole.Type == gjson.True; whole.Exists() && !whole.IsBool() {
		return Document{}, fmt.Errorf("reset: %s is neither true nor false", whole.Raw)
	}
	if instances.Type != gjson.Null && !instances.IsArray() {
		return Document{}, errors.New("instances: not an array")
	}
	err := d.instances(&doc, instances)
	d.forget(doc.whole)
	return doc, err
}

// notJSON says why bytes are no JSON document.
func notJSON(raw []byte) error {
	var any json.RawMessage
	if err := json.Unmarshal(raw, &any); err != nil {
		return err
	}
	return errors.New("not a JSON document")
}

// instances reads a document's lines.
func (d *Decoder) instances(doc *Document, array gjson.Result) (err error) {
	if !array.IsArray() {
		return nil // null, or missing: no news
	}
	seen := make(map[lg.ServerID]bool, len(d.lines))
	array.ForEach(func(_, value gjson.Result) bool {
		var in instance
		if in, err = d.line(value.Raw); err != nil {
			return false
		}
		if seen[in.key] {
			err = fmt.Errorf("instanceId %q is empty or repeated", in.ID)
			return false
		}
		seen[in.key] = true
		doc.instances = append(doc.instances, in)
		return true
	})
	return err
}

// line reads one line, unless it is known.
func (d *Decoder) line(raw string) (instance, error) {
	hash := xxhash.Sum64String(raw)
	if known, ok := d.lines[hash]; ok && known.raw == raw {
		known.round = d.round
		d.lines[hash] = known
		return known.in, nil
	}
	var in instance
	if err := json.Unmarshal([]byte(raw), &in); err != nil {
		return in, err
	}
	in.key = ID(in.ID)
	if err := in.check(); err != nil {
		return in, err
	}
	if d.lines == nil {
		d.lines = map[uint64]line{}
	}
	d.lines[hash] = line{raw: strings.Clone(raw), in: in, round: d.round}
	return in, nil
}

// check tells what is wrong with an instance.
func (in *instance) check() error {
	state, ok := states[in.State]
	addr, bad := netip.ParseAddrPort(in.Addr)
	switch {
	case in.ID == "":
		return errors.New(`instanceId "" is empty or repeated`)
	case !ok:
		return fmt.Errorf("instance %s: unknown lifecycle %q", in.ID, in.State)
	case state != lg.Gone && (bad != nil || addr.Port() == 0):
		return fmt.Errorf("instance %s: hostPort %q", in.ID, in.Addr)
	case in.Weight < 0 || math.IsInf(in.Weight, 0):
		return fmt.Errorf("instance %s: weight %v", in.ID, in.Weight)
	case in.Started < 0 || in.Started > maxStarted:
		return fmt.Errorf("instance %s: startedAtMs %v", in.ID, in.Started)
	}
	return nil
}

// forget drops lines of older documents: after a whole list all but its own, else those beyond a bound.
func (d *Decoder) forget(whole bool) {
	if !whole && len(d.lines) <= mostLines {
		return
	}
	for hash, one := range d.lines {
		if one.round != d.round {
			delete(d.lines, hash)
		}
	}
}
