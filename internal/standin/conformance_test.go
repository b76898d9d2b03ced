package standin_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/platform/httpplatform"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
	"cuminloft/internal/worker/httpworker"
)

// overPlatform runs a test against the stand-in called directly and over HTTP.
func overPlatform(t *testing.T, test func(t *testing.T, p *standin.Platform, table platform.Table, objects platform.ObjectStore, hosts platform.HostList)) {
	t.Run("memory", func(t *testing.T) {
		p := standin.NewPlatform()
		test(t, p, p.Table, p.Objects, p.Hosts)
	})
	t.Run("http", func(t *testing.T) {
		p := standin.NewPlatform()
		server := httptest.NewServer(standin.PlatformHandler(p))
		defer server.Close()
		c := httpplatform.New(server.URL, nil)
		test(t, p, c.Table(), c.Objects(), c.HostList())
	})
}

func TestTableConformance(t *testing.T) {
	overPlatform(t, func(t *testing.T, p *standin.Platform, table platform.Table, _ platform.ObjectStore, _ platform.HostList) {
		is := is.New(t)
		ctx := context.Background()
		_, err := table.Get(ctx, "a")
		is.True(errors.Is(err, platform.ErrNotFound))

		versions, err := table.Apply(ctx, []platform.Write{
			{Key: "a", Value: []byte("1")},
			{Key: "b/1", Value: []byte("2")},
			{Key: "b/2", Value: []byte{0, 255}},
		})
		is.NoErr(err)
		row, err := table.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(row, platform.Row{Key: "a", Value: []byte("1"), Version: versions[0]})

		_, err = table.Apply(ctx, []platform.Write{
			{Key: "c", Value: []byte("3")},
			{Key: "a", IfVersion: versions[0] + 1, CheckOnly: true},
		})
		var conflict *platform.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Key, "a")
		_, err = table.Get(ctx, "c")
		is.True(errors.Is(err, platform.ErrNotFound)) // a failed condition discards the whole transaction

		rows, err := table.Range(ctx, "b/", "", 1)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		rows, err = table.Range(ctx, "b/", rows[0].Key, 10)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		is.Equal(rows[0].Value, []byte{0, 255})

		second, err := table.Apply(ctx, []platform.Write{
			{Key: "a", IfVersion: versions[0], CheckOnly: true},
			{Key: "b/1", IfVersion: versions[1], Delete: true},
			{Key: "b/2", IfVersion: versions[2], Value: []byte("4")},
		})
		is.NoErr(err)
		is.Equal(second[:2], []int64{0, 0})
		is.True(second[2] > versions[2])

		p.Table.Set(standin.FaultSet{LoseReplyEvery: 1})
		_, err = table.Apply(ctx, []platform.Write{{Key: "d", Value: []byte("5")}})
		is.True(errors.Is(err, platform.ErrAmbiguous))
		p.Table.Set(standin.FaultSet{Down: true})
		_, err = table.Apply(ctx, []platform.Write{{Key: "e"}})
		is.True(errors.Is(err, platform.ErrUnavailable))
		_, err = table.Get(ctx, "d")
		is.True(errors.Is(err, platform.ErrUnavailable))
		p.Table.Set(standin.FaultSet{})
		_, err = table.Get(ctx, "d")
		is.NoErr(err)

		p.Table.Set(standin.FaultSet{Freeze: true})
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err = table.Apply(short, []platform.Write{{Key: "f"}})
		is.True(errors.Is(err, platform.ErrAmbiguous))
	})
}

func TestObjectsAndHostsConformance(t *testing.T) {
	overPlatform(t, func(t *testing.T, p *standin.Platform, _ platform.Table, objects platform.ObjectStore, hosts platform.HostList) {
		is := is.New(t)
		ctx := context.Background()
		_, err := objects.Get(ctx, "snapshot/1")
		is.True(errors.Is(err, platform.ErrNotFound))
		is.NoErr(objects.Put(ctx, "snapshot/1", []byte("body")))
		data, err := objects.Get(ctx, "snapshot/1")
		is.NoErr(err)
		is.Equal(string(data), "body")
		names, err := objects.List(ctx, "snapshot/")
		is.NoErr(err)
		is.Equal(names, []string{"snapshot/1"})
		is.NoErr(objects.Delete(ctx, "snapshot/1"))
		is.NoErr(objects.Delete(ctx, "snapshot/1"))
		p.Objects.Set(standin.FaultSet{LoseReplyEvery: 1})
		is.True(errors.Is(objects.Put(ctx, "x", nil), platform.ErrAmbiguous))
		p.Objects.Set(standin.FaultSet{Down: true})
		is.True(errors.Is(objects.Put(ctx, "x", nil), platform.ErrUnavailable))

		h := platform.Host{ID: "w1", AZ: "lager", State: platform.HostLeaving}
		p.Hosts.Put(h)
		list, err := hosts.Hosts(ctx)
		is.NoErr(err)
		is.Equal(list, []platform.Host{h})
		p.Hosts.SetLag(time.Hour)
		list, err = hosts.Hosts(ctx)
		is.NoErr(err)
		is.Equal(len(list), 0)
	})
}

