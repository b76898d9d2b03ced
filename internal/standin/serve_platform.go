package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/platform"
	"cuminloft/internal/platform/httpplatform"
)

// Paths for tests' and checkers' use; no real platform or worker has them.
const (
	PathFaults  = "/control/faults" // GET, PUT FaultSet; platforms add ?of=table|objects|hosts
	PathStats   = "/control/stats"  // GET PlatformStats
	PathLog     = "/control/log"    // GET []TableLogEntry
	PathHost    = "/control/host"   // PUT platform.Host, DELETE ?key=
	PathRecord  = "/control/record" // GET []RecordEntry of a worker
	PathRestart = "/control/restart"
	PathLeaving = "/control/leaving" // PUT true or false
)

// shutdownTimeout bounds how long a server's open requests may take to end.
const shutdownTimeout = 2 * time.Second

// Platform is the stand-in of the whole platform.
type Platform struct {
	Table   *Table
	Objects *Objects
	Hosts   *HostList
}

// PlatformStats is the answer of PathStats.
type PlatformStats struct {
	Table   TableStats `json:"table"`
	Objects int64      `json:"objects"` // calls of the object store
}

// NewPlatform returns an empty platform whose table logs the writes of keys with
// one of the watched prefixes.
func NewPlatform(watched ...string) *Platform {
	return &Platform{Table: NewTable(watched...), Objects: NewObjects(), Hosts: NewHostList()}
}

// PlatformHandler serves p over HTTP.
func PlatformHandler(p *Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpplatform.PathApply, p.apply)
	mux.HandleFunc("GET "+httpplatform.PathRow, p.row)
	mux.HandleFunc("GET "+httpplatform.PathRange, p.rows)
	mux.HandleFunc("GET "+httpplatform.PathObjects, p.object)
	mux.HandleFunc("PUT "+httpplatform.PathObjects, p.putObject)
	mux.HandleFunc("DELETE "+httpplatform.PathObjects, p.deleteObject)
	mux.HandleFunc("GET "+httpplatform.PathHosts, p.hosts)
	mux.HandleFunc("GET "+PathFaults, p.getFaults)
	mux.HandleFunc("PUT "+PathFaults, p.setFaults)
	mux.HandleFunc("GET "+PathStats, p.stats)
	mux.HandleFunc("GET "+PathLog, p.tableLog)
	mux.HandleFunc("PUT "+PathHost, p.putHost)
	mux.HandleFunc("DELETE "+PathHost, p.removeHost)
	return mux
}

// ServePlatform serves p at addr until ctx ends. ready, if not nil, is called
// with the listener's address.
func ServePlatform(ctx context.Context, addr string, p *Platform, ready func(addr string)) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	if ready != nil {
		ready(listener.Addr().String())
	}
	return serve(ctx, listener, PlatformHandler(p))
}

// serve serves handler until ctx ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(limit) != nil {
			_ = server.Close()
		}
	})
	err := server.Serve(listener)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (p *Platform) apply(w http.ResponseWriter, r *http.Request) {
	var req httpplatform.ApplyRequest
	if !decode(w, r, &req) {
		return
	}
	versions, err := p.Table.Apply(r.Context(), req.Writes)
	reply(w, httpplatform.ApplyReply{Versions: versions}, err)
}

func (p *Platform) row(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get(httpplatform.ParamKey))
	reply(w, row, err)
}

func (p *Platform) rows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get(httpplatform.ParamLimit))
	if err != nil {
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeBadRequest, "", "limit is not a number"))
		return
	}
	rows, err := p.Table.Range(r.Context(), q.Get(httpplatform.ParamPrefix), q.Get(httpplatform.ParamAfter), limit)
	reply(w, httpplatform.RangeReply{Rows: rows}, err)
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !q.Has(httpplatform.ParamName) {
		names, err := p.Objects.List(r.Context(), q.Get(httpplatform.ParamPrefix))
		reply(w, httpplatform.ListReply{Names: names}, err)
		return
	}
	data, err := p.Objects.Get(r.Context(), q.Get(httpplatform.ParamName))
	if err != nil {
		platformError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeBadRequest, "", err.Error()))
		return
	}
	reply(w, struct{}{}, p.Objects.Put(r.Context(), r.URL.Query().Get(httpplatform.ParamName), data))
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, p.Objects.Delete(r.Context(), r.URL.Query().Get(httpplatform.ParamName)))
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Hosts.Hosts(r.Context())
	reply(w, httpplatform.HostsReply{Hosts: hosts}, err)
}

// faultsOf returns the faults of the part that a control request names.
func (p *Platform) faultsOf(r *http.Request) *Faults {
	switch r.URL.Query().Get("of") {
	case "objects":
		return &p.Objects.Faults
	case "hosts":
		return &p.Hosts.Faults
	}
	return &p.Table.Faults
}

func (p *Platform) getFaults(w http.ResponseWriter, r *http.Request) {
	httpjson.WriteJSON(w, p.faultsOf(r).Get())
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	putFaults(w, r, p.faultsOf(r))
}

func (p *Platform) stats(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, PlatformStats{Table: p.Table.Stats(), Objects: p.Objects.Calls()})
}

func (p *Platform) tableLog(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, p.Table.Log())
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var h platform.Host
	if decode(w, r, &h) {
		p.Hosts.Put(h)
		httpjson.WriteJSON(w, h)
	}
}

func (p *Platform) removeHost(w http.ResponseWriter, r *http.Request) {
	p.Hosts.Remove(r.URL.Query().Get(httpplatform.ParamKey))
	httpjson.WriteJSON(w, struct{}{})
}

// putFaults sets the faults that a control request carries.
func putFaults(w http.ResponseWriter, r *http.Request, f *Faults) {
	var set FaultSet
	if decode(w, r, &set) {
		f.Set(set)
		httpjson.WriteJSON(w, set)
	}
}

// decode reads a JSON body, or answers with an error and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeBadRequest, "", err.Error()))
		return false
	}
	return true
}

// reply answers with v or err.
func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		platformError(w, err)
		return
	}
	httpjson.WriteJSON(w, v)
}

// platformError answers with err. An ambiguous one breaks the connection, as a
// lost answer does.
func platformError(w http.ResponseWriter, err error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeConflict, conflict.Key, err.Error()))
	case errors.Is(err, platform.ErrNotFound):
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeNotFound, "", err.Error()))
	case errors.Is(err, platform.ErrUnavailable):
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeUnavailable, "", err.Error()))
	default:
		panic(http.ErrAbortHandler)
	}
}
