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

// Settings of connections between entry hosts.
const (
	rpcIdleTimeout  = 90 * time.Second
	rpcReadHeader   = 5 * time.Second
	rpcMaxBodyBytes = 16 << 20
)

// rpcClients makes twirp clients that share one pool of connections.
type rpcClients struct {
	http *http.Client
}

// newRPCClients returns clients whose connections leave from the local IP
// address ip; an empty ip leaves the choice to the system.
func newRPCClients(ip string) *rpcClients {
	return &rpcClients{http: httpjson.NewClientWithLocalIP(ip)}
}

func (c *rpcClients) peer(addr string) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+addr, c.http)
}

func (c *rpcClients) shard(addr string) rpc.Shard {
	return rpc.NewShardProtobufClient("http://"+addr, c.http)
}

// doorLimits turns the settings into the door's limits; zero values take the
// door's defaults.
func doorLimits(l settings.Limits) door.Limits {
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

// callerServer serves callers and operators.
func (p *Process) callerServer() *http.Server {
	return door.NewServer(p.door.Handler(), doorLimits(p.settings.Limits))
}

func (p *Process) limitedListener() net.Listener {
	return door.LimitListener(p.callers, doorLimits(p.settings.Limits))
}

// peerServer serves the other entry hosts.
func (p *Process) peerServer() *http.Server {
	peer := rpc.NewPeerServer(&peerService{
		pinger:  p.tracker,
		stager:  p.sync,
		process: p,
	})
	shard := rpc.NewShardServer(&shardService{owners: func() map[string]rpc.Shard {
		_, owners := p.keeper.local()
		return owners
	}})
	mux := http.NewServeMux()
	mux.Handle(peer.PathPrefix(), peer)
	mux.Handle(shard.PathPrefix(), shard)
	return &http.Server{
		Handler:           http.MaxBytesHandler(mux, rpcMaxBodyBytes),
		ReadHeaderTimeout: rpcReadHeader,
		IdleTimeout:       rpcIdleTimeout,
	}
}

// serveHTTP serves until the server is shut down.
func serveHTTP(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// shutdown ends a server whose requests are done.
func shutdown(s *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return nil
}

// seedOf derives a decision core's seed from the incarnation.
func seedOf(incarnation string) uint64 {
	return xxhash.Sum64String(incarnation)
}
