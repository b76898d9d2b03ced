package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
)

// testHint is an entry of a kind of hint that stands in for those of the core.
type testHint struct {
	Name string  `json:"name"`
	N    float64 `json:"n"`
}

func (h testHint) information() float64 { return h.N }
func (h testHint) usable() bool         { return h.Name != "" }
func (h testHint) aged(_ time.Duration, weight float64) testHint {
	return testHint{h.Name, h.N * weight}
}

const testHintName = "test"

// hintFleet is a fleet whose coordinators keep hints of the kind testHintName.
type hintFleet struct {
	*fleet
	mu       sync.Mutex
	policy   dispatch.Policy
	older    bool       // new coordinators are of a build without hints
	learned  []testHint // by the current coordinator
	restored []testHint // by the latest coordinator that restored any
	counts   map[string]int
	// stalled makes calls for hints wait until they time out, and late makes them take so
	// long whatever their time limit is. calls and open count them; most is the highest open.
	stalled           bool
	late              time.Duration
	calls, open, most int
}

func newHintFleet(t *testing.T) *hintFleet {
	f := &hintFleet{fleet: newFleet(t, 2), policy: dispatch.Policy{LearnSpeeds: true}, counts: map[string]int{}}
	kind := newHintKind(testHintName, func(p dispatch.Policy) bool { return p.LearnSpeeds },
		func(*dispatch.Core) []testHint { f.mu.Lock(); defer f.mu.Unlock(); return slices.Clone(f.learned) },
		func(_ *dispatch.Core, all []testHint) { f.mu.Lock(); defer f.mu.Unlock(); f.restored = all })
	f.wrap = func(path *cutStore) platform.Store { return &hintStore{cutStore: path, f: f} }
	f.configure = func(c *Coordinator) {
		c.Policy = func() dispatch.Policy { f.mu.Lock(); defer f.mu.Unlock(); return f.policy }
		c.Observer = hintObserver{f: f}
		c.hintKinds = []hintKind{kind}
		if f.older {
			c.hintKinds = nil
		}
	}
	return f
}

// hintObserver counts rows of hints by outcome.
type hintObserver struct {
	nopObserver
	f *hintFleet
}

func (o hintObserver) CountHints(_, outcome string) {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	o.f.counts[outcome]++
}

// hintStore counts the calls for hints and makes them wait while the fleet says so.
type hintStore struct {
	*cutStore
	f *hintFleet
}

func (s *hintStore) call(ctx context.Context) error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.calls++
	s.f.open++
	s.f.most = max(s.f.most, s.f.open)
	defer func() { s.f.open-- }()
	stalled, late := s.f.stalled, s.f.late
	if !stalled && late == 0 {
		return nil
	}
	s.f.mu.Unlock()
	defer s.f.mu.Lock()
	if time.Sleep(late); stalled {
		<-ctx.Done()
	}
	return platform.ErrAmbiguous
}

func (s *hintStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if len(tx.Puts) > 0 && tx.Puts[0].Table == hintTable {
		if err := s.call(ctx); err != nil {
			return 0, err
		}
	}
	return s.cutStore.Commit(ctx, tx)
}

func (s *hintStore) Scan(ctx context.Context, table, partition, from, to string) (platform.Page, error) {
	if table == hintTable {
		if err := s.call(ctx); err != nil {
			return platform.Page{}, err
		}
	}
	return s.cutStore.Scan(ctx, table, partition, from, to)
}

func (f *hintFleet) learn(all ...testHint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learned = all
}

func (f *hintFleet) setStalled(stalled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = stalled
}

func (f *hintFleet) setLate(late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = late
}

func (f *hintFleet) count(outcome string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[outcome]
}

// callCounts returns the number of calls for hints and the most that were open at a time.
func (f *hintFleet) callCounts() (calls, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls, f.most
}

func (f *hintFleet) takeRestored() []testHint {
	f.mu.Lock()
	defer f.mu.Unlock()
	restored := f.restored
	f.restored = nil
	return restored
}

