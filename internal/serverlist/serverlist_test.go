package serverlist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	lg "lilacglade"
)

// testNow is a time on the proxy's clock, long after all start times in the tests.
const testNow = 365 * 24 * time.Hour

// doc returns a document with entries.
func doc(version, full, entries string) []byte {
	return []byte(`{"generation":` + version + `,"reset":` + full + `,"instances":[` + entries + `]}`)
}

// entry returns one instance of a document.
func entry(id, addr, state, weight, started string) string {
	return `{"instanceId":"` + id + `","hostPort":"` + addr + `","zone":"b","machineType":"m2","cell":3,` +
		`"lifecycle":"` + state + `","weight":` + weight + `,"startedAtMs":` + started + `}`
}

// apply decodes a document and applies it to a Store, as the proxy does.
func apply(s *Store, raw []byte, now time.Duration) (lg.List, error) {
	doc, err := new(Decoder).Decode(raw)
	if err != nil {
		s.RequestFull()
		return lg.List{}, err
	}
	return s.Apply(doc, now)
}

func applyLate(s *Store, raw []byte, now time.Duration) (lg.List, bool) {
	doc, err := new(Decoder).Decode(raw)
	if err != nil {
		return lg.List{}, false
	}
	return s.ApplyLate(doc, now)
}

func applyCached(s *Store, raw []byte, now time.Duration) (lg.List, error) {
	doc, err := new(Decoder).Decode(raw)
	if err != nil {
		return lg.List{}, err
	}
	return s.ApplyCached(doc, now)
}

var good = entry("s-1", "127.0.0.1:81", "ready", "1.5", "1700000060000")

