package coordinator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"cuminloft/internal/dispatch"
)

// hintKinds are the kinds of hints that this build stores.
var hintKinds = []hintKind{
	newHintKind("worker-speeds", func(p dispatch.Policy) bool { return p.LearnSpeeds }, speedHints, restoreSpeedHints),
	newHintKind("image-pairs", func(p dispatch.Policy) bool { return p.SeparateImages }, imageHints, restoreImageHints),
}

// hintRowOverhead is an upper bound of the bytes of a row beside its entries.
const hintRowOverhead = 200

// newHintKind returns a kind of hint. T is the stored form of an entry; collect returns new
// entries, and restore passes decoded ones to the core.
func newHintKind[T hintEntry[T]](name string, enabled func(dispatch.Policy) bool, collect func(*dispatch.Core) []T, restore func(*dispatch.Core, []T)) hintKind {
	return hintKind{
		name: name, enabled: enabled,
		collect: func(c *dispatch.Core) func() []json.RawMessage {
			entries := collect(c)
			return func() []json.RawMessage { return encodeEntries(entries) }
		},
		decode: func(raw []json.RawMessage, age time.Duration, weight float64) (func(*dispatch.Core), error) {
			entries, err := decodeEntries[T](raw, age, weight)
			return func(c *dispatch.Core) { restore(c, entries) }, err
		},
	}
}

// encodedEntry is an encoded entry with its rank.
type encodedEntry struct {
	value       json.RawMessage
	information float64
}

// encodeEntries encodes the entries, the most informative first, as far as a row has space
// for them. The order does not depend on that of the argument. Entries that have no JSON
// form (infinite or undefined numbers) are left out.
func encodeEntries[T hintEntry[T]](entries []T) []json.RawMessage {
	encoded := make([]encodedEntry, 0, len(entries))
	for _, e := range entries {
		if value, err := json.Marshal(e); err == nil {
			encoded = append(encoded, encodedEntry{value, e.information()})
		}
	}
	slices.SortFunc(encoded, func(a, b encodedEntry) int {
		return cmp.Or(cmp.Compare(b.information, a.information), bytes.Compare(a.value, b.value))
	})
	out := make([]json.RawMessage, 0, len(encoded))
	free := maxHintBytes - hintRowOverhead
	for _, e := range encoded {
		if free -= len(e.value) + 1; free < 0 {
			break
		}
		out = append(out, e.value)
	}
	return out
}

// decodeEntries decodes stored entries. Entries with impossible values are left out.
func decodeEntries[T hintEntry[T]](raw []json.RawMessage, age time.Duration, weight float64) ([]T, error) {
	entries := make([]T, 0, len(raw))
	for _, r := range raw {
		var e T
		if err := json.Unmarshal(r, &e); err != nil {
			return nil, err
		}
		if e.usable() {
			entries = append(entries, e.aged(age, weight))
		}
	}
	return entries, nil
}

// round3 rounds a stored number to three decimals: the core does not know paces more
// precisely, and rows become shorter.
func round3(x float64) float64 { return math.Round(x*1000) / 1000 }