// put stores a row of hints in place of a coordinator.
func (f *hintFleet) put(value string) {
	f.commit(platform.Tx{Puts: []platform.PartitionRow{{Table: hintTable, Partition: hintPartition, Key: testHintName, Value: []byte(value)}}})
}

// row returns the stored row, false if there is none that can be decoded.
func (f *hintFleet) row() (hintRow, bool) {
	f.t.Helper()
	page, err := f.store.Scan(f.t.Context(), hintTable, hintPartition, testHintName, "")
	if err != nil {
		f.t.Fatal(err)
	}
	var row hintRow
	return row, len(page.Rows) == 1 && json.Unmarshal(page.Rows[0].Value, &row) == nil
}

// checkJobRuns checks that a new job starts in the usual time.
func (f *hintFleet) checkJobRuns(l *leader, id string) {
	f.t.Helper()
	job := f.insert(l, id)[0]
	time.Sleep(placementTime)
	if !f.runs(job) {
		f.t.Errorf("job %s does not run %v after its acceptance", id, placementTime)
	}
}

// watchLoop asks the event loop for something until stop is closed, and returns the longest
// time that it took to answer.
func watchLoop(l *leader, stop chan struct{}) (longest time.Duration) {
	for {
		select {
		case <-stop:
			return longest
		case <-time.After(20 * time.Millisecond):
		}
		began := time.Now()
		if l.do(context.Background(), func(*termLoop) {}) == nil {
			longest = max(longest, time.Since(began))
		}
	}
}

// round is the time within which changed hints are stored.
const round = hintInterval + 100*time.Millisecond

// Guards against hints that do not reach the next coordinator, and against a takeover between
// two writes that loses more than the last one, or mixes two.
func TestHintsOutliveATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		l := f.lead("host-0")
		l.awaitLoaded()
		f.learn(testHint{"a", 3}, testHint{"b", 5})
		time.Sleep(round)
		f.learn(testHint{"c", 9})
		l.store.setCut(true) // the process ends before the next write
		ended := make(chan struct{})
		go func() { l.stop(); close(ended) }()
		next := f.lead("host-1")
		next.awaitLoaded()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.takeRestored(), []testHint{{"b", 5}, {"a", 3}})
		time.Sleep(round)
		row, ok := f.row()
		is.True(ok && row.Epoch == secondEpoch && joinEntries(row.Entries) == `{"name":"c","n":9}`)
		next.stop()
		<-ended
	})
}

// Guards against hints that the core has dropped, for example on an operator's word, and that
// a takeover brings back.
func TestForgottenHintsDoNotComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		l := f.lead("host-0")
		l.awaitLoaded()
		f.learn(testHint{"a", 3})
		time.Sleep(round)
		l.stop()
		l = f.lead("host-1")
		l.awaitLoaded()
		f.learn()
		time.Sleep(round)
		row, ok := f.row()
		is.True(ok && row.Epoch == secondEpoch && len(row.Entries) == 0)
		l.stop()
	})
}

// Guards against a row that is taken for the latest one, although a write without an answer
// has replaced it since.
func TestWriteOfHintsWithoutAnswerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		l := f.lead("host-0")
		l.awaitLoaded()
		f.learn(testHint{"a", 3})
		time.Sleep(round)
		f.store.SetFault(loseHints(true))
		f.learn(testHint{"b", 3})
		time.Sleep(round)
		f.store.SetFault(nil)
		f.learn(testHint{"a", 3})
		is.Equal(f.store.ApplyDelayed(), 1)
		time.Sleep(round)
		row, ok := f.row()
		is.True(ok && joinEntries(row.Entries) == `{"name":"a","n":3}`)
		l.stop()
	})
}

