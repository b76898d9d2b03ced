package coordinator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/platform"
)

// workersOfALargeCell is the number of workers of the largest cells.
const workersOfALargeCell = 350

// Guards against speeds that come back changed from the store, or that do not fit into a row
// in a large cell.
func TestWorkerSpeedsAreRestoredAsStored(t *testing.T) {
	is := is.New(t)
	former, next := dispatch.New(), dispatch.New()
	for _, c := range []*dispatch.Core{former, next} {
		c.SetPolicy(dispatch.Policy{LearnSpeeds: true})
	}
	var all []dispatch.WorkerSpeed
	for i := range workersOfALargeCell {
		all = append(all, dispatch.WorkerSpeed{Worker: fmt.Sprintf("worker-of-az-%d-%03d", i%4, i), Incarnation: int64(1_700_000_000_000 + i),
			Pace: float64(i-100) / 300, Observations: 2 + float64(i%4)})
	}
	former.RestoreWorkerSpeeds(all)
	kind := hintKinds[slices.IndexFunc(hintKinds, func(k hintKind) bool { return k.name == "worker-speeds" })]
	entries := kind.collect(former)()
	is.Equal(len(entries), len(all))
	bytes := len(joinEntries(entries))
	t.Logf("%d workers take %d bytes", len(entries), bytes)
	is.True(bytes < maxHintBytes/2)
	restore, err := kind.decode(entries, 0, 1)
	is.NoErr(err)
	restore(next)
	is.Equal(joinEntries(kind.collect(next)()), joinEntries(entries))
	for _, s := range next.WorkerSpeeds() {
		for _, want := range all {
			if want.Worker == s.Worker {
				is.True(s.Incarnation == want.Incarnation && s.Observations == want.Observations)
				is.True(max(s.Pace-want.Pace, want.Pace-s.Pace) <= 0.0005)
			}
		}
	}
}

// Guards against stored values that no core can have written: they would make a worker slow
// for long, or a pair of images kept apart for no reason.
func TestImpossibleHintsAreLeftOut(t *testing.T) {
	speed := speedHint{Worker: "w", Incarnation: 1, Pace: 0.3, Observations: 4}
	pair := imageHint{Slowed: "a", Beside: "b", Slowdown: 1.3, Observations: 9, Workers: 3}
	speeds := map[string]func(*speedHint){
		"no worker": func(h *speedHint) { h.Worker = "" }, "no observations": func(h *speedHint) { h.Observations = 0 },
		"negative observations": func(h *speedHint) { h.Observations = -1 }, "pace too high": func(h *speedHint) { h.Pace = 8 }, "pace too low": func(h *speedHint) { h.Pace = -8 },
	}
	pairs := map[string]func(*imageHint){
		"no slowed image": func(h *imageHint) { h.Slowed = "" }, "no other image": func(h *imageHint) { h.Beside = "" }, "no slowdown": func(h *imageHint) { h.Slowdown = 0 },
		"no observations": func(h *imageHint) { h.Observations = 0 }, "negative workers": func(h *imageHint) { h.Workers = -1 }, "from the future": func(h *imageHint) { h.AgeMS = -1 },
	}
	is := is.New(t)
	is.True(speed.usable() && pair.usable())
	decoded, err := decodeEntries[speedHint]([]json.RawMessage{[]byte(`{"w":"","p":1,"n":1}`), []byte(`{"w":"a","p":1,"n":1}`)}, 0, 1)
	is.NoErr(err)
	is.Equal(decoded, []speedHint{{Worker: "a", Pace: 1, Observations: 1}})
	for name, change := range speeds {
		if h := speed; func() bool { change(&h); return h.usable() }() {
			t.Errorf("speed is usable: %s", name)
		}
	}
	for name, change := range pairs {
		if h := pair; func() bool { change(&h); return h.usable() }() {
			t.Errorf("pair of images is usable: %s", name)
		}
	}
}

// Guards against stale hints that count like new ones, and against pairs of images that
// become younger by a takeover.
func TestStoredHintsAge(t *testing.T) {
	is := is.New(t)
	speed := speedHint{Worker: "w", Pace: 0.3, Observations: 200}
	is.Equal(speed.aged(time.Minute, 1), speed)
	is.Equal(speed.aged(time.Hour, staleHintWeight).Observations, maxStaleObservations*staleHintWeight)
	speed.Observations = 2
	is.Equal(speed.aged(time.Hour, staleHintWeight).Observations, 2*staleHintWeight)
	pair := imageHint{Slowed: "a", Beside: "b", Slowdown: 1.3, Observations: 8, Workers: 3, AgeMS: 20_000}
	is.Equal(pair.aged(time.Minute, staleHintWeight), imageHint{"a", "b", 1.3, 8 * staleHintWeight, 3, 80_000})
}

// Guards against pairs of images with long names that make a row too long: an image's name
// is the caller's.
func TestLongImageNamesFitIntoARow(t *testing.T) {
	is := is.New(t)
	var all []imageHint
	for i := range 256 {
		all = append(all, imageHint{Slowed: strings.Repeat("<", 300) + fmt.Sprint(i), Beside: "b", Slowdown: 1.3, Observations: float64(i), Workers: 3})
	}
	encoded := encodeEntries(all)
	is.True(len(joinEntries(encoded)) <= maxHintBytes)
	is.True(len(encoded) >= 20)
	kept, err := decodeEntries[imageHint](encoded, 0, 1)
	is.NoErr(err)
	is.Equal(kept[0].Observations, 255.0)
}

// Guards against takeovers of a quiet cell that lose what is stored: nothing is placed and
// nothing is learned anew between them.
func TestHintsOutliveTakeoversOfAQuietCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t, 2)
		f.configure = func(c *Coordinator) {
			c.Policy = func() dispatch.Policy { return dispatch.Policy{LearnSpeeds: true, SeparateImages: true} }
		}
		f.lead("host-0").stop()
		entries := map[string]string{
			"worker-speeds": `[{"w":"w0","i":1,"p":0.4,"n":5},{"w":"w1","i":1,"p":-0.1,"n":5}]`,
			"image-pairs":   `[{"s":"a","b":"b","f":1.4,"n":200,"w":5,"a":0}]`,
		}
		for kind, e := range entries {
			value := `{"v":1,"epoch":0,"clock_ms":1,"entries":` + e + `}`
			f.commit(platform.Tx{Puts: []platform.PartitionRow{{Table: hintTable, Partition: hintPartition, Key: kind, Value: []byte(value)}}})
		}
		for i := range 3 {
			l := f.lead(fmt.Sprint("host-", i+1))
			l.awaitLoaded()
			time.Sleep(2 * round)
			l.stop()
		}
		for _, kind := range hintKinds {
			page, err := f.store.Scan(t.Context(), hintTable, hintPartition, kind.name, kind.name+"\x00")
			is.NoErr(err)
			var row hintRow
			is.NoErr(json.Unmarshal(page.Rows[0].Value, &row))
			t.Logf("%s: %s", kind.name, page.Rows[0].Value)
			if !strings.Contains(string(page.Rows[0].Value), `,"n":`) {
				t.Errorf("the entries of kind %s are lost", kind.name)
			}
		}
	})
}
