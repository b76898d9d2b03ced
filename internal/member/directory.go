// Package member keeps track of the live entry hosts and of which of them owns
// each shard.
package member

import (
	"cuminloft/internal/rpc"
)

// ShardRef is one shard as this process knows it.
type ShardRef struct {
	Name string
	AZ   string
	// Digest is the newest load digest; nil if none is known.
	Digest *rpc.ShardDigest
	// Owner commands the shard: the local owner or a client of the remote one.
	// Nil while no owner is known.
	Owner rpc.Shard
	// Local is true if this process owns the shard.
	Local bool
}

// Directory names the shards and their owners.
type Directory interface {
	// Shards returns all shards of the configuration in force, in name order.
	Shards() []ShardRef
	// Shard returns one shard by name.
	Shard(name string) (ShardRef, bool)
	// Members returns the live entry hosts, this one included.
	Members() []*rpc.Member
	// Peer returns a client of a live member's Peer service.
	Peer(host string) (rpc.Peer, bool)
}
