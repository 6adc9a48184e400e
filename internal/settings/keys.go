package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// withLine adds the line number to a JSON decoding error. The decoder read the part of raw that begins
// at the offset base.
func withLine(raw []byte, base int, err error) error {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	offset := -1
	if errors.As(err, &syntaxError) {
		offset = int(syntaxError.Offset)
	} else if errors.As(err, &typeError) {
		offset = int(typeError.Offset)
	}
	if offset < 0 || base+offset > len(raw) {
		return err
	}
	return fmt.Errorf("line %d: %w", 1+bytes.Count(raw[:base+offset], []byte("\n")), err)
}

// missingKey returns the path of the first key that the old file has and the new one lacks, or "" if
// there is none. Each element of a list must have the keys that all elements of the old list have. The
// contents of the server list (key known) are not compared.
func missingKey(oldFile, newFile []byte) string {
	var before, after any
	if json.Unmarshal(oldFile, &before) != nil || json.Unmarshal(newFile, &after) != nil {
		return "" // a file that does not parse was rejected before
	}
	return missingIn(before, after, "")
}

// missingIn is missingKey for two decoded values at the given path.
func missingIn(before, after any, path string) string {
	switch before := before.(type) {
	case map[string]any:
		after, ok := after.(map[string]any)
		if !ok {
			return path
		}
		for _, key := range slices.Sorted(maps.Keys(before)) {
			keyPath := key
			if path != "" {
				keyPath = path + "." + key
			}
			if _, present := after[key]; !present {
				return keyPath
			} else if keyPath == "known" {
				continue
			}
			if missing := missingIn(before[key], after[key], keyPath); missing != "" {
				return missing
			}
		}
	case []any:
		after, ok := after.([]any)
		if !ok {
			return path
		}
		common := commonKeys(before)
		for i := range after {
			if missing := missingIn(common, after[i], fmt.Sprintf("%s[%d]", path, i)); common != nil &&
				missing != "" {
				return missing
			}
		}
	}
	return ""
}

// commonKeys returns an object with the keys that all elements of the list have, or nil if the list is
// empty or not all elements are objects.
func commonKeys(list []any) any {
	var common map[string]any
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, present := object[key]; return !present })
	}
	if common == nil {
		return nil
	}
	return common
}
