// Package lab plays experiments on the emulator: one run, sweeps over settings and seeds, paired
// comparisons, reports with charts, and searches for scenarios on which a rule breaks or service
// falls behind the textbook.
package lab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"

	"lilacglade/internal/emulator"
)

// maxScenario bounds a scenario file, in bytes: beyond it something else was named by mistake.
const maxScenario = 1 << 20

// Load reads a scenario file. What it leaves out is as on the deployment's calm day. An error names
// the file, the line and the key.
func Load(path string) (*emulator.Scenario, []byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxScenario {
		return nil, nil, fmt.Errorf("%s: not a file of at most %d bytes", path, maxScenario)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	sc, err := Parse(raw)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return sc, raw, nil
}

// Parse reads a scenario. Keys that don't exist, and values that can't be meant, are errors.
func Parse(raw []byte) (*emulator.Scenario, error) {
	sc := emulator.Lakeshore()
	if len(bytes.TrimSpace(raw)) > 0 {
		if err := yaml.UnmarshalWithOptions(raw, &sc, yaml.Strict()); err != nil {
			return nil, errors.New(strings.TrimSpace(yaml.FormatError(err, false, true)))
		}
	}
	if err := sc.Check(); err != nil {
		return nil, at(raw, err)
	}
	return &sc, nil
}

// at adds the place of the key that an error begins with, where the file has it.
func at(raw []byte, err error) error {
	key, _, ok := strings.Cut(err.Error(), ":")
	if !ok {
		return err
	}
	path, perr := yaml.PathString("$." + key)
	if perr != nil {
		return err
	}
	node, perr := path.ReadNode(bytes.NewReader(raw))
	if perr != nil || node == nil || node.GetToken() == nil {
		return err
	}
	pos := node.GetToken().Position
	return fmt.Errorf("[%d:%d] %w", pos.Line, pos.Column, err)
}

// Setting is one place of a scenario and a value for it.
type Setting struct{ Path, Value string }

func (s Setting) String() string { return s.Path + "=" + s.Value }

// With reads a scenario with settings changed. A path is made of keys and, for lists, of numbers,
// with dots between them: troubles.0.size.
func With(raw []byte, settings []Setting) (*emulator.Scenario, error) {
	if len(settings) == 0 {
		return Parse(raw)
	}
	var tree any
	if err := yaml.Unmarshal(raw, &tree); err != nil {
		return nil, errors.New(strings.TrimSpace(yaml.FormatError(err, false, true)))
	}
	if tree == nil {
		tree = map[string]any{}
	}
	for _, s := range settings {
		var value any
		if err := yaml.Unmarshal([]byte(s.Value), &value); err != nil {
			return nil, fmt.Errorf("%s: %q is no value", s.Path, s.Value)
		}
		var err error
		if tree, err = put(tree, strings.Split(s.Path, "."), value); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Path, err)
		}
	}
	out, err := yaml.Marshal(tree)
	if err != nil {
		return nil, err
	}
	sc, err := Parse(out)
	if err != nil {
		return nil, fmt.Errorf("with %v: %w", settings, err)
	}
	return sc, nil
}

// put returns the tree with a value at a path.
func put(tree any, path []string, value any) (any, error) {
	if len(path) == 0 {
		return value, nil
	}
	switch t := tree.(type) {
	case nil:
		v, err := put(nil, path[1:], value)
		return map[string]any{path[0]: v}, err
	case map[string]any:
		v, err := put(t[path[0]], path[1:], value)
		t[path[0]] = v
		return t, err
	case []any:
		var i int
		if _, err := fmt.Sscanf(path[0], "%d", &i); err != nil || i < 0 || i >= len(t) {
			return nil, fmt.Errorf("%q is no place in a list of %d", path[0], len(t))
		}
		v, err := put(t[i], path[1:], value)
		t[i] = v
		return t, err
	}
	return nil, fmt.Errorf("%q lies within a value", path[0])
}

// Dump writes a scenario whole, as Load reads it.
func Dump(sc *emulator.Scenario) ([]byte, error) { return yaml.Marshal(sc) }

// Brief writes what a scenario has that the deployment's calm day has not, as Load reads it.
func Brief(sc *emulator.Scenario) ([]byte, error) {
	calm := emulator.Lakeshore()
	var trees [2]yaml.MapSlice
	for i, s := range []*emulator.Scenario{sc, &calm} {
		raw, err := Dump(s)
		if err != nil {
			return nil, err
		}
		if err := yaml.UnmarshalWithOptions(raw, &trees[i], yaml.UseOrderedMap()); err != nil {
			return nil, err
		}
	}
	return yaml.Marshal(without(trees[0], trees[1]))
}

// without leaves out of a tree what another has as well, and of lists' members what is nothing.
func without(tree, common yaml.MapSlice) (out yaml.MapSlice) {
	of := map[any]any{}
	for _, item := range common {
		of[item.Key] = item.Value
	}
	for _, item := range tree {
		sub, ok := item.Value.(yaml.MapSlice)
		other, both := of[item.Key].(yaml.MapSlice)
		switch {
		case ok && both:
			if sub = without(sub, other); len(sub) > 0 {
				out = append(out, yaml.MapItem{Key: item.Key, Value: sub})
			}
		case !reflect.DeepEqual(item.Value, of[item.Key]):
			if list, ok := item.Value.([]any); ok {
				item.Value = slim(list)
			}
			out = append(out, item)
		}
	}
	return out
}

func slim(list []any) []any {
	out := make([]any, len(list))
	for i, v := range list {
		m, ok := v.(yaml.MapSlice)
		if !ok {
			out[i] = v
			continue
		}
		var kept yaml.MapSlice
		for _, item := range m {
			switch fmt.Sprint(item.Value) {
			case "", "0", "0s", "false", "[]":
			default:
				kept = append(kept, item)
			}
		}
		out[i] = kept
	}
	return out
}
