package config

import (
	"cuminloft/internal/strictjson"
)

// Codes of the problems that CheckTransition reports.
const (
	CodeCellChanged   strictjson.Code = "cell_changed"
	CodeAZInService   strictjson.Code = "az_in_service"
	CodeWorkerMoved   strictjson.Code = "worker_moved"
	CodeAddressReused strictjson.Code = "address_reused"
)

// CheckTransition reports why the configuration next, although valid by itself, must not
// replace the accepted configuration from. With a nil from, every next is allowed. The
// error is a *strictjson.Error.
//
// Each shard has its own owner and fence, so no worker may move from one shard to another
// while its AZ is in service.
func CheckTransition(from, next *Config) error {
	if from == nil {
		return nil
	}
	ch := &checker{locate: func(path string) (*strictjson.Document, string) { return nil, path }}
	if from.Cell != next.Cell {
		ch.add("cell", CodeCellChanged, "apply to the right cell", "the cell is %q, the file is for %q", from.Cell, next.Cell)
	}
	ch.checkAZTransitions(from, next)
	ch.checkWorkerTransitions(from, next)
	if len(ch.problems) > 0 {
		return &strictjson.Error{Problems: ch.problems}
	}
	return nil
}

func (c *checker) checkAZTransitions(from, next *Config) {
	const remedy = "take the AZ out of service first"
	for _, az := range from.AZs {
		other, stays := next.AZ(az.Name)
		switch {
		case !az.InService:
		case !stays:
			c.add("azs", CodeAZInService, remedy, "AZ %q is in service and cannot be removed", az.Name)
		case orDefault(az.Shards, DefaultShards) != orDefault(other.Shards, DefaultShards):
			c.add("azs", CodeAZInService, remedy, "AZ %q is in service and its shards cannot change", az.Name)
		}
	}
}

func (c *checker) checkWorkerTransitions(from, next *Config) {
	byAddr := map[string]string{}
	for _, w := range from.Workers {
		byAddr[w.Addr] = w.ID
	}
	for i, w := range next.Workers {
		at := elementPath("workers", i)
		old, known := from.Worker(w.ID)
		if known && movedShard(from, next, w.ID) && from.inService(old.AZ) {
			c.add(at, CodeWorkerMoved, "take the AZ out of service first, or remove the worker and add it in a later version",
				"worker %q would pass to another shard", w.ID)
		}
		if before, used := byAddr[w.Addr]; used && before != w.ID {
			c.add(at+".addr", CodeAddressReused, "remove the worker in one version and add the new one in a later version",
				"the address belongs to worker %q", before)
		}
	}
}

func (c *Config) inService(az string) bool {
	defined, ok := c.AZ(az)
	return ok && defined.InService
}
