// Package member tracks the live entry hosts and the owner of each shard.
package member

import (
	"cuminloft/internal/rpc"
)

// ShardRef is this process's view of one shard.
type ShardRef struct {
	Name string
	AZ   string
	// Digest is the newest load digest; nil if none is known.
	Digest *rpc.ShardDigest
	// Owner is the interface to the shard's owner: the local owner or a client of the
	// remote one. It is nil while no owner is known.
	Owner rpc.Shard
	// Local is true if this process owns the shard.
	Local bool
}

// Directory provides the shards, their owners and the live entry hosts.
type Directory interface {
	// Shards returns all shards of the configuration in force, in name order.
	Shards() []ShardRef
	// Shard returns one shard by name.
	Shard(name string) (ShardRef, bool)
	// Members returns the live entry hosts, including this one.
	Members() []*rpc.Member
	// Peer returns a client of a live member's Peer service.
	Peer(host string) (rpc.Peer, bool)
}
