package configsync

import (
	"context"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

// Stager takes pushes; rpc.Peer is one.
type Stager interface {
	Stage(ctx context.Context, r *rpc.StageRequest) (*rpc.StageReply, error)
}

// Peer is another live entry host.
type Peer struct {
	Host string
	RPC  Stager
}

// Peers names the other entry hosts and what they have confirmed.
type Peers interface {
	// Peers returns the live entry hosts, this one excluded.
	Peers() []Peer
	// Confirmations returns the newest digest of each shard.
	Confirmations() []*rpc.ShardDigest
}

// directoryPeers adapts the membership to Peers.
type directoryPeers struct {
	directory member.Directory
	self      string
}

// NewDirectoryPeers returns the peers of the host self.
func NewDirectoryPeers(d member.Directory, self string) Peers {
	return directoryPeers{directory: d, self: self}
}

// Peers implements Peers.
func (p directoryPeers) Peers() []Peer {
	var peers []Peer
	for _, m := range p.directory.Members() {
		client, ok := p.directory.Peer(m.GetHost())
		if ok && m.GetHost() != p.self {
			peers = append(peers, Peer{Host: m.GetHost(), RPC: client})
		}
	}
	return peers
}

// Confirmations implements Peers.
func (p directoryPeers) Confirmations() []*rpc.ShardDigest {
	var digests []*rpc.ShardDigest
	for _, ref := range p.directory.Shards() {
		if ref.Digest != nil {
			digests = append(digests, ref.Digest)
		}
	}
	return digests
}
