package door_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/configsync"
	"cuminloft/internal/door"
	"cuminloft/internal/member"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
)

// emptyDirectory is a directory without shards and members.
type emptyDirectory struct{}

func (emptyDirectory) Shards() []member.ShardRef            { return nil }
func (emptyDirectory) Shard(string) (member.ShardRef, bool) { return member.ShardRef{}, false }
func (emptyDirectory) Members() []*rpc.Member               { return nil }
func (emptyDirectory) Peer(string) (rpc.Peer, bool)         { return nil, false }

// FuzzCaller checks that an entry host without shards refuses every request with a stable
// code and the outcome not_run.
func FuzzCaller(f *testing.F) {
	const key = "secret"
	handler := door.New(door.Options{
		Self:      &rpc.Member{Host: "entry-1", Az: "keller"},
		Directory: emptyDirectory{},
		View: configsync.NewStatic(&config.Config{
			Organisations: []config.Organisation{{Name: "o", Share: 1, Teams: []config.Team{
				{Name: "t", Share: 1, Keys: []config.Key{{ID: "k", SHA256: config.HashKey(key)}}},
			}}},
			Queues: []config.Queue{{Name: "proofs", Policy: model.PolicyDirect}, {Name: "season", Policy: model.PolicyBatch}},
		}),
		Log:    logr.Discard(),
		Limits: door.Limits{MaxSubmission: 4 << 10, MaxBody: 4 << 10},
	}).Handler()

	f.Add(true, "proofs", "true", "1ms", "slots=1", []byte("label 17"))
	f.Add(false, "season", "maybe", "-3s", "slots=x", []byte(`{"queue":"season","tasks":2,"run_time":"1m"}`))
	f.Add(false, "none", "", "", "", []byte(`{"queue":7,"payload":"%%%"}`))
	f.Fuzz(func(t *testing.T, direct bool, queue, idempotent, timeout, resources string, body []byte) {
		path := "/v1/jobs"
		if direct {
			path = "/v1/run/x"
		}
		r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		if direct {
			r.URL.Path = "/v1/run/" + queue
		}
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set(api.HeaderIdempotent, idempotent)
		r.Header.Set(api.HeaderTimeout, "1ms")
		if timeout != "" {
			r.Header.Set(api.HeaderRunTime, timeout)
		}
		r.Header.Set(api.HeaderResources, resources)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code == http.StatusMovedPermanently || w.Code == http.StatusTemporaryRedirect || w.Body.String() == "404 page not found\n" {
			return // the path is not served by the front end
		}
		var e api.Error
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
			t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
		}
		if w.Code < http.StatusBadRequest || e.Code == "" || e.Outcome != api.OutcomeNotRun || e.Code == api.CodeInternal {
			t.Fatalf("status %d: %+v", w.Code, e)
		}
	})
}
