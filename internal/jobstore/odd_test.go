package jobstore

import (
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/platform"
)

// Guards against one odd row of the job table that takes others away, or that is taken
// for a job: its tasks would run.
func TestOddRowOfTheJobTableLeavesTheOthers(t *testing.T) {
	const well = `{"id":"00000000000000a1","queue":"q","pool":"p","team":"t","spec":"","steps":[{"tasks":1,"resources":{}}],"accepted_at":1,"policy":{}}`
	for name, value := range map[string]string{
		"nothing": "", "null": "null", "list": "[]", "not text": "\xff\xfe", "cut off": well[:60], "nested": strings.Repeat("[", 20_000),
		"other job": strings.Replace(well, "a1", "a2", 1), "no step": strings.Replace(well, `{"tasks":1,"resources":{}}`, "", 1),
		"tasks too large":    strings.Replace(well, `"tasks":1`, `"tasks":9223372036854775807`, 1),
		"tasks negative":     strings.Replace(well, `"tasks":1`, `"tasks":-1`, 1),
		"number too large":   strings.Replace(well, `"tasks":1`, `"tasks":1e400`, 1),
		"capacity negative":  strings.Replace(well, `"resources":{}`, `"resources":{"milli_cores":-1}`, 1),
		"step after a later": strings.Replace(well, `"resources":{}`, `"resources":{},"after":[5]`, 1),
		"odd tombstone":      `{"ended":7}`, "tombstone cut off": `{"ended":"comp`, "repeats for ever": strings.Replace(well, `"accepted_at":1`, `"repeats":9223372036854775807`, 1),
		"tombstone without a state": `{"ended":""}`, "tombstone of a state that is not final": `{"ended":"running"}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rejected := platform.NewRejectedRows(logr.Discard())
			entries := Jobs{Rejected: rejected}.decodeRows([]platform.PartitionRow{
				{Table: JobTable, Key: "00000000000000a1", Value: []byte(value)},
				{Table: JobTable, Key: "00000000000000a3", Value: []byte(strings.Replace(well, "a1", "a3", 1))},
				{Table: JobTable, Key: "00000000000000a4", Value: []byte(`{"ended":"completed","at":5}`)},
			})
			is.Equal(len(entries), 2)
			is.Equal(entries[0].Job.ID, "00000000000000a3")
			is.Equal(rejected.Counts()[JobTable], int64(1))
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("00000000000000a1", []byte(`{"id":"00000000000000a1","queue":"q","pool":"p","team":"t","spec":"","steps":[{"tasks":1,"resources":{}}],"accepted_at":1,"policy":{}}`))
	f.Add("00000000000000a1", []byte(`{"ended":"completed","at":5}`))
	f.Add("00000000000000a1/cancel", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		e, err := Decode(platform.PartitionRow{Table: JobTable, Key: key, Value: value})
		if err != nil {
			return
		}
		if e.Job != nil && (e.Job.ID != key || e.Job.Check() != nil) || e.Job == nil && !e.Cancelled && !e.State.Final() {
			t.Errorf("row %q %q names %+v", key, value, e)
		}
	})
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"a":{"state":"running"},"b":1}`), []byte(`{"state":"queued"}`), "pack/3", "a")
	f.Fuzz(func(t *testing.T, first, second []byte, firstKey, secondKey string) {
		index := NewProgressIndex()
		found, err := index.Load([]platform.PartitionRow{{Key: firstKey, Value: first, Version: 1}, {Key: secondKey, Value: second, Version: 2}})
		if err == nil && !strings.HasPrefix(secondKey, bundlePrefix) && string(found[secondKey]) != string(second) {
			t.Errorf("progress of %q is %q instead of %q", secondKey, found[secondKey], second)
		}
		for index.TakeRemovals() != nil {
			continue // ends
		}
	})
}
