package owner

// readHosts takes in what the platform's host list says of the workers. The
// list lags and may leave out live hosts, so it only keeps new work away; that
// nothing runs any more is proved by fences and leases alone.
func (l *loop) readHosts() {
	if l.opts.Leaving == nil {
		return
	}
	for id, k := range l.workers {
		leaving := l.opts.Leaving(id)
		if leaving == k.hostLeaving {
			continue
		}
		k.hostLeaving = leaving
		if k.reached {
			l.showWorker(k)
		}
	}
}