// Guards against calls to the store that nobody needs: rows that have not changed are not
// written, and nothing is read or written while the policy switches the part off. It also
// guards against a row that becomes stale in a quiet cell.
func TestHintsAreWrittenWhenTheyChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		l := f.lead("host-0")
		l.awaitLoaded()
		time.Sleep(3 * round)
		is.Equal(f.count(HintsWritten), 0) // nothing is learned yet
		f.learn(testHint{"a", 3})
		time.Sleep(5 * round)
		is.Equal(f.count(HintsWritten), 1)
		time.Sleep(hintRefresh)
		is.Equal(f.count(HintsWritten), 2)
		f.learn()
		time.Sleep(3 * round)
		is.Equal(f.count(HintsWritten), 3)
		row, ok := f.row()
		is.True(ok && len(row.Entries) == 0)

		l.stop()
		f.learn(testHint{"a", 3})
		f.policy = dispatch.Policy{RenewFirst: true}
		before, _ := f.callCounts()
		l = f.lead("host-1")
		l.awaitLoaded()
		time.Sleep(3 * round)
		after, _ := f.callCounts()
		is.Equal(after, before)
		l.stop()
	})
}

// Guards against work that waits for hints: their partition refuses all calls, does not
// answer, or its answers are lost.
func TestNothingWaitsForTheWriteOfHints(t *testing.T) {
	const outage = 6 * round
	for name, set := range map[string]func(f *hintFleet, down bool){
		"refused":     func(f *hintFleet, down bool) { f.store.SetPartitionDown(hintPartition, down) },
		"no answer":   func(f *hintFleet, down bool) { f.setStalled(down) },
		"no end":      func(f *hintFleet, down bool) { f.setLate(map[bool]time.Duration{true: 3 * hintInterval}[down]) },
		"answer lost": func(f *hintFleet, down bool) { f.store.SetFault(loseHints(down)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newHintFleet(t)
				l := f.lead("host-0")
				l.awaitLoaded()
				set(f, true)
				f.learn(testHint{"a", 3})
				stop, longest := make(chan struct{}), make(chan time.Duration, 1)
				go func() { longest <- watchLoop(l, stop) }()
				began := time.Now()
				for i := 0; time.Since(began) < outage; i++ {
					f.checkJobRuns(l, fmt.Sprintf("00000000000000%02x", i))
				}
				is.Equal(f.count(HintsWritten), 0)
				is.True(f.count(HintsSkipped) >= 5)
				is.True(f.count(HintsSkipped) <= 8) // never retried within a round
				_, most := f.callCounts()
				is.True(most <= 1)
				close(stop)
				is.True(<-longest < 100*time.Millisecond)
				set(f, false)
				time.Sleep(4 * round)
				row, ok := f.row()
				is.True(ok && joinEntries(row.Entries) == `{"name":"a","n":3}`)
				status, leads := l.Status()
				is.True(leads && status.Epoch == firstEpoch)
				l.stop()
			})
		})
	}
}

// loseHints returns a fault by which the answers to writes of hints are lost.
func loseHints(lost bool) func(platform.Tx) rows.Fault {
	return func(tx platform.Tx) rows.Fault {
		if lost && len(tx.Puts) > 0 && tx.Puts[0].Table == hintTable {
			return rows.DelayedReplyLost
		}
		return rows.None
	}
}

// Guards against writes that are tried again and again while the whole store is down.
func TestHintsAreSkippedWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		l := f.lead("host-0")
		l.awaitLoaded()
		f.learn(testHint{"a", 3})
		time.Sleep(round)
		before, _ := f.callCounts()
		f.learn(testHint{"a", 4})
		l.store.setCut(true)
		time.Sleep(4 * round)
		after, _ := f.callCounts()
		is.True(after-before <= 1) // one may have begun in the second after the cut
		l.store.setCut(false)
		time.Sleep(2 * round)
		is.True(f.count(HintsSkipped) >= 1)
		row, ok := f.row()
		is.True(ok && joinEntries(row.Entries) == `{"name":"a","n":4}`)
		l.stop()
	})
}

