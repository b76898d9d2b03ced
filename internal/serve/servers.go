package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"cuminloft/internal/door"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/rpc"
	"cuminloft/internal/settings"
)

// Limits of connections between entry hosts.
const (
	rpcIdleTimeout       = 90 * time.Second
	rpcReadHeaderTimeout = 5 * time.Second
	rpcMaxBodyBytes      = 16 << 20
)

// rpcClients makes twirp clients that share one pool of connections.
type rpcClients struct {
	http *http.Client
}

// newRPCClients returns clients whose connections use the local IP address ip; with an
// empty ip the system chooses it.
func newRPCClients(ip string) *rpcClients {
	return &rpcClients{http: httpjson.NewClientWithLocalIP(ip)}
}

func (c *rpcClients) peer(addr string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+addr, c.http)
}

func (c *rpcClients) shard(addr string) rpc.Shard {
	return rpc.NewShardProtobufClient("http://"+addr, c.http)
}

// frontendLimits converts the settings to the limits of package door, which replaces zero
// values by its defaults.
func frontendLimits(l settings.Limits) door.Limits {
	return door.Limits{
		MaxHeaderBytes:     l.MaxHeaderBytes,
		MaxBody:            l.MaxBodyBytes,
		MaxSubmission:      l.MaxJobBytes,
		MaxConnections:     l.MaxConnections,
		MaxInFlightPerTeam: l.MaxInFlightPerTeam,
		HeaderTimeout:      time.Duration(l.HeaderTimeoutMS) * time.Millisecond,
		IdleTimeout:        time.Duration(l.IdleTimeoutMS) * time.Millisecond,
	}
}

// callerServer returns the HTTP server for callers and operators.
func (p *Process) callerServer() *http.Server {
	return door.NewServer(p.frontend.Handler(), frontendLimits(p.settings.Limits))
}

func (p *Process) callerListener() net.Listener {
	return door.LimitListener(p.callers, frontendLimits(p.settings.Limits))
}

// peerServer returns the HTTP server for the other entry hosts.
func (p *Process) peerServer() *http.Server {
	peer := rpc.NewPeerServer(&peerService{
		pinger:  p.tracker,
		stager:  p.sync,
		process: p,
	})
	shard := rpc.NewShardServer(&shardService{owners: func() map[string]rpc.Shard {
		_, owners := p.shardManager.localShards()
		return owners
	}})
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix(), peer)
	mux.Handle(shard.PathPrefix(), shard)
	return &http.Server{
		Handler:           http.MaxBytesHandler(mux, rpcMaxBodyBytes),
		ReadHeaderTimeout: rpcReadHeaderTimeout,
		IdleTimeout:       rpcIdleTimeout,
	}
}

// serveHTTP serves connections of l until the server is shut down.
func serveHTTP(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// shutdown stops a server whose requests have finished.
func shutdown(s *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return nil
}

// seedOf derives the seed of a scheduling core from the process's incarnation.
func seedOf(incarnation string) uint64 {
	return xxhash.Sum64String(incarnation)
}
