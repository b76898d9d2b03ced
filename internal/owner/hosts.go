package owner

// updateLeavingHosts updates the workers' states from the platform's host list. The
// list lags and may omit live hosts, so it is only used to keep new tasks off leaving
// hosts. Only fences and leases prove that nothing runs on a worker any more.
func (l *loop) updateLeavingHosts() {
	if l.opts.Leaving == nil {
		return
	}
	for id, k := range l.workers {
		leaving := l.opts.Leaving(id)
		if leaving == k.hostLeaving {
			continue
		}
		k.hostLeaving = leaving
		if k.reachable {
			l.updateWorkerState(k)
		}
	}
}
