package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/strictjson"
)

const goodSettings = `{
  // of one host
  "host": "entry-1", "az": "a", "callers_listen": "127.0.0.1:1", "readiness_listen": "127.0.0.1:2",
  "rpc_listen": "127.0.0.1:3", "store": "127.0.0.1:4", "grace_s": 6,
}`

func TestSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("entry.hujson", []byte(goodSettings))
	is.NoErr(err)
	is.Equal(s.Host, "entry-1")
	is.Equal(s.ShowEndedS, float64(defaultShowEndedS))
}

// All problems of the settings are reported together, each with its path.
func TestBadSettings(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer(`"entry-1"`, `""`, `"127.0.0.1:1"`, `"nowhere"`, `"grace_s": 6`, `"grace_s": -1, "extra": 1`).Replace(goodSettings)
	_, err := ParseSettings("entry.hujson", []byte(bad))
	var all *strictjson.Error
	is.True(errors.As(err, &all))
	_, err = ParseSettings("entry.hujson", []byte(strings.Replace(goodSettings, `"az": "a",`, ``, 1)))
	is.True(errors.As(err, &all))
	is.Equal(len(all.Problems), 1)
	is.Equal(all.Problems[0].Path, "az")
}

// Guards against a policy that is taken over although it makes no sense, or not at all.
func TestSchedulingSettings(t *testing.T) {
	is := is.New(t)
	with := func(scheduling string) string {
		return strings.Replace(goodSettings, `"grace_s": 6,`, `"grace_s": 6, "scheduling": `+scheduling+`,`, 1)
	}
	s, err := ParseSettings("entry.hujson", []byte(with(`{"learn_speeds": true, "slow_factor": 1.5, "reserve_amounts": true}`)))
	is.NoErr(err)
	is.Equal(s.Scheduling.policy(), dispatch.Policy{LearnSpeeds: true, SlowFactor: 1.5, ReserveAmounts: true})
	for _, bad := range []string{`{"learn_speeds": true, "slow_factor": 1}`, `{"slow_factor": 2}`, `{"learn_speeds": 1}`, `{"unknown": true}`} {
		_, err := ParseSettings("entry.hujson", []byte(with(bad)))
		t.Log(err)
		is.True(err != nil)
	}
}

// Guards against pairs that reach the core incomplete, in any number, or not at all.
func TestIgnoredImagePairs(t *testing.T) {
	is := is.New(t)
	with := func(pairs string) string {
		return strings.Replace(goodSettings, `"grace_s": 6,`, `"grace_s": 6, "scheduling": {"separate_images": true, "ignored_image_pairs": `+pairs+`},`, 1)
	}
	s, err := ParseSettings("entry.hujson", []byte(with(`[["a", "b"], ["c", "c"]]`)))
	is.NoErr(err)
	pairs, err := s.Scheduling.ignoredImagePairs()
	is.NoErr(err)
	is.Equal(pairs, [][2]string{{"a", "b"}, {"c", "c"}})
	p := &process{}
	p.setPolicy(s)
	is.Equal(*p.ignoredImagePairs.Load(), pairs)
	for bad, message := range map[string]string{
		`[["a"]]`: "has 1 names, not 2", `[["a", "b", "c"]]`: "has 3 names", `[["a", "b"], ["a", ""]]`: `pair of images 2 ("a", "") has an empty name`,
		"[" + strings.Repeat(`["a", "b"],`, 256) + `["a", "b"]]`: "257 ignored pairs of images are more than 256",
		`[[1, 2]]`: "", `"a"`: "",
	} {
		_, err := ParseSettings("entry.hujson", []byte(with(bad)))
		is.True(err != nil)
		if !strings.Contains(err.Error(), message) {
			t.Errorf("%v does not contain %q", err, message)
		}
	}
}

// Hosts are ranked by their share of a core, then by the latest start. Guards against a
// coordinator that is restarted soon: where hosts are restarted in turn, the latest to
// start is the last to be restarted.
func TestRankOfHosts(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	hosts := map[string]*membership{}
	for name, m := range map[string]hostRow{
		"small-new": {CoreShare: 0.2, Started: 9}, "large-old": {CoreShare: 0.8, Started: 1}, "large-new": {CoreShare: 0.8, Started: 5},
	} {
		hosts[name] = newMembership(store, name, m, logr.Discard())
		is.NoErr(hosts[name].renew(context.Background()))
	}
	want := map[string]int{"large-new": 0, "large-old": 1, "small-new": 2}
	for name, m := range hosts {
		is.Equal(m.rank(), unknownRank)
		is.NoErr(m.read(context.Background()))
		is.Equal(m.rank(), want[name])
		is.Equal(m.undersized(), name == "small-new")
	}
}

// twoMembers returns the membership of host "a", which has read the row of host "b".
func twoMembers(t *testing.T) (*membership, *rows.Store) {
	t.Helper()
	is := is.New(t)
	store := rows.New()
	a := newMembership(store, "a", hostRow{}, logr.Discard())
	b := newMembership(store, "b", hostRow{}, logr.Discard())
	is.NoErr(a.renew(t.Context()))
	is.NoErr(b.renew(t.Context()))
	is.NoErr(a.read(t.Context()))
	is.Equal(len(a.others()), 1)
	return a, store
}

// Guards against hosts without the setting core_share that count each other as larger: each
// coordinator would yield to the next one every 12 s.
func TestHostsWithoutCoreShareAreNotUndersized(t *testing.T) {
	a, _ := twoMembers(t)
	is.New(t).True(!a.undersized())
}

// Guards against hosts that count all other hosts as gone while no host can renew its
// row, since the store is down.
func TestMembershipWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	a, store := twoMembers(t)
	a.peers["b"].changedAt = a.peers["b"].changedAt.Add(-time.Duration(failureRenewals*float64(minRenewalInterval)) / 2)
	store.SetDown(true)
	is.True(a.read(context.Background()) != nil)
	is.Equal(len(a.others()), 1)
}

// A coordinator yielded every 12 s to a larger host that was gone, since the host's row could not be
// read any more, or had been read only twice.
func TestLeadershipIsYieldedOnlyToHostsThatAreUp(t *testing.T) {
	cases := map[string]struct {
		renewals   int           // of the larger host's row after it was first read
		unreadable time.Duration // when the rows cannot be read any more; 0: never
		latency    time.Duration // of the store
		up         bool
	}{
		"up":                                 {renewals: 4, up: true},
		"gone":                               {},
		"gone and the rows are unreadable":   {unreadable: 5 * time.Second},
		"gone later, then unreadable":        {renewals: 1, unreadable: 5 * time.Second},
		"up, the rows are read now and then": {renewals: 4, latency: 800 * time.Millisecond, up: true},
		"gone, the rows are read seldom":     {latency: 1200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := rows.New()
				slow := rows.NewSlowStore(store, c.latency)
				small := newMembership(slow, "a", hostRow{CoreShare: 0.2}, logr.Discard())
				large := newMembership(store, "b", hostRow{CoreShare: 0.8}, logr.Discard())
				is.NoErr(large.renew(t.Context()))
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = small.run(ctx) })
				running.Go(func() {
					for range c.renewals {
						time.Sleep(minRenewalInterval - 100*time.Millisecond)
						_ = large.renew(ctx) // fails if the store does
					}
				})
				if c.unreadable > 0 {
					time.Sleep(c.unreadable)
					store.SetPartitionDown("", true)
				}
				time.Sleep(14*time.Second - c.unreadable)
				is.Equal(small.largerHostUp(), c.up)
				cancel()
				running.Wait()
			})
		})
	}
}
