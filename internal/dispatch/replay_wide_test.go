package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// This file has load patterns of 350 workers in three availability zones.

// adviceCost returns the duration of calls for advice, in milliseconds for each call and
// for each worker that it names.
func adviceCost(call, worker float64) *workload.AdviceCost {
	return &workload.AdviceCost{PerCall: time.Duration(call * float64(time.Millisecond)),
		PerWorker: time.Duration(worker * float64(time.Millisecond)), Validity: 2500 * time.Millisecond}
}

// wideGangs returns the mix of jobs of a cell of 350 workers of 32 cores, with a load of
// three quarters: wide gangs of 9 cores for 6 s, batches of 25 tasks, and 80 urgent jobs
// a second.
func wideGangs() []kind {
	return []kind{
		{queue: workload.Queue{Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 4, Slack: 2.2, Allowance: time.Second, Advice: adviceCost(380, 5.5)},
			perSecond: 4.86, worth: 7.57, steps: 1.2, width: 13, maxWidth: 64, cores: 9, maxCores: 15, memory: 33, seconds: 6.2, estimateSpread: 0.2, gangShare: 1, allowedShare: 0.35},
		{queue: workload.Queue{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 4, Slack: 4, Allowance: 3 * time.Second, Advice: adviceCost(120, 1.8)},
			perSecond: 7.17, worth: 3.21, steps: 1.5, width: 25, maxWidth: 150, cores: 3.2, maxCores: 9.5, memory: 12, seconds: 3.4, estimateSpread: 0.5, allowedShare: 0.45},
		{queue: workload.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 2, Slack: 1.5, Allowance: 250 * time.Millisecond, Advice: adviceCost(11, 0.16)},
			perSecond: 80.3, worth: 0.402, steps: 1, width: 3.2, maxWidth: 19, cores: 4.5, maxCores: 14, memory: 13, seconds: 1, estimateSpread: 0.5, gangShare: 0.3, allowedShare: 0.7},
	}
}

// evacuatedThird evacuates a third of the cell, which raises the load of the rest to
// 110%.
func evacuatedThird() pattern {
	return pattern{workers: 350, cores: 32, hosts: 29, length: 24 * time.Second, kinds: wideGangs(),
		at: map[time.Duration]func(*replay){6 * time.Second: func(r *replay) { r.core.SetEvacuated("az0", true) }}}
}

// setUnreachable makes an AZ unreachable, or reachable again.
func setUnreachable(az string, on bool) func(*replay) {
	return func(r *replay) {
		for id, w := range r.workers {
			if w.info.AZ == az {
				w.unreachable = on
				if on {
					r.core.HandleLostContact(id, r.now)
				}
			}
		}
	}
}

// cutThird makes a third of the cell unreachable for 6 s.
func cutThird() pattern {
	return pattern{workers: 350, cores: 32, hosts: 29, length: 16 * time.Second, kinds: wideGangs(),
		at: map[time.Duration]func(*replay){4 * time.Second: setUnreachable("az0", true), 10 * time.Second: setUnreachable("az0", false)}}
}

// lostThird loses a third of the cell for 7 s, with the tasks that run there and a third
// of the hosts that make calls for advice. The coordinator is lost as well; its successor
// starts to decide after 1.2 s.
func lostThird() pattern {
	loseAZ := func(r *replay) {
		setUnreachable("az0", true)(r)
		for _, w := range r.workers {
			if w.unreachable {
				clear(w.runs)
			}
		}
		r.pause(1200 * time.Millisecond)
		for i := range r.busyUntil[:len(r.busyUntil)/3] {
			r.busyUntil[i] = r.now.Add(7 * time.Second)
		}
	}
	return pattern{workers: 350, cores: 32, hosts: 29, length: 24 * time.Second, kinds: wideGangs(),
		at: map[time.Duration]func(*replay){8 * time.Second: loseAZ, 15 * time.Second: setUnreachable("az0", false)}}
}

// evacuatedAndCut makes a third unreachable while another one is evacuated: the load of
// the rest is 110%, then 220%.
func evacuatedAndCut() pattern {
	p := evacuatedThird()
	p.length = 30 * time.Second
	p.at[14*time.Second] = setUnreachable("az1", true)
	p.at[20*time.Second] = setUnreachable("az1", false)
	return p
}

// bursts doubles the urgent work for 4 s, then multiplies the gangs, in a cell without a
// third of its workers.
func bursts() pattern {
	p := evacuatedThird()
	p.at[2*time.Second] = factor("urgent", 2)
	p.at[6*time.Second+replayStep] = factor("urgent", 1)
	p.at[12*time.Second] = factor("urgent", 2)
	p.at[16*time.Second] = factor("urgent", 1)
	p.at[16*time.Second+replayStep] = factor("gang", 1.7)
	p.at[20*time.Second] = factor("gang", 1)
	return p
}

// flood has four times the urgent work for 6 s.
func flood() pattern {
	return pattern{workers: 350, cores: 32, hosts: 29, length: 16 * time.Second, kinds: wideGangs(),
		at: map[time.Duration]func(*replay){
			4 * time.Second:  func(r *replay) { r.factor["urgent"] = 4 },
			10 * time.Second: func(r *replay) { r.factor["urgent"] = 1 },
		}}
}
