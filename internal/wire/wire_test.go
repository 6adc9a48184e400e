package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	lg "lilacglade"
	"lilacglade/internal/settings"
)

// bootJSON holds the settings of the instance that the tests create. It contains a key and a load
// field that the decoder does not know.
const bootJSON = `{"azs": ["a", "b"], "balancers": 2, "me": 1, "zone": 1, "future-key": {"x": [1]},
 "bounds": {"cancel": true, "max-retry-after": 600.0, "most-tries": 6, "retry-after": true},
 "classes": [{"aim": 300.0, "deadline": 1200.0, "name": "lookup", "semantics": "safe", "worth": 1.0},
  {"aim": 250.0, "deadline": 1000.0, "group": "cell", "memory-span": 600.0, "name": "join",
   "semantics": "keyed", "worth": 8.0}],
 "counted-by": "work", "membership-mode": "on_request", "stage": 0, "tiers": ["t"],
 "reporting": {"how": "piggyback", "names": ["busy", "brand-new", "rif"]},
 "rules": {"ask-every": 10000.0, "cold-from": 0.13, "overload-for": 3000.0, "tip-multiple": 3.0,
  "warm-within": 23000.0}}`

// frame builds a batch from a clock in hexadecimal, records in hexadecimal (padded with zeros to
// their size) and a tail.
func frame(t testing.TB, clock string, tail []byte, records ...string) []byte {
	t.Helper()
	header := make([]byte, 8)
	order.PutUint32(header, uint32(len(records)))
	out := append(header, decodeHex(t, clock)...)
	for _, r := range records {
		rec := decodeHex(t, r)
		out = append(out, append(rec, make([]byte, eventSize-len(rec))...)...)
	}
	out = append(out, tail...)
	order.PutUint32(out[4:], uint32(len(out)))
	return out
}

// decodeHex decodes hexadecimal digits, ignoring spaces.
func decodeHex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// clock is the time of the test batches in hexadecimal: a 64-bit float in milliseconds.
const clock = "40c06e2000000000"

// createRecords returns the records and the tail that create instance 3 with two servers.
func createRecords(t testing.TB) (records []string, tail []byte) {
	boot := fmt.Sprintf("%08x", len(bootJSON))
	entries := decodeHex(t, "0a124a07 232b 00 00 0000 02 3f800000 0000000000000000"+
		"0a9011f2 2354 01 00 0000 02 3fc00000 0000000000000000")
	return []string{
		"04 0003",
		"01 000000000000002a 00000000" + boot,
		"06 0000" + fmt.Sprintf("%08x", len(bootJSON)) + "00000002",
		"05 02 00000029 0000",
	}, append([]byte(bootJSON), entries...)
}

// serve passes in to a new Host and returns the replies in hexadecimal.
func serve(t testing.TB, in []byte) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := NewHost().Serve(bytes.NewReader(in), &out)
	return hex.EncodeToString(out.Bytes()), err
}

func TestEmptyBatch(t *testing.T) {
	got, err := serve(t, decodeHex(t, "00000000 00000010"+clock))
	if want := "0000000000000008"; err != nil || got != want {
		t.Errorf("got %s, %v; want %s", got, err, want)
	}
}

