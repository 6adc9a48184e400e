package faulttest

import (
	"os"
	"path/filepath"
)

// What befalls a process's disk.

// fillDisk has the disk be full; emptyDisk ends that. For test builds.
func (p *Proc) fillDisk() error { return os.WriteFile(p.Disk()+".full", nil, 0o600) }

func (p *Proc) emptyDisk() error { return os.Remove(p.Disk() + ".full") }

// loseDisk removes all that is on the disk.
func (p *Proc) loseDisk() error { return os.RemoveAll(filepath.Dir(p.Disk())) }

// damageDisk leaves the file as a write that was cut.
func (p *Proc) damageDisk() error {
	st, err := os.Stat(p.Disk())
	if err != nil {
		return err
	}
	return os.Truncate(p.Disk(), st.Size()*2/3)
}

// keepDisk keeps a copy of the file as it is; returnDisk goes back to the copy.
func (p *Proc) keepDisk() error { return copyFile(p.Disk(), p.Disk()+".kept") }

func (p *Proc) returnDisk() error { return copyFile(p.Disk()+".kept", p.Disk()) }

func copyFile(from, to string) error {
	raw, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, raw, 0o600)
}
