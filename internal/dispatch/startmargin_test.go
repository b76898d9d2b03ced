package dispatch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/workload"
)

// marginCell returns a cell with start margins and an urgent queue whose steps took 1 s,
// with the given deviation from that.
func marginCell(t *testing.T, priority int, deviation float64) *testCell {
	c := newCell(t, workload.Queue{Name: "batch", Pool: "pool", Priority: priority, MaxAttempts: 2, Slack: 2, Allowance: time.Second})
	c.core.SetPolicy(Policy{StartMargins: true})
	if deviation > 0 {
		c.core.durationModels["batch"] = &durationModel{n: minDeviationSteps, squares: minDeviationSteps * deviation * deviation}
	}
	return c
}

// rankAt returns the rank of job "j" at a time after its acceptance.
func (c *testCell) rankAt(age time.Duration) rank {
	j := c.core.jobs["j"]
	return c.core.rankOf(j, j.occurrences[0], timeOfMillis(j.spec.AcceptedAt).Add(age))
}

// Guards against a job that counts as tight too early, which gives up a job that can be on
// time, or too late, which starts it although it will be late. The objective is 3 s, the
// latest start 2 s after the acceptance. A deviation of log 2 shortens the duration by
// 0.5 s and the objective by 1 s.
func TestTightFromTheMarginOn(t *testing.T) {
	for name, test := range map[string]struct {
		deviation    float64
		startDelay   time.Duration
		age          time.Duration
		priority     int
		switchedOff  bool
		durationSeen bool
		group        int32
		tight        bool
	}{
		"before the margin":           {deviation: math.Log(2), age: 1390 * time.Millisecond, group: groupUrgent},
		"within the margin":           {deviation: math.Log(2), age: 1410 * time.Millisecond, group: groupUrgent, tight: true},
		"slow store":                  {deviation: math.Log(2), startDelay: 200 * time.Millisecond, age: 1210 * time.Millisecond, group: groupUrgent, tight: true},
		"before that of a slow store": {deviation: math.Log(2), startDelay: 200 * time.Millisecond, age: 1190 * time.Millisecond, group: groupUrgent},
		"measured, before the margin": {deviation: math.Log(2), durationSeen: true, age: 1890 * time.Millisecond, group: groupUrgent},
		"measured, within the margin": {deviation: math.Log(2), durationSeen: true, age: 1910 * time.Millisecond, group: groupUrgent, tight: true},
		"unknown deviation":           {age: 1990 * time.Millisecond, group: groupUrgent},
		"switched off":                {deviation: math.Log(2), age: 1990 * time.Millisecond, switchedOff: true, group: groupUrgent},
		"not urgent":                  {deviation: math.Log(2), age: 1990 * time.Millisecond, priority: 1, group: groupOnTime},
		"late":                        {deviation: math.Log(2), age: 2010 * time.Millisecond, group: groupLate},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := marginCell(t, test.priority, test.deviation)
			if test.switchedOff {
				c.core.SetPolicy(Policy{})
			}
			c.core.SetStartDelay(test.startDelay)
			c.addJob("j", workload.Step{Tasks: 1, Resources: cores(1), Estimate: time.Second})
			o := c.core.jobs["j"].occurrences[0]
			if test.durationSeen {
				o.steps[0].durations = measuredDurations{n: 1}
			}
			got := c.rankAt(test.age)
			is.Equal(got.group, test.group)
			is.Equal(got.tight, test.tight)
		})
	}
}

// Guards against an order in which tight jobs stay first, and against one in which they
// fall behind the next group.
func TestTightRanksLastInItsGroup(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	ordered := []rank{
		{group: groupUrgent, latestStart: now.Add(2 * time.Second)},
		{group: groupUrgent, latestStart: now.Add(3 * time.Second)},
		{group: groupUrgent, latestStart: now, tight: true},
		{group: groupUrgent, latestStart: now.Add(time.Second), tight: true},
		{group: groupOnTime, latestStart: now},
		{group: groupLate, latestStart: now},
	}
	for i := range ordered {
		for j := range ordered {
			is.Equal(ordered[i].before(ordered[j]), i < j)
		}
	}
}

// Guards against a margin that is learned from nothing, and against stalled runs that make
// every job tight.
func TestDeviationOfDurations(t *testing.T) {
	is := is.New(t)
	var none *durationModel
	_, known := none.deviation()
	is.True(!known)
	m := &durationModel{}
	for i := range 400 {
		took := time.Second
		if i%2 == 0 {
			took = 1500 * time.Millisecond
		}
		m.add(time.Second, took)
		_, known = m.deviation()
		is.Equal(known, m.n >= minDeviationSteps)
	}
	usual, _ := m.deviation()
	is.True(math.Abs(usual-math.Log(1.5)/2) < 0.03)
	m.add(time.Second, time.Hour)
	stalled, _ := m.deviation()
	is.True(stalled < usual+0.05)
}

// Guards against starvation: a tight job is placed where there is room, and before jobs of
// the next group. The job that is not tight gets the first room.
func TestTightJobIsPlacedWhereThereIsRoom(t *testing.T) {
	for room, want := range map[int64][]string{4: {"young"}, 8: {"young", "j"}, 12: {"young", "j", "other"}} {
		t.Run(fmt.Sprint(room, " cores"), func(t *testing.T) {
			is := is.New(t)
			c := marginCell(t, 0, math.Log(2))
			c.core.SetCell(workload.NewCell(2, []workload.Queue{
				{Name: "batch", Pool: "pool", MaxAttempts: 2, Slack: 2, Allowance: time.Second},
				{Name: "other", Pool: "pool", Priority: 1, MaxAttempts: 2, Slack: 2, Allowance: time.Second},
			}, []workload.Team{{Name: "team", Weight: 100, Limit: model.Resources{}}}, nil))
			step := workload.Step{Tasks: 1, Resources: cores(4), Estimate: time.Second}
			c.addJob("j", step)
			c.now = c.now.Add(1500 * time.Millisecond)
			c.addJob("young", step)
			c.core.AddJob(&workload.Job{ID: "other", Queue: "other", Team: "team", Steps: []workload.Step{step}, AcceptedAt: c.now.UnixMilli()}, c.now)
			c.addWorker("w", room)
			c.core.Schedule(c.now)
			is.Equal(c.core.Stats().TightSteps, 1)
			var got []string
			for _, st := range c.startTasks(nil) {
				got = append(got, st.Order.Run.Task.Job)
			}
			is.Equal(len(got), len(want))
			for _, id := range want {
				is.True(slices.Contains(got, id))
			}
		})
	}
}
