package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Load pattern: that of BenchmarkScheduleBacklog with 350 workers, without learning of speeds,
// with it, and with a third of the workers slow.
func BenchmarkScheduleBacklogUnlike(b *testing.B) {
	for _, test := range []struct {
		name   string
		policy Policy
		pace   float64 // of every third worker
	}{
		{"off", Policy{}, 0}, {"alike", Policy{LearnSpeeds: true}, 0}, {"unlike", Policy{LearnSpeeds: true}, math.Log(2.4)},
	} {
		b.Run(test.name, func(b *testing.B) {
			c := backlogCell(b, 350, 500)
			c.core.SetPolicy(test.policy)
			var speeds []WorkerSpeed
			for i := range 350 {
				x := WorkerSpeed{Worker: fmt.Sprintf("w%d", i), Incarnation: testIncarnation, Observations: maxSpeedObservations}
				if i%3 == 0 {
					x.Pace = test.pace
				}
				speeds = append(speeds, x)
			}
			c.core.RestoreWorkerSpeeds(speeds)
			b.ResetTimer()
			began := cpuTime(b)
			for b.Loop() {
				c.core.Schedule(c.now)
				c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Nanosecond})
				c.core.NewAdvicePass(c.now).Next(AdviceCapacity{MaxDuration: time.Second})
			}
			b.ReportMetric(float64(cpuTime(b)-began)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(c.core.Stats().SlowWorkers["pool"]), "slow")
		})
	}
}
