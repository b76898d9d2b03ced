package configsync

import (
	"context"

	"cuminloft/internal/member"
	"cuminloft/internal/rpc"
)

// Stager receives versions that are pushed to it; rpc.Peer implements it.
type Stager interface {
	Stage(ctx context.Context, r *rpc.StageRequest) (*rpc.StageReply, error)
}

// Peer is another live entry host.
type Peer struct {
	Host string
	RPC  Stager
}

// Peers provides the other live entry hosts and the confirmations of the shards.
type Peers interface {
	// Peers returns the live entry hosts except this one.
	Peers() []Peer
	// Confirmations returns the newest digest of each shard.
	Confirmations() []*rpc.ShardDigest
}

// directoryPeers implements Peers with the directory of members.
type directoryPeers struct {
	directory member.Directory
	self      string
}

// NewDirectoryPeers returns the Peers of the host self.
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
