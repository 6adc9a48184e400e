package maintenance

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The encoding is deterministic, so that the same state is the same bytes everywhere. What is decoded is
// bounded, since it may come from a foreign process.
var (
	encode = must(cbor.CoreDetEncOptions().EncMode())
	decode = must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode words a value of this project for another process or the disk.
func Encode(v any) []byte { return must(encode.Marshal(v)) }

// Decode reads what Encode has worded.
func Decode(raw []byte, v any) error {
	if err := decode.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("not understood: %w", err)
	}
	return nil
}

// Restore reads a state that Encode has worded.
func Restore(raw []byte) (*State, error) {
	s := New()
	if err := Decode(raw, s); err != nil {
		return nil, err
	}
	s.InitMaps()
	return s, nil
}

// InitMaps has what was decoded as nothing be empty instead.
func (s *State) InitMaps() {
	if s.Participants == nil {
		s.Participants = map[string]*Participant{}
	}
	if s.Boots == nil {
		s.Boots = map[string]Boot{}
	}
}
