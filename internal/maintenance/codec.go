package maintenance

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The encoding is deterministic: equal states encode to equal bytes on every proxy. The decoder
// limits the sizes that it accepts, since its input may come from an untrusted process.
var (
	encode = must(cbor.CoreDetEncOptions().EncMode())
	decode = must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

// must returns v, and panics on an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the encoding of a value for another process or the disk. It panics on types that
// can't be encoded.
func Encode(v any) []byte { return must(encode.Marshal(v)) }

// Decode decodes the output of Encode into v.
func Decode(raw []byte, v any) error {
	if err := decode.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("not understood: %w", err)
	}
	return nil
}

// Restore decodes a state that Encode has encoded.
func Restore(raw []byte) (*State, error) {
	s := New()
	if err := Decode(raw, s); err != nil {
		return nil, err
	}
	s.InitMaps()
	return s, nil
}

// InitMaps replaces nil maps by empty ones, after decoding.
func (s *State) InitMaps() {
	if s.Participants == nil {
		s.Participants = map[string]*Participant{}
	}
	if s.Boots == nil {
		s.Boots = map[string]Boot{}
	}
}
