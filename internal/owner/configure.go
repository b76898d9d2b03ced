package owner

import (
	"time"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/sched"
)

// applyConfig applies the effective configuration.
func (l *loop) applyConfig() {
	cfg, version := l.opts.View.Effective()
	if cfg == nil || cfg == l.cfg {
		return
	}
	l.cfg, l.version = cfg, version
	l.olderStartsVoidAt = time.Now().Add(l.startWindow() + leaseMargin)
	l.feed(sched.ConfigChanged{Config: cfg})
	l.syncWorkers(cfg)
	l.applyGrants()
}

// syncWorkers connects to the workers that the configuration adds to the shard and
// drains those that it removes.
func (l *loop) syncWorkers(cfg *config.Config) {
	wanted := map[string]bool{}
	for _, spec := range cfg.ShardWorkers(l.opts.Shard) {
		wanted[spec.ID] = true
		l.syncWorker(spec)
	}
	for id, k := range l.workers {
		if !wanted[id] && !k.removed {
			k.removed = true
			l.updateWorkerState(k)
		}
	}
}

func (l *loop) syncWorker(spec model.WorkerSpec) {
	k, ok := l.workers[spec.ID]
	if ok && k.spec.Addr != spec.Addr {
		k.cancel() // the address has changed; the new link contacts the worker again
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
	if k.reachable {
		l.updateWorkerState(k)
	}
}

// confirmConfig publishes the configuration version in the digest once no start that
// was decided under an older version can still take effect. This is the case when no
// start command is in flight and no ticket is unused, or when their start windows have
// passed.
func (l *loop) confirmConfig() {
	if l.confirmedVersion == int64(l.version) {
		return
	}
	now := time.Now()
	if !l.isReady(now) {
		return
	}
	if now.After(l.olderStartsVoidAt) || (l.startsInFlight == 0 && !l.hasUnusedTickets()) {
		l.confirmedVersion = int64(l.version)
		l.digestPublishedAt = time.Time{}
	}
}

func (l *loop) hasUnusedTickets() bool {
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

// applyGrants passes the shard's grant of each team to the core.
func (l *loop) applyGrants() {
	if l.opts.Grants == nil {
		return
	}
	for i := range l.cfg.Organisations {
		for _, t := range l.cfg.Organisations[i].Teams {
			granted, ok := l.opts.Grants.Granted(t.Name)
			l.feed(sched.GrantChanged{Team: t.Name, Grant: granted, None: !ok})
		}
	}
}