// Guards against a term whose start waits for hints, and against hints that are restored
// after they were given up.
func TestTermStartsWithoutHintsThatCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		f.put(`{"v":1,"epoch":0,"clock_ms":1,"entries":[{"name":"a","n":1}]}`)
		f.stalled = true
		began := time.Now()
		l := f.lead("host-0")
		l.awaitLoaded()
		is.True(time.Since(began) < electionTime)
		f.checkJobRuns(l, "00000000000000b1")
		is.Equal(f.count(HintsIgnored), 1)
		f.setStalled(false)
		f.checkJobRuns(l, "00000000000000b2")
		is.Equal(len(f.takeRestored()), 0)
		is.Equal(f.count(HintsRestored), 0)
		l.stop()
	})
}

// Guards against hints that a slow store keeps from being stored or restored: a call takes
// 94 times as long as usual.
func TestHintsAreKeptAtASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		f.store.SetLatency(slowCall)
		l := f.lead("host-0")
		l.awaitLoaded()
		f.learn(testHint{"a", 3})
		time.Sleep(2 * round)
		is.True(f.count(HintsWritten) >= 1)
		l.stop()
		l = f.lead("host-1")
		l.awaitLoaded()
		time.Sleep(time.Second)
		is.Equal(f.takeRestored(), []testHint{{"a", 3}})
		is.Equal(f.count(HintsSkipped), 0)
		l.stop()
	})
}

