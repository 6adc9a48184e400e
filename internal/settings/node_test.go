package settings

import (
	"strings"
	"testing"
)

const nodeJSON = `{"name":"n1","listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500",
 "seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{},
 "settings":{"balancers":4,"bounds":{"keepalive":60000.0,"connect-timeout":200.0,"most-tries":5},
 "classes":[{"name":"a","aim":400.0,"deadline":800.0,"semantics":"keyed","group":"zone"}]}}`

// env returns a getenv function over the given variables.
func env(vars map[string]string) func(string) string {
	return func(key string) string { return vars[key] }
}

// TestNode covers a valid file and a variable that overrides one of its keys.
func TestNode(t *testing.T) {
	n, err := ParseNode([]byte(nodeJSON), env(map[string]string{"NODE_LISTEN": "127.0.0.2:1"}))
	if err != nil || n.Listen != "127.0.0.2:1" || n.Seed != 0x8c1f30d27a5be964 ||
		n.Settings.KeepAlive.Seconds() != 60 {
		t.Errorf("got %+v, %v", n, err)
	}
}

// TestErrorsNameTheKey checks that an invalid setting causes a one-line error that names its key or its
// line.
func TestErrorsNameTheKey(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"name":"n1"`, `"name":""`, "name"},
		{`127.0.0.1:8081`, `localhost`, "listen"},
		{`"name":"n1"`, `"name":"n1","admin":"nowhere"`, "admin"},
		{`127.0.0.1:8500`, `127.0.0.1:0`, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`192`, `0`, "limits.memory_mb"},
		{`1024`, `10`, "limits.sockets"},
		{`"keyed"`, `"odd"`, "classes[0].semantics"},
		{`"zone"`, `"odd"`, "classes[0].group"},
		{`"settings":`, `"else":`, "settings"},
		{`"keepalive":60000.0,`, ``, "bounds.keepalive"},
		{`200.0`, `0`, "bounds.connect-timeout"},
		{`"aim":400.0,`, ``, "Classes[0].Aim"},
		{`800.0`, `0`, "classes[0].deadline"},
		{`800.0`, `"soon"`, "line 5"},
		{`"most-tries":5`, `"most-tries":0`, "MaxAttempts"},
		{`}}`, ``, "line"},
	}
	for _, tc := range tests {
		_, err := ParseNode([]byte(strings.Replace(nodeJSON, tc.old, tc.new, 1)), env(nil))
		if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: error %v, want one line with %s", tc.new, tc.old, err, tc.want)
		}
	}
	if _, err := Load(env(nil)); err == nil || !strings.Contains(err.Error(), "NODE_CONFIG") {
		t.Errorf("no environment: error %v", err)
	}
}

// TestReloadDetectsMissingKeys checks that a file that lacks a key of the current one is rejected and
// the key named. Keys that only some elements of a list have may be absent.
func TestReloadDetectsMissingKeys(t *testing.T) {
	old := `{"a":1,"known":{"x":1},"b":{"c":[{"n":1,"m":2},{"n":1}],"d":{"e":2}}}`
	for newFile, want := range map[string]string{
		`{"a":2,"known":{},"b":{"c":[{"n":7}],"d":{"e":3,"f":1}},"g":1}`: "",
		`{"known":{},"b":{"c":[],"d":{"e":2}}}`:                          "a",
		`{"a":1,"b":{"c":[],"d":{"e":2}}}`:                               "known",
		`{"a":1,"known":{},"b":{"c":[],"d":{}}}`:                         "b.d.e",
		`{"a":1,"known":{},"b":{"c":[{"n":1},{"m":1}],"d":{"e":2}}}`:     "b.c[1].n",
		`{"a":1,"known":{},"b":{"c":{},"d":{"e":2}}}`:                    "b.c",
		`{"a":1,"known":{},"b":[]}`:                                      "b",
	} {
		if got := missingKey([]byte(old), []byte(newFile)); got != want {
			t.Errorf("%s: missing key %q, want %q", newFile, got, want)
		}
	}
}
