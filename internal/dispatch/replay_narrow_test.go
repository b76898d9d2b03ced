package dispatch

import (
	"time"

	"cuminloft/internal/workload"
)

// This file has load patterns of 350 workers of 16 cores, with narrow gangs beside wide
// batches of small tasks.

// narrowGangs returns the mix of jobs: gangs of 4.5 cores for 6 s, batches of 25 small
// tasks, and 94 urgent jobs a second. The load is seven tenths of the cell. One run of
// twenty fails, and most tasks may be repeated only once.
func narrowGangs() []kind {
	return []kind{
		{queue: workload.Queue{Name: "gang", Pool: "pool", Priority: 1, MaxAttempts: 2, Slack: 2.2, Allowance: time.Second, Advice: adviceCost(380, 5.5)},
			perSecond: 3.65, worth: 11.6, steps: 1.2, width: 13, maxWidth: 64, cores: 4.5, maxCores: 7.6, memory: 4.6, seconds: 6.2, estimateSpread: 0.5, gangShare: 1, allowedShare: 0.35, checkpointShare: 0.5, failureShare: 0.05},
		{queue: workload.Queue{Name: "batch", Pool: "pool", Priority: 2, MaxAttempts: 4, Slack: 4, Allowance: 3 * time.Second, Advice: adviceCost(80, 1.1)},
			perSecond: 14.6, worth: 3.14, steps: 1.5, width: 25, maxWidth: 150, cores: 1.6, maxCores: 4.7, memory: 1.6, seconds: 2.2, estimateSpread: 0.5, allowedShare: 0.45, checkpointShare: 0.8, failureShare: 0.05},
		{queue: workload.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 2, Slack: 1.5, Allowance: 300 * time.Millisecond, Advice: adviceCost(7.2, 0.1)},
			perSecond: 93.8, worth: 0.394, steps: 1, width: 3.2, maxWidth: 19, cores: 2.3, maxCores: 6.8, memory: 2.3, seconds: 0.64, estimateSpread: 0.9, gangShare: 0.3, allowedShare: 0.7, failureShare: 0.05},
	}
}

func narrowGangsPattern(length time.Duration, at map[time.Duration]func(*replay)) pattern {
	return pattern{workers: 350, cores: 16, memory: 32, speeds: []float64{1, 1, 0.77}, hosts: 42,
		length: length, kinds: narrowGangs(), at: at}
}

// narrowBursts has 2.2 times the urgent work for 4 s, then 1.8 times the gangs.
func narrowBursts() pattern {
	return narrowGangsPattern(26*time.Second, map[time.Duration]func(*replay){
		5 * time.Second:  factor("urgent", 2.2),
		9 * time.Second:  factor("urgent", 1),
		12 * time.Second: factor("gang", 1.8),
		16 * time.Second: factor("gang", 1),
	})
}

// narrowEvacuated has the same bursts, each while another third of the cell is evacuated.
func narrowEvacuated() pattern {
	return narrowGangsPattern(30*time.Second, map[time.Duration]func(*replay){
		2 * time.Second:          func(r *replay) { r.core.SetEvacuated("az0", true) },
		6 * time.Second:          factor("urgent", 2.2),
		10 * time.Second:         factor("urgent", 1),
		13 * time.Second:         func(r *replay) { r.core.SetEvacuated("az0", false) },
		18 * time.Second:         factor("gang", 1.8),
		22 * time.Second:         factor("gang", 1),
		19900 * time.Millisecond: func(r *replay) { r.core.SetEvacuated("az1", true) },
	})
}

// narrowTrouble has a sequence of disturbances: teams that submit a multiple of their
// usual load, a burst of urgent work during three takeovers, the last of them with a
// store that does not answer, and a burst of gangs.
func narrowTrouble() pattern {
	scaleAll := func(x float64) func(*replay) {
		return func(r *replay) {
			for queue := range r.factor {
				r.factor[queue] *= x
			}
		}
	}
	p := narrowGangsPattern(28*time.Second, map[time.Duration]func(*replay){
		time.Second:              scaleAll(1.2),
		3 * time.Second:          takeover(1200 * time.Millisecond),
		8800 * time.Millisecond:  factor("urgent", 2.2*1.2),
		9 * time.Second:          scaleAll(1.25),
		12800 * time.Millisecond: factor("urgent", 1.25),
		13 * time.Second:         takeover(1300 * time.Millisecond),
		17 * time.Second:         scaleAll(1 / (1.2 * 1.25)),
		17020 * time.Millisecond: factor("gang", 1.7),
		18 * time.Second:         takeover(4200 * time.Millisecond),
		22400 * time.Millisecond: factor("gang", 1),
	})
	p.storeSilent = true
	return p
}

// spot removes every fifteenth worker at 1.7 s notice. The removed workers send no
// reports any more, and the registry lists them for another 4 s.
func spot(p *pattern, at time.Duration, first int) {
	const notice, listed = 1700 * time.Millisecond, 4 * time.Second
	each := func(r *replay, f func(w *replayWorker)) {
		for i, w := range r.sorted() {
			if i%15 == first {
				f(w)
			}
		}
	}
	p.at[at] = func(r *replay) {
		each(r, func(w *replayWorker) {
			w.info.Draining, w.info.Remaining = true, notice
			info := w.info
			r.core.SetWorker(workload.WorkerChange{ID: info.ID, Worker: &info})
		})
	}
	p.at[at+notice] = func(r *replay) {
		each(r, func(w *replayWorker) {
			w.unreachable = true
			for id := range w.runs {
				r.breakGang(id.StepID)
			}
			clear(w.runs)
			r.core.HandleLostContact(w.info.ID, r.now)
			r.core.ExtendLease(w.info.ID, r.now.Add(7*time.Second))
		})
	}
	p.at[at+notice+listed] = func(r *replay) {
		each(r, func(w *replayWorker) { r.core.SetWorker(workload.WorkerChange{ID: w.info.ID}) })
	}
}

// narrowSpot removes a fifteenth of the cell, twice.
func narrowSpot() pattern {
	p := narrowGangsPattern(20*time.Second, map[time.Duration]func(*replay){})
	spot(&p, 4*time.Second, 1)
	spot(&p, 11*time.Second, 2)
	return p
}