// Guards against a row that this build cannot use and that keeps a term from starting, is
// restored in part, or is never replaced.
func TestRowOfHintsThatCannotBeUsed(t *testing.T) {
	for name, value := range map[string]string{
		"nothing": "", "not JSON": "\x00\xff", "cut off": `{"v":1,"epoch":1,"entries":[{"na`, "null": "null", "list": "[]", "no version": `{"entries":[]}`,
		"unknown version": `{"v":2,"epoch":1,"entries":[{"name":"a","n":1}]}`, "version is no number": `{"v":"1"}`,
		"other entries": `{"v":1,"epoch":1,"entries":[{"name":"a","n":1},{"name":7}]}`, "null entry list": `{"v":1,"epoch":1,"entries":{}}`,
		"too large": `{"v":1,"epoch":1,"entries":[{"name":"a","n":1e400}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newHintFleet(t)
				f.put(value)
				l := f.lead("host-0")
				f.checkJobRuns(l, "00000000000000b1")
				is.Equal(f.count(HintsIgnored), 1)
				is.Equal(f.count(HintsRestored), 0)
				f.learn(testHint{"b", 2})
				time.Sleep(2 * round)
				row, ok := f.row()
				is.True(ok && joinEntries(row.Entries) == `{"name":"b","n":2}`)
				l.stop()
			})
		})
	}
}

// Guards against hints of a replaced coordinator that stay in the row: its last write is
// applied after the first one of its successor.
func TestLateWriteOfAReplacedCoordinatorIsReplaced(t *testing.T) {
	for name, wait := range map[string]time.Duration{"changed hints": round, "unchanged hints": hintRefresh + round} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newHintFleet(t)
				f.store.SetFault(loseHints(true))
				l := f.lead("host-0")
				l.awaitLoaded()
				f.learn(testHint{"old", 3})
				time.Sleep(round)
				l.stop()
				f.store.SetFault(nil)
				l = f.lead("host-1")
				l.awaitLoaded()
				f.learn(testHint{"new", 1})
				time.Sleep(round)
				is.Equal(f.store.ApplyDelayed(), 1)
				row, _ := f.row()
				is.Equal(row.Epoch, int64(firstEpoch))
				if wait == round {
					f.learn(testHint{"new", 2})
				}
				time.Sleep(wait)
				row, ok := f.row()
				is.True(ok && row.Epoch == secondEpoch)
				l.stop()
			})
		})
	}
}

// Guards against a build without hints that is disturbed by their rows, or that destroys
// them.
func TestOlderBuildLeavesHintsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newHintFleet(t)
		l := f.lead("host-0")
		l.awaitLoaded()
		f.learn(testHint{"a", 8})
		time.Sleep(round)
		l.stop()
		f.older = true
		l = f.lead("host-1")
		f.checkJobRuns(l, "00000000000000b1")
		l.stop()
		f.older = false
		l = f.lead("host-2")
		l.awaitLoaded()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.takeRestored(), []testHint{{"a", 8}})
		l.stop()
	})
}

// Guards against old evidence that counts like new: what was learned long ago, or before the
// whole system was restarted, is restored with less weight.
func TestStaleHintsGetReducedWeight(t *testing.T) {
	const clock = time.Hour
	written := func(age time.Duration) int64 { return (clock - age).Milliseconds() }
	for name, c := range map[string]struct {
		row    hintRow
		clock  time.Duration
		age    time.Duration
		weight float64
	}{
		"recent":                       {hintRow{Epoch: 4, ClockMS: written(time.Minute)}, clock, time.Minute, 1},
		"at the limit":                 {hintRow{Epoch: 4, ClockMS: written(maxHintAge)}, clock, maxHintAge, 1},
		"an older build was in charge": {hintRow{Epoch: 2, ClockMS: written(11 * time.Minute)}, clock, 11 * time.Minute, staleHintWeight},
		"store's clock began anew":     {hintRow{Epoch: 4, ClockMS: written(-time.Minute)}, clock, 0, staleHintWeight},
		"epochs began anew":            {hintRow{Epoch: 5, ClockMS: written(time.Minute)}, clock, 0, staleHintWeight},
		"written without a clock":      {hintRow{Epoch: 4}, clock, 0, staleHintWeight},
		"read without a clock":         {hintRow{Epoch: 4, ClockMS: written(time.Minute)}, 0, 0, staleHintWeight},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			age, weight := c.row.judge(c.clock, 5)
			is.Equal(age, c.age)
			is.Equal(weight, c.weight)
		})
	}
}

// Guards against a row that the store rejects for its size, or that loses the most
// informative entries to keep within it. Which entries are kept does not depend on their
// order.
func TestRowOfHintsAtItsSizeLimit(t *testing.T) {
	is := is.NewRelaxed(t)
	r := rand.New(rand.NewPCG(1, 48))
	var all []testHint
	for i := range 5000 {
		all = append(all, testHint{fmt.Sprintf("<%06d>", i), float64(i)})
	}
	all = append(all, testHint{"not a number", math.NaN()}, testHint{"infinite", math.Inf(1)})
	var first string
	for range 3 {
		r.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		encoded := encodeEntries(all)
		value, err := json.Marshal(hintRow{Version: hintVersion, Epoch: math.MaxInt64, ClockMS: math.MaxInt64, Entries: encoded})
		is.NoErr(err)
		is.True(len(value) <= 48<<10) // the store accepts 64 KiB
		is.True(len(value) > 47<<10)
		kept, err := decodeEntries[testHint](encoded, 0, 1)
		is.NoErr(err)
		for i, h := range kept {
			is.Equal(h.N, float64(4999-i))
		}
		if first == "" {
			first = joinEntries(encoded)
		}
		is.Equal(joinEntries(encoded), first)
	}
	small, err := json.Marshal(hintRow{Entries: encodeEntries([]testHint(nil))})
	is.NoErr(err)
	is.Equal(string(small), `{"v":0,"epoch":0,"entries":[]}`)
}

// Guards against two kinds that share a row.
func TestKindsOfHintsHaveDifferentNames(t *testing.T) {
	names := map[string]bool{}
	for _, kind := range hintKinds {
		names[kind.name] = true
	}
	if len(names) != len(hintKinds) {
		t.Errorf("%d kinds have %d names: %v", len(hintKinds), len(names), slices.Sorted(maps.Keys(names)))
	}
}
