package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cuminloft/internal/workload"
)

// This file has load patterns of 350 workers: a cell that is full at its usual load, and one
// whose workers are unlike.

// fullCell returns a mix of jobs that takes all of a cell of 350 workers of 16 cores at the
// usual load: gangs of 20 tasks, batches of 25 small ones, and 88 urgent jobs a second.
func fullCell() []kind {
	return []kind{
		{queue: workload.Queue{Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 3, Slack: 2.2, Allowance: time.Second, Advice: adviceCost(455, 6.5)},
			perSecond: 5.9, worth: 7.06, steps: 1.2, width: 20, maxWidth: 120, cores: 4.5, maxCores: 7.6, memory: 17, seconds: 4, estimateSpread: 0.5, gangShare: 1, allowedShare: 0.35, checkpointShare: 0.5, failureShare: 0.02},
		{queue: workload.Queue{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 3, Slack: 4, Allowance: 3 * time.Second, Advice: adviceCost(169, 2.34)},
			perSecond: 7.9, worth: 3.3, steps: 1.5, width: 25, maxWidth: 150, cores: 1.7, maxCores: 5.2, memory: 3.6, seconds: 3.4, estimateSpread: 0.5, allowedShare: 0.45, checkpointShare: 0.8, failureShare: 0.005},
		{queue: workload.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 3, Slack: 1.5, Allowance: 250 * time.Millisecond, Advice: adviceCost(14.3, 0.208)},
			perSecond: 88, worth: 0.413, steps: 1, width: 3.2, maxWidth: 19, cores: 2.5, maxCores: 7.4, memory: 5.1, seconds: 1, estimateSpread: 0.5, gangShare: 0.3, allowedShare: 0.7, failureShare: 0.005},
	}
}

func fullCellPattern(length time.Duration, at map[time.Duration]func(*replay)) pattern {
	return pattern{workers: 350, cores: 16, memory: 64, hosts: 38, length: length, kinds: fullCell(), at: at}
}

// fullBursts has 1.2 times the usual load, and 2.5 times the urgent work for 4 s.
func fullBursts() pattern {
	return fullCellPattern(24*time.Second, map[time.Duration]func(*replay){
		0: func(r *replay) {
			for queue := range r.factor {
				r.factor[queue] = 1.2
			}
		},
		6 * time.Second:  factor("urgent", 2.5),
		10 * time.Second: factor("urgent", 1),
	})
}

// fullOverload has the load of fullBursts on two sevenths of its cell, and 10 times the urgent
// work for 6 s: together more than twice the capacity, so that urgent jobs wait for urgent jobs.
func fullOverload() pattern {
	p := pattern{workers: 100, cores: 16, memory: 64, hosts: 11, length: 24 * time.Second, kinds: fullCell(),
		at: map[time.Duration]func(*replay){
			0: func(r *replay) {
				for queue := range r.factor {
					r.factor[queue] = 1.2
				}
			},
			6 * time.Second:  factor("urgent", 10),
			12 * time.Second: factor("urgent", 1.2),
		}}
	for i := range p.kinds {
		p.kinds[i].perSecond *= 2.0 / 7
	}
	return p
}

// unlikeWorkers returns a mix of jobs for workers of 32 cores of which a third takes 2.4 times
// as long as the others: gangs of 16 tasks of 9 cores, batches of 25 tasks, and urgent jobs of
// 0.7 s of which one run in twenty fails.
func unlikeWorkers() []kind {
	return []kind{
		{queue: workload.Queue{Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 4, Slack: 2.2, Allowance: time.Second, Advice: adviceCost(430, 6.2)},
			perSecond: 3.8, worth: 10.3, steps: 1.2, width: 16, maxWidth: 80, cores: 9, maxCores: 15, memory: 33, seconds: 5.3, estimateSpread: 0.2, gangShare: 1, allowedShare: 0.35, checkpointShare: 0.5, failureShare: 0.005},
		{queue: workload.Queue{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 4, Slack: 4, Allowance: 3 * time.Second, Advice: adviceCost(120, 1.8)},
			perSecond: 6.3, worth: 3.9, steps: 1.5, width: 25, maxWidth: 150, cores: 3.5, maxCores: 10, memory: 13, seconds: 2.9, estimateSpread: 0.9, allowedShare: 0.45, checkpointShare: 0.8, failureShare: 0.005},
		{queue: workload.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 4, Slack: 1.5, Allowance: 250 * time.Millisecond, Advice: adviceCost(9, 0.13)},
			perSecond: 88, worth: 0.391, steps: 1, width: 3.2, maxWidth: 19, cores: 5, maxCores: 15, memory: 14, seconds: 0.68, estimateSpread: 0.9, gangShare: 0.3, allowedShare: 0.7, failureShare: 0.05},
	}
}

func unlikeWorkersPattern(length time.Duration, at map[time.Duration]func(*replay)) pattern {
	return pattern{workers: 350, cores: 32, memory: 128, azs: 4, speeds: []float64{1 / 0.7, 1 / 0.7, 1 / 1.7}, hosts: 32,
		length: length, kinds: unlikeWorkers(), at: at}
}

// unlikeBursts has 1.6 times the urgent work for 4 s, then 1.8 times the gangs.
func unlikeBursts() pattern {
	return unlikeWorkersPattern(24*time.Second, map[time.Duration]func(*replay){
		5 * time.Second:  factor("urgent", 1.6),
		9 * time.Second:  factor("urgent", 1),
		12 * time.Second: factor("gang", 1.8),
		16 * time.Second: factor("gang", 1),
	})
}

// playPolicy plays a pattern with a policy.
func playPolicy(t testing.TB, p pattern, policy Policy, seed uint64) *replay {
	t.Helper()
	r := newReplay(p, seed)
	r.core.SetPolicy(policy)
	r.play()
	g := r.gain()
	a := r.core.TakeAdviceStats()
	t.Logf("%+v: gain %.3f, two worst windows %.3f, by kind %.3v; advice %.0f host-seconds of %.0f needed; idle beside waiting work %.0f core-seconds",
		policy, g.total, g.windows, g.byKind, a.Total().Seconds(), a.HostTimeNeeded.Seconds(), r.idleCores.sum)
	return r
}

// BenchmarkPolicies reports what policies are worth on these loads, for the comparison of two
// versions of the core; several seeds with -replay.seeds. The design notes 0017 to 0019 call it
// TestPolicyComparison, which it was.
func BenchmarkPolicies(b *testing.B) {
	for name, p := range map[string]func() pattern{"full": fullBursts, "unlike": unlikeBursts, "overload": fullOverload} {
		for seed := range *replaySeeds {
			for _, policy := range []Policy{{}, {LearnSpeeds: true}, {ReserveAmounts: true, RenewFirst: true}, {StartMargins: true},
				{LearnSpeeds: true, ReserveAmounts: true, StartMargins: true, RenewFirst: true}} {
				b.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(b *testing.B) {
					for range b.N {
						b.ReportMetric(playPolicy(b, p(), policy, uint64(seed)).gain().total, "gain")
					}
				})
			}
		}
	}
}
