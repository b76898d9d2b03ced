package journal

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"google.golang.org/protobuf/testing/protocmp"

	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
)

const shard = "presshaus-0"

type fixture struct {
	table   *standin.Table
	objects *standin.Objects
}

func newFixture() fixture { return fixture{standin.NewTable(), standin.NewObjects()} }

// takeOwnership writes the owner row and returns a writer with its version.
func (f fixture) takeOwnership(t *testing.T) *Writer {
	t.Helper()
	is := is.New(t)
	versions, err := f.table.Apply(t.Context(), []platform.Write{{Key: OwnerKey(shard), IfVersion: platform.AnyVersion}})
	is.NoErr(err)
	loaded, err := Load(t.Context(), f.table, f.objects, shard)
	is.NoErr(err)
	return NewWriter(f.table, OwnerRow{Shard: shard, Version: versions[0]}, loaded)
}

func accepted(id string) Entry {
	return Entry{Records: []*Record{{Kind: &Record_JobAccepted{JobAccepted: &JobAccepted{
		Job: rpc.FromJob(model.Job{ID: model.JobID(id), Team: "press", Tasks: 2, Submitted: time.Unix(5, 0)}),
	}}}}}
}

func started(id string, attempt int) Entry {
	return Entry{Records: []*Record{{Kind: &Record_TaskStarted{TaskStarted: &TaskStarted{
		JobId: id, Attempt: int32(attempt), Worker: "w0", StartedNs: 9, Boot: "b1",
	}}}}}
}

func ended(id string, attempt int, end string) Entry {
	return Entry{Records: []*Record{{Kind: &Record_TaskEnded{TaskEnded: &TaskEnded{
		JobId: id, Attempt: int32(attempt), End: end, Checkpoint: "c1", Result: []byte("r"), Error: "e",
	}}}}}
}

func TestLoadRestoresTheWrittenState(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	w := f.takeOwnership(t)
	for i := range 20 {
		id := fmt.Sprint("job", i)
		is.NoErr(w.Write(t.Context(), []Entry{accepted(id), started(id, 1)}))
		is.NoErr(w.Write(t.Context(), []Entry{ended(id, 1, endFailed), started(id, 2)}))
		if i == 10 {
			p, err := w.PrepareSnapshot()
			is.NoErr(err)
			is.NoErr(w.Write(t.Context(), []Entry{accepted("during-snapshot")}))
			is.NoErr(p.Save(t.Context(), f.table, f.objects))
			w.SnapshotSaved(p)
		}
	}
	loaded, err := Load(t.Context(), f.table, f.objects, shard)
	is.NoErr(err)
	is.Equal(cmp.Diff(w.state, loaded.State, protocmp.Transform()), "")
	is.Equal(loaded.Last, w.last)
	rows, err := f.table.Range(t.Context(), rowPrefix(shard), "", 1000)
	is.NoErr(err)
	is.Equal(len(rows), 19) // 18 rows of later jobs and one written during the snapshot
}

func TestWriterWithoutOwnershipAppendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	old := f.takeOwnership(t)
	is.NoErr(old.Write(t.Context(), []Entry{accepted("a")}))
	successor := f.takeOwnership(t)
	is.True(errors.Is(old.Write(t.Context(), []Entry{accepted("b")}), ErrOwnershipLost))
	is.NoErr(successor.Write(t.Context(), []Entry{accepted("c")}))
	loaded, err := Load(t.Context(), f.table, f.objects, shard)
	is.NoErr(err)
	is.Equal(len(loaded.State.Jobs), 2)
}

// Every second to fourth reply of the table is lost although the write took effect. No row
// may be written twice and none may be missing.
func TestWritesWithLostRepliesTakeEffectOnce(t *testing.T) {
	for every := 2; every <= 4; every++ {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			w := f.takeOwnership(t)
			f.table.Set(standin.FaultSet{LoseReplyEvery: every})
			for i := range 30 {
				is.NoErr(w.Write(t.Context(), []Entry{accepted(fmt.Sprint(i))}))
			}
			f.table.Set(standin.FaultSet{})
			loaded, err := Load(t.Context(), f.table, f.objects, shard)
			is.NoErr(err)
			is.Equal(len(loaded.State.Jobs), 30)
			is.Equal(loaded.Last, Seq(30))
		})
	}
}

func TestClaimedKeyReturnsTheFirstJob(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	w := f.takeOwnership(t)
	claim := func(id string) Entry {
		e := accepted(id)
		e.Idempotency = &Idempotency{Row: IdempotencyKey("press", "key"), Value: &IdempotencyRow{JobId: id, Shard: shard}}
		return e
	}
	is.NoErr(w.Write(t.Context(), []Entry{claim("first")}))
	err := w.Write(t.Context(), []Entry{accepted("other"), claim("second")})
	var claimed *ClaimedError
	is.True(errors.As(err, &claimed))
	is.Equal(claimed.Entry, 1)
	is.Equal(claimed.First.GetJobId(), "first")
	is.Equal(w.last, Seq(1)) // nothing of the batch was written
}

// Load refuses a shard with a damaged row instead of guessing its state.
func TestDamagedJournalIsRefused(t *testing.T) {
	valid, err := encode(&Batch{Records: accepted("x").Records})
	if err != nil {
		t.Fatal(err)
	}
	unknownField, _ := encode(&Batch{Records: []*Record{{}}})
	cases := []struct {
		name  string
		value []byte
		want  error
	}{
		{"flipped bit", flipBit(valid, len(valid)-1), ErrCorrupt},
		{"cut short", valid[:4], ErrCorrupt},
		{"newer format", flipBit(valid, 0), ErrUnknownFormat},
		{"unknown kind of record", unknownField, ErrUnknownFormat},
		{"unknown field", withUnknownField(t), ErrUnknownFormat},
		{"record of an unknown job", mustEncode(t, started("nobody", 1)), ErrCorrupt},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			_, err := f.table.Apply(t.Context(), []platform.Write{{Key: RowKey(shard, 1), Value: c.value}})
			is.NoErr(err)
			_, err = Load(t.Context(), f.table, f.objects, shard)
			is.True(errors.Is(err, c.want))
		})
	}
}

func TestMissingRowIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	w := f.takeOwnership(t)
	for i := range 3 {
		is.NoErr(w.Write(t.Context(), []Entry{accepted(fmt.Sprint(i))}))
	}
	_, err := f.table.Apply(t.Context(), []platform.Write{{Key: RowKey(shard, 2), Delete: true, IfVersion: platform.AnyVersion}})
	is.NoErr(err)
	_, err = Load(t.Context(), f.table, f.objects, shard)
	is.True(errors.Is(err, ErrCorrupt))
}

func flipBit(b []byte, i int) []byte {
	out := append([]byte(nil), b...)
	out[i] ^= 2
	return out
}

func mustEncode(t *testing.T, e Entry) []byte {
	t.Helper()
	value, err := encode(&Batch{Records: e.Records})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func withUnknownField(t *testing.T) []byte {
	t.Helper()
	b := &Batch{Records: accepted("x").Records}
	b.GetRecords()[0].GetJobAccepted().ProtoReflect().SetUnknown([]byte{0xf8, 0x07, 0x01})
	return mustEncode(t, Entry{Records: b.GetRecords()})
}
