package load

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
	"cuminloft/internal/worker/httpworker"
)

const (
	plainIdleConnections = 1024
	plainStartWindow     = time.Minute
	plainLease           = time.Minute
	plainFence           = worker.Fence(1)
)

// ServePlainProxy serves the standard library's reverse handler in front of a
// stand-in worker of its own until ctx ends: the least that any entry host would
// have to do. It only serves as a yardstick.
func ServePlainProxy(ctx context.Context, l net.Listener, workerAddr string) error {
	client := httpworker.New(model.WorkerSpec{ID: "plain", Addr: workerAddr}, nil)
	if _, err := client.RaiseFence(ctx, plainFence); err != nil {
		return err
	}
	s := &http.Server{Handler: plainHandler(workerAddr), ReadHeaderTimeout: plainStartWindow}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func plainHandler(workerAddr string) http.Handler {
	to := &url.URL{Scheme: "http", Host: workerAddr}
	run := time.Now().UnixNano()
	var count atomic.Int64
	return &httputil.ReverseProxy{
		Transport: &http.Transport{MaxIdleConnsPerHost: plainIdleConnections},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(to)
			r.Out.URL.Path = httpworker.PathRun
			id := model.JobID("plain-" + strconv.FormatInt(run, 16) + "-" + strconv.FormatInt(count.Add(1), 16))
			start, _ := httpworker.EncodeStart(worker.Start{
				Attempt:   worker.Attempt{Task: model.TaskID{Job: id}, Number: 1},
				Fence:     plainFence,
				StartBy:   time.Now().Add(plainStartWindow).UnixNano(),
				Lease:     plainLease,
				Resources: model.Resources{Slots: 1},
				Direct:    true,
			})
			r.Out.Header.Set(httpworker.HeaderStart, start)
		},
	}
}
