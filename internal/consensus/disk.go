package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bucket and key names of the file.
var (
	bucketLog  = []byte("log")
	bucketMeta = []byte("meta")
	keyID      = []byte("id")
	keyBoot    = []byte("boot")
	keyHard    = []byte("hard")
	keySnap    = []byte("snap")
	keyNote    = []byte("note")
)

const diskFile = "peers.db"

// lockTimeout is how long opening waits for another process that holds the file.
const lockTimeout = 2 * time.Second

// Disk is the durable state of a proxy. Only one process at a time can have it open.
type Disk struct {
	db          *bbolt.DB
	path        string
	ID          uint64 // voter identity; a lost or damaged disk gets a new one
	Boot        uint64 // number of starts
	ResetReason string // why the identity is new; empty: it is not
	Saved       Saved
	Record      []byte // durable record of the coordination group
}

// OpenDisk opens the file in a folder, or creates it. A damaged file is renamed and replaced, since its
// identity must not vote again.
func OpenDisk(dir string) (*Disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, diskFile)
	if err := rigFull(path); err != nil {
		return nil, err
	}
	fresh := ""
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		fresh = "there was no file"
	}
	d, err := readDisk(path)
	if err != nil && errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil && isTransient(err) {
		return nil, fmt.Errorf("%s: %w", path, err) // a transient failure: the content is still valid
	}
	if err != nil && fresh == "" {
		fresh = err.Error()
		aside := fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
		if err := os.Rename(path, aside); err != nil {
			return nil, err
		}
		d, err = readDisk(path)
	}
	if err != nil {
		return nil, err
	}
	d.path, d.ResetReason = path, fresh
	return d, nil
}

// readDisk opens a file, checks it and reads all of it.
func readDisk(path string) (d *Disk, err error) {
	var db *bbolt.DB
	// A read of a truncated file through the memory map raises a fault, which becomes a panic here.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("damaged: %v", r)
		}
		if err != nil && db != nil {
			_ = db.Close()
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	d = &Disk{db: db}
	if err := db.View(func(tx *bbolt.Tx) error {
		if size := tx.Size(); size > 0 {
			if st, err := os.Stat(path); err != nil || st.Size() < size {
				return fmt.Errorf("cut short: %d bytes should be there (%v)", size, err)
			}
		}
		for err := range tx.Check() {
			return err
		}
		return nil
	}); err != nil {
		return nil, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		entries, err := tx.CreateBucketIfNotExists(bucketLog)
		if err != nil {
			return err
		}
		if d.ID = decodeUint64(meta.Get(keyID)); d.ID == 0 {
			d.ID = rand.Uint64()>>1 + 1 // raft reserves the highest ids
		}
		d.Boot = decodeUint64(meta.Get(keyBoot)) + 1
		if err := errors.Join(meta.Put(keyID, encodeUint64(d.ID)),
			meta.Put(keyBoot, encodeUint64(d.Boot))); err != nil {
			return err
		}
		d.Record = slices.Clone(meta.Get(keyNote))
		return d.load(meta, entries)
	})
	return d, err
}

// load reads the stored log into Saved.
func (d *Disk) load(meta, entries *bbolt.Bucket) error {
	if raw := meta.Get(keyHard); raw != nil {
		d.Saved.Hard = new(pb.HardState)
		if err := proto.Unmarshal(raw, d.Saved.Hard); err != nil {
			return err
		}
	}
	if raw := meta.Get(keySnap); raw != nil {
		d.Saved.Snap = new(pb.Snapshot)
		if err := proto.Unmarshal(raw, d.Saved.Snap); err != nil {
			return err
		}
	}
	return entries.ForEach(func(k, v []byte) error {
		e := new(pb.Entry)
		if err := proto.Unmarshal(v, e); err != nil {
			return err
		}
		if e.GetIndex() != decodeUint64(k) {
			return fmt.Errorf("entry %d stands at %d", e.GetIndex(), decodeUint64(k))
		}
		d.Saved.Entries = append(d.Saved.Entries, e)
		return nil
	})
}

// Write stores a write. It is durable when Write returns without an error.
func (d *Disk) Write(w *Write) error {
	if err := rigFull(d.path); err != nil {
		return err
	}
	return d.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if w.Hard != nil {
			if err := put(meta, keyHard, w.Hard); err != nil {
				return err
			}
		}
		if w.Snap != nil {
			if err := put(meta, keySnap, w.Snap); err != nil {
				return err
			}
		}
		if w.First > 0 {
			if err := remove(entries, 0, w.First-1); err != nil {
				return err
			}
		}
		if len(w.Entries) > 0 {
			if err := remove(entries, w.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range w.Entries {
			if err := put(entries, encodeUint64(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
}

// WriteRecord stores the durable record of the coordination group.
func (d *Disk) WriteRecord(note []byte) error {
	if err := rigFull(d.path); err != nil {
		return err
	}
	return d.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyNote, note) })
}

// Close closes the file.
func (d *Disk) Close() error { return d.db.Close() }

// Reopen closes the file and opens it again, after a failed write.
func (d *Disk) Reopen() (*Disk, error) {
	_ = d.db.Close()
	return ReopenDisk(filepath.Dir(d.path))
}

// Reset renames the file and creates a new one with a new identity.
func (d *Disk) Reset(why string) (*Disk, error) {
	_ = d.db.Close()
	if err := os.Rename(d.path, fmt.Sprintf("%s.retired-%d", d.path, time.Now().UnixNano())); err != nil {
		return nil, err
	}
	n, err := OpenDisk(filepath.Dir(d.path))
	if err == nil {
		n.ResetReason = why
	}
	return n, err
}

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}

// remove deletes the entries of an index range, both ends included.
func remove(b *bbolt.Bucket, from, to uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(encodeUint64(from)); k != nil &&
		decodeUint64(k) <= to; k, _ = c.Seek(encodeUint64(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func decodeUint64(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
