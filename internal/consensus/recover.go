package consensus

import (
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"lilacglade/internal/transient"
)

// isTransient reports whether a file operation failed for a reason that may pass.
func isTransient(err error) bool { return transient.Writing(err) || errors.Is(err, bbolt.ErrTimeout) }

// ReopenDisk opens the file in a folder after a failed write or sync. The kernel may have dropped dirty
// pages and report them as written, so the whole file is first copied, synced and renamed.
func ReopenDisk(dir string) (*Disk, error) {
	path := filepath.Join(dir, diskFile)
	if err := rewrite(path); err != nil {
		return nil, err
	}
	return OpenDisk(dir)
}

// rewrite replaces a file by a synced copy. A missing or damaged file is left to OpenDisk.
func rewrite(path string) (err error) {
	if err := rigFull(path); err != nil {
		return err
	}
	fresh := path + ".rewritten"
	if err := copyDisk(path, fresh); err != nil {
		if isTransient(err) {
			return err
		}
		if !errors.Is(err, os.ErrNotExist) {
			log.Printf("the file can't be written anew: %v", err)
		}
		return nil
	}
	if err := os.Rename(fresh, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// copyDisk copies a readable database file and syncs the copy.
func copyDisk(from, to string) (err error) {
	if _, err := os.Stat(from); err != nil {
		return err
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("damaged: %v", r)
		}
	}()
	db, err := bbolt.Open(from, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	out, err := os.OpenFile(to, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(out)
		return err
	})
	return errors.Join(err, out.Sync(), out.Close())
}

// syncDir makes a rename in a folder durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