func TestReturnedDecodes(t *testing.T) {
	rec := append(decodeHex(t, "00 5d3a91c4 0001 0000 0a124a07 232b 01 4032800000000000"+
		"03 3f1eb852 40e00000 3f000000 00000000"), make([]byte, 7)...)
	got, err := NewHost().decodeEvent(&batch{}, rec)
	want := lg.Outcome{Request: 0x5d3a91c4, Server: 0x0a124a07232b, Result: lg.OK, Closed: true,
		Latency: 18500 * time.Microsecond,
		Load:    lg.LoadReport{N: 3, Values: [4]float64{float64(float32(0.62)), 7, 0.5, 0}}}
	if err != nil || got != lg.Event(want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}

func TestKnockDecodes(t *testing.T) {
	rec := append(decodeHex(t,
		"09 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 01"),
		make([]byte, 12)...)
	got, err := NewHost().decodeEvent(&batch{}, rec)
	want := lg.Request{ID: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, HasKey: true,
		Budget: 240 * time.Millisecond, Cost: 12 * time.Millisecond}
	if err != nil || got != lg.Event(want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}

func TestActionsEncode(t *testing.T) {
	tests := []struct {
		a    lg.Action
		want string
	}{
		{lg.Action{Do: lg.Send, Request: 0x5d3a91c4, Server: 0x0a124a07232b, For: 80 * time.Millisecond},
			"40 5d3a91c4 0a124a07 232b 4054000000000000 0000000000"},
		{lg.Action{Do: lg.Refuse, Request: 0x0e6f2b19, For: 250 * time.Millisecond},
			"41 0e6f2b19 406f400000000000 0000000000000000000000"},
		{lg.Action{Do: lg.Fail, Request: 0x0e6f2b19}, "47 0e6f2b19 00000000000000000000000000000000000000"},
		{lg.Action{Do: lg.SetTimer, For: 500 * time.Millisecond, Token: 0x4d},
			"45 407f400000000000 0000004d 0000000000000000000000"},
		{lg.Action{Do: lg.Subscribe}, "43 01 00000000000000000000000000000000000000000000"},
		{lg.Action{Do: lg.Log, Text: "two servers known"}, "44 00000000 00000011" + strings.Repeat("00", 15) +
			"74776f2073657276657273206b6e6f776e"},
	}
	for _, tc := range tests {
		var r reply
		r.reset()
		r.addAction(tc.a)
		if got, want := r.frame()[replyHeader:], decodeHex(t, tc.want); !bytes.Equal(got, want) {
			t.Errorf("%+v: got %x, want %x", tc.a, got, want)
		}
	}
}

func TestRequestIsSent(t *testing.T) {
	records, tail := createRecords(t)
	records = append(records, "09 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 01")
	got, err := serve(t, frame(t, clock, tail, records...))
	if err != nil || !strings.Contains(got, "405d3a91c40a") {
		t.Errorf("got %s, %v; want a Send of the request", got, err)
	}
}

func TestSettings(t *testing.T) {
	set, err := settings.Decode([]byte(bootJSON))
	if err != nil {
		t.Fatal(err)
	}
	if len(set.Report) != 3 || set.Report[1] != lg.LoadOther ||
		set.Report[2] != lg.LoadInFlight {
		t.Errorf("report fields %v", set.Report)
	}
	if c := set.Classes[1]; c.Group != lg.GroupCell || c.Memory != 600*time.Millisecond || !set.WorthByWork {
		t.Errorf("got %+v", set)
	}
}

func TestMalformedInput(t *testing.T) {
	records, tail := createRecords(t)
	good := frame(t, clock, tail, records...)
	with := func(rec string) []byte { return frame(t, clock, tail, append(records, rec)...) }
	corrupt := func(old, new string) []byte {
		return bytes.Replace(good, []byte(old), []byte(new), 1)
	}
	tests := map[string]struct {
		in   []byte
		want string
	}{
		"cut header":        {good[:7], "frame header"},
		"cut body":          {good[:len(good)-1], "frame body"},
		"length too short":  {decodeHex(t, "00000002 00000010"+clock), "length 16, but 2 records take 112"},
		"huge length":       {decodeHex(t, "00000000 ffffffff"+clock), "frame body"},
		"unknown event":     {with("0c"), "record 4: unknown event code 12"},
		"unknown instance":  {frame(t, clock, nil, "04 0009", "03 0000004d"), "record 1: instance 9"},
		"no instance":       {frame(t, clock, nil, "03 0000004d"), "before any Instance"},
		"offset past tail":  {frame(t, clock, nil, "04 0003", "01 000000000000002a 00000005 00000001"), "past"},
		"count past tail":   {frame(t, clock, nil, "06 0000 00000000 ffffffff"), "past the tail"},
		"unknown table":     {with("05 00 00000029 0005"), "no table 5"},
		"unknown scope":     {with("05 07 00000029 0000"), "unknown scope 7"},
		"unknown ending":    {with("00 00000001 0009"), "unknown ending 9"},
		"load report of 5":  {with("00 00000001 0001 0000 0a124a07 232b 01 4032800000000000 05"), "5 values"},
		"broken settings":   {corrupt(`{"azs"`, `["azs"`), "settings"},
		"unknown class":     {corrupt(`"semantics": "safe"`, `"semantics": "sofa"`), `unknown kind "sofa"`},
		"stage past tiers":  {corrupt(`"stage": 0`, `"stage": 3`), "stage 3"},
		"zone out of range": {corrupt(`"zone": 1`, `"zone": 7`), "Zone is 7"},
		"clock no number":   {decodeHex(t, "00000000 00000010 7ff8000000000001"), "clock"},
	}
	for name, tc := range tests {
		_, err := serve(t, tc.in)
		if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", name, err, tc.want)
		}
	}
	if _, err := serve(t, good); err != nil {
		t.Errorf("the unmodified frame: %v", err)
	}
}

// TestInstanceIsIndependentOfOthers checks that an instance answers the same events with the same actions
// whether it runs alone or interleaved with another instance.
func TestInstanceIsIndependentOfOthers(t *testing.T) {
	records, tail := createRecords(t)
	for id := range 50 {
		records = append(records, "09 000000"+hex.EncodeToString([]byte{byte(id)})+
			"0000 00000000 00000000000000"+hex.EncodeToString([]byte{byte(id)})+"406e000000000000")
	}
	var interleaved []string
	for _, r := range records {
		interleaved = append(interleaved, r)
		if strings.HasPrefix(r, "09") {
			interleaved = append(interleaved, "04 0004", strings.Replace(r, "09 000000", "09 000001", 1), "04 0003")
		}
	}
	otherInstance := append([]string{"04 0004"}, records[1:4]...)
	alone, err := serve(t, frame(t, clock, tail, records...))
	if err != nil {
		t.Fatal(err)
	}
	together, err := serve(t, frame(t, clock, tail, append(otherInstance, interleaved...)...))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := instanceActions(t, together, 3), instanceActions(t, alone, 3); got != want || want == "" {
		t.Errorf("alone %s\ntogether %s", want, got)
	}
}

// instanceActions returns the action records of one instance in a reply, in hexadecimal.
func instanceActions(t *testing.T, reply string, inst uint16) string {
	raw := decodeHex(t, reply)
	var out bytes.Buffer
	current := uint16(0)
	for i := range int(order.Uint32(raw)) {
		rec := raw[replyHeader+i*actionSize:][:actionSize]
		if rec[0] == acContext {
			current = order.Uint16(rec[1:])
		} else if current == inst {
			out.WriteString(hex.EncodeToString(rec))
		}
	}
	return out.String()
}

// FuzzServe checks that any input gives well-formed replies, and that an error has a text.
func FuzzServe(f *testing.F) {
	records, tail := createRecords(f)
	f.Add(frame(f, clock, tail, records...))
	f.Add(frame(f, clock, tail, append(records, "09 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000",
		"0b 5d3a91c4", "03 00000001", "07")...))
	f.Add(decodeHex(f, "00000000 00000010"+clock))
	f.Add(decodeHex(f, "00000000 ffffffff"+clock))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		if err := NewHost().Serve(bytes.NewReader(in), &out); err != nil && strings.TrimSpace(err.Error()) == "" {
			t.Error("error without a text")
		}
		for rest := out.Bytes(); len(rest) > 0; {
			if len(rest) < replyHeader || int(order.Uint32(rest[4:])) > len(rest) {
				t.Fatalf("reply of %d bytes is shorter than its header says", len(rest))
			}
			rest = rest[order.Uint32(rest[4:]):]
		}
	})
}

func TestEndOfInput(t *testing.T) {
	if err := NewHost().Serve(strings.NewReader(""), io.Discard); err != nil {
		t.Errorf("empty input: got error %v", err)
	}
}
