package upgrade

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	lg "lilacglade"
)

// later returns the instant after the given durations on the two clocks.
func (m Instant) later(wall, monotonic time.Duration) Instant {
	return Instant{m.Wall.Add(wall), m.Monotonic + monotonic, m.Boot}
}

// TestHandover saves and loads a handover. It also checks that a file is rejected when it is truncated
// at any byte, altered at any byte, of another version, or too old.
func TestHandover(t *testing.T) {
	dir, now := t.TempDir(), Instant{Wall: time.Unix(1e9, 0), Monotonic: time.Hour, Boot: "x"}
	if _, err := Load(dir, now); err != ErrNoHandover {
		t.Errorf("empty directory: %v", err)
	}
	want := Handover{Routes: []byte(`{"generation":3}`), Learned: lg.Learned{Usual: 2}}
	want.Stamp(now)
	if err := Save(dir, want); err != nil {
		t.Fatal(err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 1 {
		t.Errorf("unexpected files: %v", left)
	}
	got, err := Load(dir, now.later(time.Second, time.Second))
	if err != nil || got.Learned.Usual != 2 || !bytes.Equal(got.Routes, want.Routes) {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, loaded := range []Instant{now.later(time.Hour, time.Hour), now.later(-time.Hour, -time.Hour),
		now.later(0, time.Hour), {Wall: now.Wall.Add(time.Hour), Monotonic: time.Hour, Boot: "y"}} {
		if _, err := Load(dir, loaded); err == nil {
			t.Errorf("a handover saved at %v was accepted at %v", now, loaded)
		}
	}
	// A step of the wall clock does not change the age.
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		got, err := Load(dir, now.later(step, time.Second))
		if err != nil || got.Age != time.Second {
			t.Errorf("wall clock stepped by %v: age %v, error %v", step, got.Age, err)
		}
	}
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		if _, err := Parse(raw[:i], now); err == nil {
			t.Fatalf("accepted when truncated at byte %d", i)
		}
		altered := bytes.Clone(raw)
		altered[i] ^= 0x11
		if _, err := Parse(altered, now); err == nil {
			t.Fatalf("accepted when altered at byte %d", i)
		}
	}
	other := bytes.Replace(raw, []byte("lilacglade 1 "), []byte("lilacglade 2 "), 1)
	if _, err := Parse(other, now); err == nil {
		t.Error("another version was accepted")
	}
}

// FuzzParse checks that no input makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("lilacglade 1 2 00000000\n{}"))
	f.Fuzz(func(t *testing.T, raw []byte) { _, _ = Parse(raw, Instant{Wall: time.Unix(1e9, 0)}) })
}
