package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// This file has load patterns of 370 workers in five availability zones, whose calls for
// advice take more time in sum than a fifth of the hosts have.

// manyWorkers returns the mix of jobs of a cell of 370 workers of 32 cores, with a load
// of three quarters. Its estimates are unreliable.
func manyWorkers() []kind {
	return []kind{
		{queue: workload.Queue{Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 4, Slack: 2.2, Allowance: time.Second, Advice: adviceCost(410, 5.9)},
			perSecond: 7.3, worth: 5.98, steps: 1.2, width: 8, maxWidth: 40, cores: 9, maxCores: 15, memory: 13, seconds: 6.2, estimateSpread: 0.9, gangShare: 1, allowedShare: 0.35, failureShare: 0.02},
		{queue: workload.Queue{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 4, Slack: 4, Allowance: 3 * time.Second, Advice: adviceCost(140, 2)},
			perSecond: 10.5, worth: 2.62, steps: 1.5, width: 14, maxWidth: 68, cores: 5.2, maxCores: 16, memory: 9.5, seconds: 2.7, estimateSpread: 0.9, allowedShare: 0.45, failureShare: 0.02},
		{queue: workload.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 3, Slack: 1.5, Allowance: 300 * time.Millisecond, Advice: adviceCost(15, 0.22)},
			perSecond: 95, worth: 0.402, steps: 1, width: 2.6, maxWidth: 15, cores: 7.4, maxCores: 22, memory: 7.6, seconds: 0.64, estimateSpread: 0.5, gangShare: 0.3, allowedShare: 0.7, failureShare: 0.05},
	}
}

func manyWorkersPattern(length time.Duration, at map[time.Duration]func(*replay)) pattern {
	return pattern{workers: 370, cores: 32, memory: 64, azs: 5, speeds: []float64{0.8, 1, 1.25}, hosts: 47,
		length: length, kinds: manyWorkers(), at: at}
}

// factor multiplies the arrival rate of a queue.
func factor(queue string, x float64) func(*replay) {
	return func(r *replay) { r.factor[queue] = x }
}

// largeBursts has 1.8 times the urgent work for 4 s, then 1.8 times the gangs.
func largeBursts() pattern {
	return manyWorkersPattern(22*time.Second, map[time.Duration]func(*replay){
		5 * time.Second:  factor("urgent", 1.8),
		9 * time.Second:  factor("urgent", 1),
		11 * time.Second: factor("gang", 1.8),
		15 * time.Second: factor("gang", 1),
	})
}

// largeEvacuated has 1.7 times the gangs for 4 s. In the second half of that time one of
// five availability zones is evacuated.
func largeEvacuated() pattern {
	return manyWorkersPattern(24*time.Second, map[time.Duration]func(*replay){
		6 * time.Second:         factor("gang", 1.7),
		8500 * time.Millisecond: func(r *replay) { r.core.SetEvacuated("az0", true) },
		10 * time.Second:        factor("gang", 1),
	})
}

// takeover pauses the coordinator. Its successor has no tickets.
func takeover(pause time.Duration) func(*replay) {
	return func(r *replay) {
		r.pause(pause)
		for _, j := range r.core.active {
			for _, o := range j.occurrences {
				for _, s := range o.steps {
					s.advice = adviceState{}
				}
			}
		}
	}
}

// largeTrouble has a sequence of disturbances that builds up backlogs: one of five zones
// is evacuated, urgent work bursts, the coordinator changes, the store does not answer,
// gangs burst, and another zone is evacuated.
func largeTrouble() pattern {
	evacuate := func(az string, on bool) func(*replay) {
		return func(r *replay) { r.core.SetEvacuated(az, on) }
	}
	// Two teams submit a multiple of their usual load, one after the other.
	scaleAll := func(x float64) func(*replay) {
		return func(r *replay) {
			for queue := range r.factor {
				r.factor[queue] *= x
			}
		}
	}
	p := manyWorkersPattern(40*time.Second, map[time.Duration]func(*replay){
		1020 * time.Millisecond:  scaleAll(1.25),
		8980 * time.Millisecond:  scaleAll(1 / 1.25),
		9040 * time.Millisecond:  scaleAll(1.35),
		17 * time.Second:         scaleAll(1 / 1.35),
		time.Second:              evacuate("az0", true),
		9020 * time.Millisecond:  factor("urgent", 2.1),
		11 * time.Second:         evacuate("az0", false),
		13 * time.Second:         factor("urgent", 1.35),
		13200 * time.Millisecond: takeover(1200 * time.Millisecond),
		18 * time.Second:         takeover(4200 * time.Millisecond),
		22400 * time.Millisecond: factor("gang", 1.7),
		24500 * time.Millisecond: evacuate("az1", true),
		26 * time.Second:         factor("gang", 1),
	})
	p.storeSilent = true
	return p
}
