package serverlist

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	lg "lilacglade"
)

// TestDecodeAgainstTheLibrary holds that documents read line by line, of which many lines are known, are what
// encoding/json makes of the whole.
func TestDecodeAgainstTheLibrary(t *testing.T) {
	rng := rand.New(rand.NewPCG(41, 1))
	d := new(Decoder)
	line := func(i int) string {
		raw, err := json.Marshal(instance{ID: fmt.Sprintf("s-%d \"\u00e9", i), Addr: "127.0.0.1:81",
			Zone: []string{"a", "b"}[rng.IntN(2)], Kind: "m", Cell: rng.IntN(3),
			State: []string{"ready", "draining", "gone"}[rng.IntN(3)], Weight: rng.Float64() * 4,
			Started: float64(rng.IntN(2)) * 1.7e12})
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	lines := make([]string, 300)
	for i := range lines {
		lines[i] = line(i)
	}
	for round := range 200 {
		for range rng.IntN(5) {
			i := rng.IntN(len(lines))
			lines[i] = line(i)
		}
		from := rng.IntN(len(lines))
		sep := []string{",", " ,\n\t"}[rng.IntN(2)]
		raw := fmt.Sprintf(`{"generation":%d,"reset":%t,"other":[{"instances":1}],"instances":[%s]}`, round,
			from == 0, strings.Join(lines[from:], sep))
		got, err := d.Decode([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		var want struct {
			Version   uint64     `json:"generation"`
			Whole     bool       `json:"reset"`
			Instances []instance `json:"instances"`
		}
		if err := json.Unmarshal([]byte(raw), &want); err != nil {
			t.Fatal(err)
		}
		for i := range want.Instances {
			want.Instances[i].key = ID(want.Instances[i].ID)
		}
		if got.version != want.Version || got.whole != want.Whole ||
			!reflect.DeepEqual(got.instances, want.Instances) {
			t.Fatalf("round %d: %d instances, want %d", round, len(got.instances), len(want.Instances))
		}
	}
}

// TestDecodeNonsense covers documents whose parts are of another kind than they should be.
func TestDecodeNonsense(t *testing.T) {
	for raw, want := range map[string]string{
		``:      "unexpected end",
		`nulll`: "invalid character",
		`[]`:    "no generation",
		`{"generation":-1,"reset":true,"instances":[]}`:                                 "generation",
		`{"generation":1.5,"reset":true,"instances":[]}`:                                "generation",
		`{"generation":"1","reset":true,"instances":[]}`:                                "generation",
		`{"generation":1,"reset":"yes","instances":[]}`:                                 "reset",
		`{"generation":1,"reset":true,"instances":{"a":1}}`:                             "instances",
		`{"generation":1,"reset":true,"instances":[7]}`:                                 "cannot unmarshal",
		`{"generation":1,"reset":true,"instances":[{"instanceId":7}]}`:                  "cannot unmarshal",
		`{"generation":1,"reset":true,"instances":[{"instanceId":"a","weight":1e999}]}`: "cannot unmarshal",
	} {
		if doc, err := new(Decoder).Decode([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %+v, %v; want %s", raw, doc, err, want)
		}
	}
	if _, err := new(Decoder).Decode([]byte(`{"generation":1,"instances":null}`)); err != nil {
		t.Errorf("a document without news: %v", err)
	}
}

// TestDecoderIsBounded holds the memory of lines to those of the last whole list, or a bound.
func TestDecoderIsBounded(t *testing.T) {
	d := new(Decoder)
	for i := range 3 * mostLines {
		raw := doc(fmt.Sprint(i), "false", entry(fmt.Sprint("s", i), "1.1.1.1:1", "ready", "1", "0"))
		if _, err := d.Decode(raw); err != nil {
			t.Fatal(err)
		}
	}
	if len(d.lines) > mostLines+1 {
		t.Errorf("%d lines are kept", len(d.lines))
	}
	if _, err := d.Decode(doc("9", "true", good)); err != nil || len(d.lines) != 1 {
		t.Errorf("%v; %d lines are kept after a whole list of one", err, len(d.lines))
	}
}

// TestDifferencesMakeTheList holds that who goes by the changes that a Set returns knows the list that it was
// given, whole or in changes, with lines that are repeated, gone, unknown and gone, or no longer named.
func TestDifferencesMakeTheList(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s, d := New([]string{"b"}, []string{"m2"}, time.UnixMilli(1700000000000)), new(Decoder)
		model, known := map[string]string{}, map[lg.ServerID]lg.Server{}
		for version := 1; version < 60; version++ {
			whole := version == 1 || rng.IntN(4) == 0
			var lines []string
			if whole && rng.IntN(3) > 0 {
				model = map[string]string{}
			}
			for range 1 + rng.IntN(6) {
				id, state := fmt.Sprint("s", rng.IntN(9)), []string{"ready", "draining", "gone"}[rng.IntN(3)]
				model[id] = entry(id, fmt.Sprint("127.0.0.1:", 1+rng.IntN(3)), state, "1", "0")
				if !whole {
					lines = append(lines, model[id])
				}
			}
			if whole {
				for _, line := range model {
					lines = append(lines, line)
				}
			} else {
				lines = unique(lines, model)
			}
			read, err := d.Decode(doc(fmt.Sprint(version), fmt.Sprint(whole), strings.Join(lines, ",")))
			if err != nil {
				t.Fatal(err)
			}
			list, err := s.Apply(read, testNow)
			if err != nil {
				t.Fatal(err)
			}
			if list.Kind == lg.FullList {
				clear(known)
			}
			for _, l := range list.Servers {
				if known[l.ID] = l; l.State == lg.Gone {
					delete(known, l.ID)
				}
			}
			for id, line := range model {
				if strings.Contains(line, `"gone"`) {
					delete(model, id)
				}
			}
			check(t, seed, s, model, known)
		}
	}
}

// unique drops all but the last line of each server, as a document names each once.
func unique(lines []string, model map[string]string) (last []string) {
	for _, line := range lines {
		for _, now := range model {
			if line == now && !strings.Contains(strings.Join(last, ","), line) {
				last = append(last, line)
			}
		}
	}
	return last
}

func check(t *testing.T, seed uint64, s *Store, model map[string]string, known map[lg.ServerID]lg.Server) {
	t.Helper()
	if len(model) != len(known) || len(model) != len(s.told) {
		t.Fatalf("seed %d: %d listed, %d known, %d by the Set", seed, len(model), len(known), len(s.told))
	}
	for id, line := range model {
		l := known[ID(id)]
		if got := []string{"ready", "draining"}[l.State]; !strings.Contains(line, got) ||
			!strings.Contains(line, s.Address(l.ID)+`"`) {
			t.Fatalf("seed %d: %s is known as %+v at %s", seed, line, l, s.Address(l.ID))
		}
	}
}

// BenchmarkWholeListUnchanged is a whole list of thousands in which one line differs from the last.
func BenchmarkWholeListUnchanged(b *testing.B) {
	lines := make([]string, 3200)
	for i := range lines {
		lines[i] = entry(fmt.Sprint("s-", i), "127.0.0.1:81", "ready", "1", "0")
	}
	d, s := new(Decoder), New([]string{"b"}, []string{"m2"}, time.UnixMilli(1700000000000))
	for i := range b.N {
		lines[i%len(lines)] = entry(fmt.Sprint("s-", i%len(lines)), "127.0.0.1:81", "draining", "1", fmt.Sprint(i))
		read, err := d.Decode(doc(fmt.Sprint(i+1), "true", strings.Join(lines, ",")))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Apply(read, testNow); err != nil {
			b.Fatal(err)
		}
	}
}
