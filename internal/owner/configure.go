package owner

import (
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// applyConfig puts the effective configuration in force.
func (l *loop) applyConfig() {
	cfg, version := l.opts.View.Effective()
	if cfg == nil || cfg == l.cfg {
		return
	}
	l.cfg, l.version = cfg, version
	l.confirmBy = time.Now().Add(l.startWindow() + leaseMargin)
	l.feed(sched.ConfigChanged{Config: cfg})
	l.syncWorkers(cfg)
	l.applyGrants()
}

// syncWorkers connects the workers that the configuration adds to the shard and
// drains those that it takes away.
func (l *loop) syncWorkers(cfg *config.Config) {
	wanted := map[string]bool{}
	for _, spec := range cfg.ShardWorkers(l.opts.Shard) {
		wanted[spec.ID] = true
		l.syncWorker(spec)
	}
	for id, k := range l.workers {
		if !wanted[id] && !k.removed {
			k.removed = true
			l.showWorker(k)
		}
	}
}

func (l *loop) syncWorker(spec model.WorkerSpec) {
	k, ok := l.workers[spec.ID]
	if ok && k.spec.Addr != spec.Addr {
		k.cancel() // the worker has moved; the new link meets it anew
		ok = false
	}
	if !ok {
		l.connect(spec)
		return
	}
	k.removed = false
	k.spec = spec
	if k.state == "" {
		return
	}
	l.feed(sched.WorkerChanged{Worker: spec, State: k.state})
	if k.reached {
		l.showWorker(k)
	}
}

// confirmConfig tells in the digest that the configuration is in force: nothing
// can start any more that was decided under an older one. That holds once no
// start command and no unused ticket is out, or when their windows are over.
func (l *loop) confirmConfig() {
	if l.confirmed == int64(l.version) {
		return
	}
	now := time.Now()
	if !l.isReady(now) {
		return
	}
	if now.After(l.confirmBy) || (l.sends == 0 && !l.ticketsOut()) {
		l.confirmed = int64(l.version)
		l.digestAt = time.Time{}
	}
}

func (l *loop) ticketsOut() bool {
	for _, a := range l.attempts {
		if a.phase == phaseTicket {
			return true
		}
	}
	return false
}

func (l *loop) grantsChanged() <-chan struct{} {
	if l.opts.Grants == nil {
		return nil
	}
	return l.opts.Grants.Changed()
}

// applyGrants tells the core how much of each team's limit the shard holds.
func (l *loop) applyGrants() {
	if l.opts.Grants == nil {
		return
	}
	for i := range l.cfg.Organisations {
		for _, t := range l.cfg.Organisations[i].Teams {
			held, any := l.opts.Grants.Granted(t.Name)
			l.feed(sched.GrantChanged{Team: t.Name, Grant: held, None: !any})
		}
	}
}
