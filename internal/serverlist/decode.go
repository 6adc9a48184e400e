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

// Document is a decoded answer of discovery, valid in itself: the full list, or the changes since a version.
// A Store checks it against the current list.
type Document struct {
	version   uint64
	full      bool
	instances []instance
}

// IsFull reports whether the document is the full list.
func (d *Document) IsFull() bool { return d.full }

// instance is one element of a document.
type instance struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"startedAtMs"`

	key lg.ServerID // derived from ID
}

var states = map[string]lg.State{"ready": lg.Ready, "draining": lg.Draining, "gone": lg.Gone}

// maxStarted is an upper limit on start times, a Unix time in milliseconds far in the future.
const maxStarted = 1 << 45

// Decoder decodes documents. It caches decoded instances by their bytes, so that a full list of thousands of
// servers costs little more than the instances that changed. The zero value is ready to use, and safe for
// concurrent use.
type Decoder struct {
	mu        sync.Mutex
	cache     map[uint64]cached // by the hash of their bytes
	documents uint64            // number of documents decoded
}

// cached is a decoded instance and its bytes.
type cached struct {
	raw      string
	instance instance
	document uint64 // number of the last document that contained it
}

// maxCached limits the instances that a Decoder caches between two full lists.
const maxCached = 16384

// Decode decodes a document.
func (d *Decoder) Decode(raw []byte) (Document, error) {
	if !gjson.ValidBytes(raw) {
		return Document{}, notJSON(raw)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.documents++
	var doc Document
	var version, full, instances gjson.Result
	gjson.ParseBytes(raw).ForEach(func(key, value gjson.Result) bool {
		switch key.String() {
		case "generation":
			version = value
		case "reset":
			full = value
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
	if doc.full = full.Type == gjson.True; full.Exists() && !full.IsBool() {
		return Document{}, fmt.Errorf("reset: %s is neither true nor false", full.Raw)
	}
	if doc.full && !instances.Exists() {
		return Document{}, errors.New("a full list without instances")
	}
	if instances.Type != gjson.Null && !instances.IsArray() {
		return Document{}, errors.New("instances: not an array")
	}
	err := d.instances(&doc, instances)
	d.evict(doc.full)
	return doc, err
}

// notJSON returns why bytes are not a JSON document.
func notJSON(raw []byte) error {
	var any json.RawMessage
	if err := json.Unmarshal(raw, &any); err != nil {
		return err
	}
	return errors.New("not a JSON document")
}

// instances decodes a document's instances.
func (d *Decoder) instances(doc *Document, array gjson.Result) (err error) {
	if !array.IsArray() {
		return nil // null, or missing: no changes
	}
	seen := make(map[lg.ServerID]bool, len(d.cache))
	array.ForEach(func(_, value gjson.Result) bool {
		var in instance
		if in, err = d.instance(value.Raw); err != nil {
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

// instance decodes one instance, unless it is cached.
func (d *Decoder) instance(raw string) (instance, error) {
	hash := xxhash.Sum64String(raw)
	if known, ok := d.cache[hash]; ok && known.raw == raw {
		known.document = d.documents
		d.cache[hash] = known
		return known.instance, nil
	}
	var in instance
	if err := json.Unmarshal([]byte(raw), &in); err != nil {
		return in, err
	}
	in.key = ID(in.ID)
	if err := in.check(); err != nil {
		return in, err
	}
	if d.cache == nil {
		d.cache = map[uint64]cached{}
	}
	d.cache[hash] = cached{raw: strings.Clone(raw), instance: in, document: d.documents}
	return in, nil
}

// check validates an instance.
func (in *instance) check() error {
	state, ok := states[in.State]
	addr, err := netip.ParseAddrPort(in.Addr)
	switch {
	case in.ID == "":
		return errors.New(`instanceId "" is empty or repeated`)
	case !ok:
		return fmt.Errorf("instance %s: unknown lifecycle %q", in.ID, in.State)
	case state != lg.Gone && (err != nil || addr.Port() == 0):
		return fmt.Errorf("instance %s: hostPort %q", in.ID, in.Addr)
	case in.Weight < 0 || math.IsInf(in.Weight, 0):
		return fmt.Errorf("instance %s: weight %v", in.ID, in.Weight)
	case in.Started < 0 || in.Started > maxStarted:
		return fmt.Errorf("instance %s: startedAtMs %v", in.ID, in.Started)
	}
	return nil
}

// evict drops cached instances of older documents: after a full list, or above maxCached.
func (d *Decoder) evict(full bool) {
	if !full && len(d.cache) <= maxCached {
		return
	}
	for hash, entry := range d.cache {
		if entry.document != d.documents {
			delete(d.cache, hash)
		}
	}
}