// newTestStore returns a Store with one server, s-1, at version 41.
func newTestStore(t *testing.T) *Store {
	s := New([]string{"a", "b"}, []string{"m1", "m2"}, time.UnixMilli(1700000000000))
	if _, err := apply(s, doc("41", "true", good), testNow); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestListsAndChanges checks the changes and the queries after a full list and changes.
func TestListsAndChanges(t *testing.T) {
	s := newTestStore(t)
	list, err := apply(s, doc("42", "false",
		entry("s-1", "127.0.0.1:82", "draining", "1.5", "1700000060000")), testNow)
	want := lg.Server{ID: ID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: lg.Draining, Weight: 1.5,
		Started: time.Minute}
	if err != nil || list.Kind != lg.Changes || len(list.Servers) != 1 || list.Servers[0] != want {
		t.Errorf("got %+v, %v; want %+v", list, err, want)
	}
	if s.Address(ID("s-1")) != "127.0.0.1:82" {
		t.Error("the address was not updated")
	}
	if q := s.Query(time.Hour, time.Hour+20*time.Second); q != "/v1/servers?since=42&timeout_ms=20000" {
		t.Errorf("query %s", q)
	}
	_, err = apply(s, doc("43", "false", entry("s-1", "", "gone", "1", "0")), testNow)
	if err != nil || s.Address(ID("s-1")) != "" {
		t.Errorf("gone: %v, %q", err, s.Address(ID("s-1")))
	}
}

// TestVersionZero checks that a watch follows a full list of version 0: otherwise a proxy would ask for full
// lists forever where discovery counts from zero. After an empty list that an earlier process has stored
// no watch follows.
func TestVersionZero(t *testing.T) {
	const watch = "/v1/servers?since=0&timeout_ms=1000"
	s := New(nil, nil, time.UnixMilli(1700000000000))
	cached, err := new(Decoder).Decode(doc("0", "true", ""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.ApplyCached(cached, testNow); err != nil || s.Query(0, time.Second) != "/v1/servers" {
		t.Errorf("no list known: %v, query %s", err, s.Query(0, time.Second))
	}
	for _, tc := range []struct{ entries, want string }{{"", watch}, {good, watch}, {"", watch}} {
		_, err := apply(s, doc("0", "true", tc.entries), testNow)
		if err != nil || s.Query(0, time.Second) != tc.want {
			t.Errorf("%d known: %v, query %s", len(tc.entries), err, s.Query(0, time.Second))
		}
	}
	if s.RequestFull(); s.Query(0, time.Second) != "/v1/servers" {
		t.Error("the next query does not ask for the full list")
	}
}

// TestListWithoutServers guards against servers that stay in use although a full list names none: what a
// full list doesn't name is gone. Changes since its version follow.
func TestListWithoutServers(t *testing.T) {
	for name, empty := range map[string][]byte{"empty": doc("43", "true", ""),
		"null": []byte(`{"generation":43,"reset":true,"instances":null}`)} {
		s := newTestStore(t)
		list, err := apply(s, empty, testNow)
		if err != nil || len(list.Servers) != 1 || list.Servers[0].ID != ID("s-1") ||
			list.Servers[0].State != lg.Gone || s.Address(ID("s-1")) != "" {
			t.Errorf("%s: %+v, %v", name, list, err)
		}
		if q := s.Query(0, time.Second); q != "/v1/servers?since=43&timeout_ms=1000" {
			t.Errorf("%s: query %s", name, q)
		}
		list, err = apply(s, doc("44", "false", good), testNow)
		if err != nil || len(list.Servers) != 1 || list.Servers[0].State != lg.Ready {
			t.Errorf("%s: then %+v, %v", name, list, err)
		}
	}
}

// TestIndentedList checks a list with white space wherever JSON allows it.
func TestIndentedList(t *testing.T) {
	var b bytes.Buffer
	if err := json.Indent(&b, doc("5", "true", good), "\t", "  "); err != nil {
		t.Fatal(err)
	}
	plain, _ := apply(New(nil, nil, time.UnixMilli(1700000000000)), doc("5", "true", good), testNow)
	got, err := apply(New(nil, nil, time.UnixMilli(1700000000000)), b.Bytes(), testNow)
	if err != nil || !reflect.DeepEqual(got, plain) || len(got.Servers) == 0 {
		t.Errorf("%v, %+v in place of %+v", err, got, plain)
	}
}

// TestLateDocument checks that a document that answers a call after its timeout is applied only if it
// is newer, and has no other effect.
func TestLateDocument(t *testing.T) {
	s := New(nil, nil, time.UnixMilli(1700000000000))
	if _, ok := applyLate(s, doc("5", "true", good), testNow); ok {
		t.Error("applied before the first list of this discovery")
	}
	if _, err := apply(s, doc("5", "true", good), testNow); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		raw  []byte
		ok   bool
		next string
	}{{doc("5", "false", ""), false, "5"}, {doc("4", "true", good), false, "5"}, {[]byte("{"), false, "5"},
		{doc("6", "false", ""), true, "6"}} {
		if _, ok := applyLate(s, tc.raw, testNow); ok != tc.ok ||
			s.Query(0, time.Second) != "/v1/servers?since="+tc.next+"&timeout_ms=1000" {
			t.Errorf("%s: applied %t, query %s", tc.raw, ok, s.Query(0, time.Second))
		}
	}
}

// TestInvalidDocumentKeepsTheList checks that an invalid document does not change the list, and that the next
// query asks for the full list.
func TestInvalidDocumentKeepsTheList(t *testing.T) {
	tests := map[string][]byte{
		"unexpected end":    []byte(`{"generation":42`),
		"no generation":     []byte(`{"instances":[]}`),
		"is known":          doc("40", "false", ""),
		"without instances": []byte(`{"generation":42,"reset":true}`),
		"unknown lifecycle": doc("42", "true", entry("s-2", "127.0.0.1:81", "tired", "1", "0")),
		"hostPort":          doc("42", "true", entry("s-2", "elsewhere", "ready", "1", "0")),
		"weight":            doc("42", "true", entry("s-2", "127.0.0.1:81", "ready", "-1", "0")),
		"startedAtMs":       doc("42", "true", entry("s-2", "127.0.0.1:81", "ready", "1", "1e300")),
		"empty or repeated": doc("42", "true", good+","+good),
	}
	for want, raw := range tests {
		s := newTestStore(t)
		if _, err := apply(s, raw, testNow); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", want, err)
		}
		if s.Address(ID("s-1")) != "127.0.0.1:81" || s.Query(0, 0) != "/v1/servers" {
			t.Errorf("%s: the list changed, or the next query does not ask for the full list", want)
		}
	}
}

// TestChanges checks what is reported as changed by each document.
func TestChanges(t *testing.T) {
	s := New(nil, nil, time.Unix(0, 0))
	entry := func(id, state string, started int) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:1","lifecycle":%q,"startedAtMs":%d}`, id, state,
			started)
	}
	for i, step := range []struct {
		full    bool
		entries []string
		want    string
	}{
		{true, []string{entry("b", "ready", 0), entry("a", "ready", 0)}, "[{a 0 false} {b 0 false}]"},
		{true, []string{entry("b", "ready", 0), entry("a", "ready", 0)}, "[]"},
		{false, []string{entry("a", "draining", 0), entry("z", "gone", 0)}, "[{a 1 false}]"},
		{false, []string{entry("b", "ready", 7)}, "[{b 0 true}]"},
		{true, []string{entry("b", "ready", 7)}, "[{a 2 false}]"},
		{false, []string{entry("b", "gone", 7)}, "[{b 2 false}]"},
	} {
		raw := fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, i, step.full,
			strings.Join(step.entries, ","))
		if _, err := apply(s, []byte(raw), testNow); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(s.Changes()); got != step.want {
			t.Errorf("document %d: %s, want %s", i, got, step.want)
		}
	}
}
