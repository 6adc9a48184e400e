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

// TestDecodeMatchesEncodingJSON checks that documents decoded instance by instance, with many
// instances from the cache, equal what encoding/json decodes from the entire document.
func TestDecodeMatchesEncodingJSON(t *testing.T) {
	rng := rand.New(rand.NewPCG(41, 1))
	d := new(Decoder)
	instanceJSON := func(i int) string {
		raw, err := json.Marshal(instance{ID: fmt.Sprintf("s-%d \"\u00e9", i), Addr: "127.0.0.1:81",
			Zone: []string{"a", "b"}[rng.IntN(2)], Kind: "m", Cell: rng.IntN(3),
			State: []string{"ready", "draining", "gone"}[rng.IntN(3)], Weight: rng.Float64() * 4,
			Started: float64(rng.IntN(2)) * 1.7e12})
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	instances := make([]string, 300)
	for i := range instances {
		instances[i] = instanceJSON(i)
	}
	for round := range 200 {
		for range rng.IntN(5) {
			i := rng.IntN(len(instances))
			instances[i] = instanceJSON(i)
		}
		from := rng.IntN(len(instances))
		sep := []string{",", " ,\n\t"}[rng.IntN(2)]
		raw := fmt.Sprintf(`{"generation":%d,"reset":%t,"other":[{"instances":1}],"instances":[%s]}`, round,
			from == 0, strings.Join(instances[from:], sep))
		got, err := d.Decode([]byte(raw))
		if err != nil {
			t.Fatal(err)
		}
		var want struct {
			Version   uint64     `json:"generation"`
			Full      bool       `json:"reset"`
			Instances []instance `json:"instances"`
		}
		if err := json.Unmarshal([]byte(raw), &want); err != nil {
			t.Fatal(err)
		}
		for i := range want.Instances {
			want.Instances[i].key = ID(want.Instances[i].ID)
		}
		if got.version != want.Version || got.full != want.Full ||
			!reflect.DeepEqual(got.instances, want.Instances) {
			t.Fatalf("round %d: %d instances, want %d", round, len(got.instances), len(want.Instances))
		}
	}
}

// TestDecodeInvalid checks that documents with values of a wrong type are rejected.
func TestDecodeInvalid(t *testing.T) {
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
		t.Errorf("a document without changes: %v", err)
	}
}

// TestDecoderCacheIsLimited checks that the cache holds the instances of the last full list, or maxCached.
func TestDecoderCacheIsLimited(t *testing.T) {
	d := new(Decoder)
	for i := range 3 * maxCached {
		raw := doc(fmt.Sprint(i), "false", entry(fmt.Sprint("s", i), "1.1.1.1:1", "ready", "1", "0"))
		if _, err := d.Decode(raw); err != nil {
			t.Fatal(err)
		}
	}
	if len(d.cache) > maxCached+1 {
		t.Errorf("%d instances are cached", len(d.cache))
	}
	if _, err := d.Decode(doc("9", "true", good)); err != nil || len(d.cache) != 1 {
		t.Errorf("%v; %d instances are cached after a full list of one", err, len(d.cache))
	}
}

// TestChangesMakeTheList checks that the changes that a Store returns add up to the list it received, in full
// or as changes, with instances that are repeated, gone, unknown and gone, or no longer named.
func TestChangesMakeTheList(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		store, decoder := New([]string{"b"}, []string{"m2"}, time.UnixMilli(1700000000000)), new(Decoder)
		model, known := map[string]string{}, map[lg.ServerID]lg.Server{}
		for version := 1; version < 60; version++ {
			full := version == 1 || rng.IntN(4) == 0
			var entries []string
			if full && rng.IntN(3) > 0 {
				model = map[string]string{}
			}
			for range 1 + rng.IntN(6) {
				id, state := fmt.Sprint("s", rng.IntN(9)), []string{"ready", "draining", "gone"}[rng.IntN(3)]
				model[id] = entry(id, fmt.Sprint("127.0.0.1:", 1+rng.IntN(3)), state, "1", "0")
				if !full {
					entries = append(entries, model[id])
				}
			}
			if full {
				for _, entry := range model {
					entries = append(entries, entry)
				}
			} else {
				entries = unique(entries, model)
			}
			decoded, err := decoder.Decode(doc(fmt.Sprint(version), fmt.Sprint(full), strings.Join(entries, ",")))
			if err != nil {
				t.Fatal(err)
			}
			list, err := store.Apply(decoded, testNow)
			if err != nil {
				t.Fatal(err)
			}
			if list.Kind == lg.FullList {
				clear(known)
			}
			for _, server := range list.Servers {
				if known[server.ID] = server; server.State == lg.Gone {
					delete(known, server.ID)
				}
			}
			for id, entry := range model {
				if strings.Contains(entry, `"gone"`) {
					delete(model, id)
				}
			}
			check(t, seed, store, model, known)
		}
	}
}

// unique drops all but the last entry of each server, since a document names each server once.
func unique(entries []string, model map[string]string) (last []string) {
	for _, entry := range entries {
		for _, current := range model {
			if entry == current && !strings.Contains(strings.Join(last, ","), entry) {
				last = append(last, entry)
			}
		}
	}
	return last
}

// check compares the model with the servers known from the Store's changes and with the Store's own records.
func check(t *testing.T, seed uint64, store *Store, model map[string]string,
	known map[lg.ServerID]lg.Server) {
	t.Helper()
	if len(model) != len(known) || len(model) != len(store.records) {
		t.Fatalf("seed %d: %d listed, %d known, %d in the Store", seed, len(model), len(known), len(store.records))
	}
	for id, entry := range model {
		server := known[ID(id)]
		if got := []string{"ready", "draining"}[server.State]; !strings.Contains(entry, got) ||
			!strings.Contains(entry, store.Address(server.ID)+`"`) {
			t.Fatalf("seed %d: %s is known as %+v at %s", seed, entry, server, store.Address(server.ID))
		}
	}
}

// BenchmarkWholeListUnchanged decodes and applies a full list of thousands of servers, one of them changed.
func BenchmarkWholeListUnchanged(b *testing.B) {
	entries := make([]string, 3200)
	for i := range entries {
		entries[i] = entry(fmt.Sprint("s-", i), "127.0.0.1:81", "ready", "1", "0")
	}
	decoder, store := new(Decoder), New([]string{"b"}, []string{"m2"}, time.UnixMilli(1700000000000))
	for i := range b.N {
		entries[i%len(entries)] = entry(fmt.Sprint("s-", i%len(entries)), "127.0.0.1:81", "draining", "1",
			fmt.Sprint(i))
		decoded, err := decoder.Decode(doc(fmt.Sprint(i+1), "true", strings.Join(entries, ",")))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := store.Apply(decoded, testNow); err != nil {
			b.Fatal(err)
		}
	}
}
