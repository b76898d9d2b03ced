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

// Control paths for tests and checkers. No real platform or worker has them.
const (
	PathFaults  = "/control/faults" // GET, PUT FaultSet; a platform's requests add ?of=table|objects|hosts
	PathStats   = "/control/stats"  // GET PlatformStats
	PathLog     = "/control/log"    // GET []TableLogEntry
	PathHost    = "/control/host"   // PUT platform.Host, DELETE ?key=
	PathRecord  = "/control/record" // GET []AttemptRecord of a worker
	PathRestart = "/control/restart"
	PathLeaving = "/control/leaving" // PUT true or false
)

// shutdownTimeout is how long a server waits for open requests at shutdown, and for a
// request's header.
const shutdownTimeout = 2 * time.Second

// Platform is the stand-in of the whole platform: table, object store and host list.
type Platform struct {
	Table   *Table
	Objects *Objects
	Hosts   *HostList
}

// PlatformStats is the reply of PathStats.
type PlatformStats struct {
	Table   TableStats `json:"table"`
	Objects int64      `json:"objects"` // operations that reached the object store
}

// NewPlatform returns an empty platform whose table logs writes to keys with one of the
// watched prefixes.
func NewPlatform(watched ...string) *Platform {
	return &Platform{Table: NewTable(watched...), Objects: NewObjects(), Hosts: NewHostList()}
}

// PlatformHandler returns the HTTP handler of p: the platform protocol and the control
// paths.
func PlatformHandler(p *Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpplatform.PathApply, p.handleApply)
	mux.HandleFunc("GET "+httpplatform.PathRow, p.handleGetRow)
	mux.HandleFunc("GET "+httpplatform.PathRange, p.handleRange)
	mux.HandleFunc("GET "+httpplatform.PathObjects, p.handleGetObject)
	mux.HandleFunc("PUT "+httpplatform.PathObjects, p.handlePutObject)
	mux.HandleFunc("DELETE "+httpplatform.PathObjects, p.handleDeleteObject)
	mux.HandleFunc("GET "+httpplatform.PathHosts, p.handleHosts)
	mux.HandleFunc("GET "+PathFaults, p.handleGetFaults)
	mux.HandleFunc("PUT "+PathFaults, p.handleSetFaults)
	mux.HandleFunc("GET "+PathStats, p.handleStats)
	mux.HandleFunc("GET "+PathLog, p.handleTableLog)
	mux.HandleFunc("PUT "+PathHost, p.handlePutHost)
	mux.HandleFunc("DELETE "+PathHost, p.handleRemoveHost)
	return mux
}

// ServePlatform serves p at addr until ctx ends. It calls ready, if not nil, with the
// listener's address.
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
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
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

func (p *Platform) handleApply(w http.ResponseWriter, r *http.Request) {
	var req httpplatform.ApplyRequest
	if !decodeBody(w, r, &req) {
		return
	}
	versions, err := p.Table.Apply(r.Context(), req.Writes)
	writePlatformReply(w, httpplatform.ApplyReply{Versions: versions}, err)
}

func (p *Platform) handleGetRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get(httpplatform.ParamKey))
	writePlatformReply(w, row, err)
}

func (p *Platform) handleRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get(httpplatform.ParamLimit))
	if err != nil {
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeBadRequest, "", "limit is not a number"))
		return
	}
	rows, err := p.Table.Range(r.Context(), q.Get(httpplatform.ParamPrefix), q.Get(httpplatform.ParamAfter), limit)
	writePlatformReply(w, httpplatform.RangeReply{Rows: rows}, err)
}

func (p *Platform) handleGetObject(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !q.Has(httpplatform.ParamName) {
		names, err := p.Objects.List(r.Context(), q.Get(httpplatform.ParamPrefix))
		writePlatformReply(w, httpplatform.ListReply{Names: names}, err)
		return
	}
	data, err := p.Objects.Get(r.Context(), q.Get(httpplatform.ParamName))
	if err != nil {
		writePlatformError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (p *Platform) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeBadRequest, "", err.Error()))
		return
	}
	writePlatformReply(w, struct{}{}, p.Objects.Put(r.Context(), r.URL.Query().Get(httpplatform.ParamName), data))
}

func (p *Platform) handleDeleteObject(w http.ResponseWriter, r *http.Request) {
	writePlatformReply(w, struct{}{}, p.Objects.Delete(r.Context(), r.URL.Query().Get(httpplatform.ParamName)))
}

func (p *Platform) handleHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Hosts.Hosts(r.Context())
	writePlatformReply(w, httpplatform.HostsReply{Hosts: hosts}, err)
}

// faultsOf returns the faults of the service that the "of" parameter names: objects,
// hosts, or else the table.
func (p *Platform) faultsOf(r *http.Request) *Faults {
	switch r.URL.Query().Get("of") {
	case "objects":
		return &p.Objects.Faults
	case "hosts":
		return &p.Hosts.Faults
	}
	return &p.Table.Faults
}

func (p *Platform) handleGetFaults(w http.ResponseWriter, r *http.Request) {
	httpjson.WriteJSON(w, p.faultsOf(r).Get())
}

func (p *Platform) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	replaceFaults(w, r, p.faultsOf(r))
}

func (p *Platform) handleStats(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, PlatformStats{Table: p.Table.Stats(), Objects: p.Objects.Calls()})
}

func (p *Platform) handleTableLog(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, p.Table.Log())
}

func (p *Platform) handlePutHost(w http.ResponseWriter, r *http.Request) {
	var h platform.Host
	if decodeBody(w, r, &h) {
		p.Hosts.Put(h)
		httpjson.WriteJSON(w, h)
	}
}

func (p *Platform) handleRemoveHost(w http.ResponseWriter, r *http.Request) {
	p.Hosts.Remove(r.URL.Query().Get(httpplatform.ParamKey))
	httpjson.WriteJSON(w, struct{}{})
}

// replaceFaults replaces the faults by those in the request body.
func replaceFaults(w http.ResponseWriter, r *http.Request, f *Faults) {
	var set FaultSet
	if decodeBody(w, r, &set) {
		f.Set(set)
		httpjson.WriteJSON(w, set)
	}
}

// decodeBody decodes a JSON body into v. On failure it writes an error and returns
// false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		httpjson.WriteError(w, httpplatform.NewError(httpplatform.CodeBadRequest, "", err.Error()))
		return false
	}
	return true
}

// writePlatformReply writes v or err.
func writePlatformReply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writePlatformError(w, err)
		return
	}
	httpjson.WriteJSON(w, v)
}

// writePlatformError writes err. For an ambiguous error it aborts the connection, so
// that the client gets no reply.
func writePlatformError(w http.ResponseWriter, err error) {
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