// overWorker runs a test against the stand-in called directly and over HTTP.
func overWorker(t *testing.T, test func(t *testing.T, w *standin.Worker, c worker.Client)) {
	t.Run("memory", func(t *testing.T) {
		w := newWorker()
		test(t, w, w)
	})
	t.Run("http", func(t *testing.T) {
		w := newWorker()
		server := httptest.NewServer(standin.WorkerHandler(w))
		defer server.Close()
		spec := w.Spec()
		spec.Addr = strings.TrimPrefix(server.URL, "http://")
		test(t, w, httpworker.New(spec, nil))
	})
}

func TestWorkerConformance(t *testing.T) {
	overWorker(t, func(t *testing.T, w *standin.Worker, c worker.Client) {
		is := is.New(t)
		ctx := context.Background()
		s, err := start(w, 3, "job", `{"run_ms":3600000,"tag":"t"}`)
		is.NoErr(err)
		is.NoErr(c.Start(ctx, s))
		is.True(errors.Is(c.Start(ctx, s), worker.ErrDuplicate))
		inv, err := c.RaiseFence(ctx, 4)
		is.NoErr(err)
		is.Equal(inv.Fence, worker.Fence(4))
		is.Equal(inv.Tasks[0].Attempt, s.Attempt)
		_, err = c.RaiseFence(ctx, 3)
		is.True(errors.Is(err, worker.ErrFenced))
		is.True(errors.Is(c.Stop(ctx, 3, s.Attempt), worker.ErrFenced))

		unseen := worker.Attempt{Task: model.TaskID{Job: "unseen", Index: 7}, Number: 2}
		is.True(errors.Is(c.Throttle(ctx, 4, unseen, 50), worker.ErrUnknownTask))
		report, err := c.Settle(ctx, 4, unseen)
		is.NoErr(err)
		is.Equal(report.State, worker.TaskNeverSeen)
		is.Equal(report.Boot, inv.Boot)
		s.Attempt, s.Fence = unseen, 4
		is.True(errors.Is(c.Start(ctx, s), worker.ErrVoided))

		is.NoErr(c.Throttle(ctx, 4, inv.Tasks[0].Attempt, 50))
		name, err := c.Checkpoint(ctx, 4, inv.Tasks[0].Attempt)
		is.NoErr(err)
		is.True(name != "")
		is.NoErr(c.Stop(ctx, 4, inv.Tasks[0].Attempt))
		reply, err := c.Heartbeat(ctx, worker.Heartbeat{Fence: 4, Lease: time.Minute, Wait: time.Minute})
		is.NoErr(err)
		is.Equal(reply.Changed[0].State, worker.TaskStopped)
		is.Equal(reply.Boot, inv.Boot)

		w.Set(standin.FaultSet{LoseReplyEvery: 1})
		s, err = start(w, 5, "lost", "{}")
		is.True(errors.Is(err, worker.ErrAmbiguous))
		s.StartBy = 1 << 62
		is.True(errors.Is(c.Start(ctx, s), worker.ErrAmbiguous))
		w.Set(standin.FaultSet{Down: true})
		is.True(errors.Is(c.Start(ctx, s), worker.ErrUnreachable))
		w.Set(standin.FaultSet{})
		report, err = c.Settle(ctx, 5, s.Attempt)
		is.NoErr(err)
		is.Equal(report.State, worker.TaskDone)
	})
}

func TestRunConformance(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.FaultSet
		body   string
		want   error
		failed bool
	}{
		{"whole", standin.FaultSet{}, strings.Repeat("proof", 20_000), nil, false},
		{"empty", standin.FaultSet{}, "", nil, false},
		{"task fails", standin.FaultSet{}, `{"fail":true}`, nil, true},
		{"all fail", standin.FaultSet{FailEverything: true}, "x", nil, true},
		{"foreign answer", standin.FaultSet{MisaddressEvery: 1}, "x", worker.ErrForeignAnswer, false},
		{"truncated", standin.FaultSet{TruncateEvery: 1}, "proof", worker.ErrTruncated, false},
		{"lost", standin.FaultSet{LoseReplyEvery: 1}, "x", worker.ErrAmbiguous, false},
		{"down", standin.FaultSet{Down: true}, "x", worker.ErrUnreachable, false},
	}
	overWorker(t, func(t *testing.T, w *standin.Worker, c worker.Client) {
		for _, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				w.Set(standin.FaultSet{})
				s, err := start(w, 1, tt.name, "")
				is.NoErr(err)
				w.Set(tt.faults)
				answer, err := c.Run(context.Background(), s, strings.NewReader(tt.body))
				var got []byte
				if err == nil {
					is.Equal(answer.Failed, tt.failed)
					got, err = io.ReadAll(answer.Body)
					is.NoErr(answer.Body.Close())
				}
				is.True(errors.Is(err, tt.want))
				is.True(err != nil || string(got) == tt.body)
			})
		}
	})
}

func TestConnectionRefusedIsUnreachable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	server.Close()
	ctx := context.Background()
	c := httpworker.New(model.WorkerSpec{ID: "w", Addr: strings.TrimPrefix(server.URL, "http://")}, nil)
	is.True(errors.Is(c.Start(ctx, worker.Start{}), worker.ErrUnreachable))
	_, err := c.Run(ctx, worker.Start{}, strings.NewReader("x"))
	is.True(errors.Is(err, worker.ErrUnreachable))
	_, err = httpplatform.New(server.URL, nil).Table().Apply(ctx, nil)
	is.True(errors.Is(err, platform.ErrUnavailable))
}
