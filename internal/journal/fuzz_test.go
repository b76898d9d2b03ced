package journal

import (
	"encoding/binary"
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"

	"cuminloft/internal/rpc"
)

// FuzzBatch checks that a row is either replayed or refused with ErrCorrupt or
// ErrUnknownFormat. With addHeader set the payload gets a valid header, so that the fuzzer
// reaches the decoding of the records.
func FuzzBatch(f *testing.F) {
	value, err := encode(&Batch{Nonce: "n", Fence: 3, Records: []*Record{
		{Kind: &Record_JobAccepted{JobAccepted: &JobAccepted{Job: &rpc.Job{Id: "a", Tasks: 2}}}},
		{Kind: &Record_TaskStarted{TaskStarted: &TaskStarted{JobId: "a", Attempt: 1, Worker: "w"}}},
		{Kind: &Record_TaskEnded{TaskEnded: &TaskEnded{JobId: "a", Attempt: 1, End: "done"}}},
		{Kind: &Record_JobEnded{JobEnded: &JobEnded{JobId: "a", Outcome: "done"}}},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value, false)
	f.Add(value[:len(value)-1], false)
	f.Add(value[headerLen:], true)
	f.Fuzz(func(t *testing.T, value []byte, addHeader bool) {
		if addHeader {
			value = withHeader(value)
		}
		var batch Batch
		err := decode(value, &batch)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnknownFormat) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		replay(t, &batch)
	})
}

// withHeader returns the payload with a valid header.
func withHeader(payload []byte) []byte {
	value := make([]byte, headerLen, headerLen+len(payload))
	value[0] = formatVersion
	binary.BigEndian.PutUint64(value[1:], xxhash.Sum64(payload))
	return append(value, payload...)
}

// replay applies a batch and checks that the state can be restored from its snapshot.
func replay(t *testing.T, batch *Batch) {
	state := NewState()
	for _, r := range batch.GetRecords() {
		if err := state.Apply(r); err != nil {
			if !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnknownFormat) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
	}
	back, err := stateFromSnapshot(state.snapshot(1))
	if err != nil {
		t.Fatalf("the state's own snapshot is refused: %v", err)
	}
	if len(back.Jobs) != len(state.Jobs) {
		t.Fatalf("%d jobs, %d after a snapshot", len(state.Jobs), len(back.Jobs))
	}
}
