package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash/maphash"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cuminloft/internal/model"
)

// Shard is a subset of an AZ's workers that is scheduled by one owner.
type Shard struct {
	Name string // "<az>-<number>", numbered from 0
	AZ   string
}

// Index holds the lookup tables of one configuration. It is immutable.
type Index struct {
	config  *Config
	teams   map[string]*Team
	orgs    map[string]*Organisation // by team
	queues  map[string]*Queue
	azs     map[string]*AZ
	workers map[string]*model.WorkerSpec
	shards  []Shard
	keys    keyIndex
}

// Index returns the lookup tables of c. Configurations that this package returns have a
// cached index; for others, each call builds one. A configuration must not be changed
// after the first lookup; change a Clone instead.
func (c *Config) Index() *Index {
	if c.index != nil && c.index.config == c {
		return c.index
	}
	return newIndex(c)
}

// withIndex builds c's index and returns c.
func (c *Config) withIndex() *Config {
	c.index = newIndex(c)
	return c
}

func newIndex(c *Config) *Index {
	x := &Index{
		config:  c,
		teams:   map[string]*Team{},
		orgs:    map[string]*Organisation{},
		queues:  map[string]*Queue{},
		azs:     map[string]*AZ{},
		workers: map[string]*model.WorkerSpec{},
	}
	for i := range c.Organisations {
		org := &c.Organisations[i]
		for j := range org.Teams {
			x.teams[org.Teams[j].Name] = &org.Teams[j]
			x.orgs[org.Teams[j].Name] = org
		}
	}
	for i := range c.Queues {
		x.queues[c.Queues[i].Name] = &c.Queues[i]
	}
	for i := range c.AZs {
		x.azs[c.AZs[i].Name] = &c.AZs[i]
		x.shards = append(x.shards, c.AZs[i].shards()...)
	}
	slices.SortFunc(x.shards, func(a, b Shard) int { return compareNames(a.Name, b.Name) })
	for i := range c.Workers {
		x.workers[c.Workers[i].ID] = &c.Workers[i]
	}
	x.keys = newKeyIndex(c)
	return x
}

// shards returns the AZ's shards in number order.
func (az *AZ) shards() []Shard {
	n := orDefault(az.Shards, DefaultShards)
	shards := make([]Shard, 0, n)
	for i := range n {
		shards = append(shards, Shard{Name: shardName(az.Name, i), AZ: az.Name})
	}
	return shards
}

func shardName(az string, number int) string { return az + "-" + strconv.Itoa(number) }

// Team returns the team with the name, and false if there is none.
func (c *Config) Team(name string) (*Team, bool) {
	t, ok := c.Index().teams[name]
	return t, ok
}

// OrganisationOf returns the organisation of the team.
func (c *Config) OrganisationOf(team string) (*Organisation, bool) {
	o, ok := c.Index().orgs[team]
	return o, ok
}

// Queue returns the queue with the name, and false if there is none.
func (c *Config) Queue(name string) (*Queue, bool) {
	q, ok := c.Index().queues[name]
	return q, ok
}

// AZ returns the AZ with the name, and false if there is none.
func (c *Config) AZ(name string) (*AZ, bool) {
	az, ok := c.Index().azs[name]
	return az, ok
}

// Worker returns the worker with the ID, and false if there is none.
func (c *Config) Worker(id string) (*model.WorkerSpec, bool) {
	w, ok := c.Index().workers[id]
	return w, ok
}

// Shards returns all shards in name order.
func (c *Config) Shards() []Shard { return c.Index().shards }

// ShardOfWorker returns the shard of the worker with the ID.
func (c *Config) ShardOfWorker(id string) (Shard, bool) {
	w, ok := c.Worker(id)
	if !ok {
		return Shard{}, false
	}
	return c.shardOf(w)
}

// ShardWorkers returns the workers of the shard in the order of the configuration.
func (c *Config) ShardWorkers(name string) []model.WorkerSpec {
	var workers []model.WorkerSpec
	for i := range c.Workers {
		if s, ok := c.shardOf(&c.Workers[i]); ok && s.Name == name {
			workers = append(workers, c.Workers[i])
		}
	}
	return workers
}

// shardOf assigns whole racks to the shards of their AZ by rendezvous hashing, so that
// adding or removing a rack moves no worker of another rack.
func (c *Config) shardOf(w *model.WorkerSpec) (Shard, bool) {
	az, ok := c.AZ(w.AZ)
	if !ok {
		return Shard{}, false
	}
	best := 0
	var bestWeight uint64
	for i := range orDefault(az.Shards, DefaultShards) {
		weight := xxhash.Sum64String(w.Rack + "\x00" + shardName(az.Name, i))
		if weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return Shard{Name: shardName(az.Name, best), AZ: az.Name}, true
}

// Allows reports whether the queue accepts work of the team.
func (q *Queue) Allows(team string) bool {
	if q.Open && team == q.OpenTeam {
		return true
	}
	return len(q.Teams) == 0 || slices.Contains(q.Teams, team)
}

// KeyTeam returns the team of the key with the hexadecimal SHA-256, and false if no team
// has it. The running time does not depend on whether the key exists, and the hashes are
// compared in constant time.
func (c *Config) KeyTeam(sha256Hex string) (*Team, bool) {
	return c.Index().keys.team(sha256Hex)
}

// HashKey returns the hexadecimal SHA-256 of a key's secret.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

type keyHash [sha256.Size]byte

type keyEntry struct {
	hash keyHash
	team *Team
}

// keyIndex finds a key by a randomly seeded hash of its SHA-256. At most one candidate is
// compared for each lookup.
type keyIndex struct {
	seed    maphash.Seed
	entries map[uint64]keyEntry
}

func newKeyIndex(c *Config) keyIndex {
	for {
		if k, ok := seededKeyIndex(c, maphash.MakeSeed()); ok {
			return k
		}
	}
}

// seededKeyIndex returns false if two different keys collide under the seed.
func seededKeyIndex(c *Config, seed maphash.Seed) (keyIndex, bool) {
	k := keyIndex{seed: seed, entries: map[uint64]keyEntry{}}
	for i := range c.Organisations {
		teams := c.Organisations[i].Teams
		for j := range teams {
			for _, key := range teams[j].Keys {
				hash, ok := parseKeyHash(key.SHA256)
				if !ok {
					continue
				}
				at := k.bucket(hash)
				if old, taken := k.entries[at]; taken && old.hash != hash {
					return keyIndex{}, false
				}
				k.entries[at] = keyEntry{hash: hash, team: &teams[j]}
			}
		}
	}
	return k, true
}

func (k keyIndex) bucket(hash keyHash) uint64 { return maphash.Bytes(k.seed, hash[:]) }

func (k keyIndex) team(sha256Hex string) (*Team, bool) {
	hash, valid := parseKeyHash(sha256Hex)
	entry := k.entries[k.bucket(hash)]
	equal := subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1
	if !equal || !valid || entry.team == nil {
		return nil, false
	}
	return entry.team, true
}

func parseKeyHash(sha256Hex string) (keyHash, bool) {
	var hash keyHash
	if len(sha256Hex) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(sha256Hex))
	return hash, err == nil
}
