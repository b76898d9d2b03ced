package config

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/strictjson"
)

// Codes of the problems that Check and ParseSet report in addition to those of strictjson.
const (
	CodeMissing          strictjson.Code = "missing"
	CodeInvalidName      strictjson.Code = "invalid_name"
	CodeInvalidAddress   strictjson.Code = "invalid_address"
	CodeInvalidHash      strictjson.Code = "invalid_hash"
	CodeInvalidPolicy    strictjson.Code = "invalid_policy"
	CodeOutOfRange       strictjson.Code = "out_of_range"
	CodeTooMany          strictjson.Code = "too_many"
	CodeTooLarge         strictjson.Code = "too_large"
	CodeDuplicateName    strictjson.Code = "duplicate_name"
	CodeDuplicateSection strictjson.Code = "duplicate_section"
	CodeUnknownReference strictjson.Code = "unknown_reference"
	CodeContradiction    strictjson.Code = "contradiction"
)

// Bounds of a configuration.
const (
	MaxFileBytes     = 16 << 20
	MaxNameBytes     = 63
	MaxAZs           = 64
	MaxShardsPerAZ   = 64
	MaxWorkers       = 50_000
	MaxOrganisations = 1_000
	MaxTeams         = 10_000
	MaxKeysPerTeam   = 64
	MaxQueues        = 1_000
	MaxShare         = 1_000_000
	MaxPendingBound  = 10_000_000
	// MaxQuantity bounds each component of model.Resources, so that sums cannot overflow.
	MaxQuantity = 1 << 40
)

// Bounds of the policy parameters. Zero always takes the default.
const (
	MinLease          = 5 * time.Second
	MaxLease          = time.Hour
	MinStartWindow    = 200 * time.Millisecond
	MaxStartWindow    = 30 * time.Second
	MinSoloWindow     = 5 * time.Second
	MaxSoloWindow     = time.Hour
	MaxGangTimeout    = 24 * time.Hour
	MaxPreemptions    = 100_000 // per minute and shard
	MaxRestartsBound  = 1_000
	MaxRestartBackoff = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Check reports every problem of a configuration that was not read from a file, such as
// one received over the network. The error is a *strictjson.Error.
func Check(c *Config) error {
	ch := &checker{locate: func(path string) (*strictjson.Document, string) { return nil, path }}
	ch.checkConfig(c)
	if len(ch.problems) > 0 {
		return &strictjson.Error{Problems: ch.problems}
	}
	return nil
}

// checker collects the problems of a configuration.
type checker struct {
	locate   func(path string) (*strictjson.Document, string)
	problems []strictjson.Problem
	teams    map[string]bool
	azs      map[string]bool
}

func (c *checker) add(path string, code strictjson.Code, remedy, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	document, at := c.locate(path)
	p := strictjson.Problem{Path: at, Code: code, Message: message, Remedy: remedy}
	if document != nil {
		p = document.Problem(at, code, message, remedy)
	}
	c.problems = append(c.problems, p)
}

func (c *checker) checkConfig(cfg *Config) {
	c.checkName("cell", cfg.Cell)
	c.checkAZs(cfg.AZs)
	c.checkOrganisations(cfg.Organisations)
	c.checkWorkers(cfg.Workers)
	c.checkQueues(cfg.Queues)
	c.checkPolicy(cfg.Policy)
}

func (c *checker) checkAZs(azs []AZ) {
	if len(azs) == 0 {
		c.add("azs", CodeMissing, "list at least one AZ", "no AZ")
	}
	c.checkCount("azs", len(azs), MaxAZs)
	names := uniqueNames{checker: c, kind: "AZ"}
	for i, az := range azs {
		at := elementPath("azs", i)
		names.add(at+".name", az.Name)
		c.checkRange(at+".shards", int64(az.Shards), 0, MaxShardsPerAZ)
	}
	c.azs = names.set()
}

func (c *checker) checkOrganisations(orgs []Organisation) {
	c.checkCount("organisations", len(orgs), MaxOrganisations)
	orgNames := uniqueNames{checker: c, kind: "organisation"}
	teamNames := uniqueNames{checker: c, kind: "team"}
	keyIDs := uniqueNames{checker: c, kind: "key"}
	hashes := uniqueNames{checker: c, kind: "key hash"}
	for i, org := range orgs {
		at := elementPath("organisations", i)
		orgNames.add(at+".name", org.Name)
		c.checkRange(at+".share", int64(org.Share), 1, MaxShare)
		for j, team := range org.Teams {
			teamAt := elementPath(at+".teams", j)
			teamNames.add(teamAt+".name", team.Name)
			c.checkRange(teamAt+".share", int64(team.Share), 1, MaxShare)
			c.checkQuantities(teamAt+".limit", team.Limit)
			c.checkKeys(teamAt+".keys", team.Keys, &keyIDs, &hashes)
		}
	}
	c.teams = teamNames.set()
	c.checkCount("organisations", len(c.teams), MaxTeams)
}

func (c *checker) checkKeys(path string, keys []Key, ids, hashes *uniqueNames) {
	c.checkCount(path, len(keys), MaxKeysPerTeam)
	for i, key := range keys {
		at := elementPath(path, i)
		ids.add(at+".id", key.ID)
		if _, ok := parseKeyHash(key.SHA256); !ok {
			c.add(at+".sha256", CodeInvalidHash, "give the SHA-256 of the secret as 64 hexadecimal digits", "not a SHA-256")
			continue
		}
		hashes.addUnique(at+".sha256", strings.ToLower(key.SHA256))
	}
}

func (c *checker) checkWorkers(workers []model.WorkerSpec) {
	c.checkCount("workers", len(workers), MaxWorkers)
	ids := uniqueNames{checker: c, kind: "worker"}
	addrs := uniqueNames{checker: c, kind: "worker address"}
	for i, w := range workers {
		at := elementPath("workers", i)
		ids.add(at+".id", w.ID)
		c.checkName(at+".rack", w.Rack)
		c.checkReference(at+".az", "AZ", w.AZ, c.azs)
		c.checkAddress(at+".addr", w.Addr, &addrs)
		c.checkCapacity(at+".capacity", w.Capacity)
		c.checkRange(at+".connections", int64(w.Connections), 0, MaxQuantity)
	}
}

func (c *checker) checkAddress(path, addr string, seen *uniqueNames) {
	if addr == "" {
		c.add(path, CodeMissing, "give host:port of the worker's HTTP interface", "no address")
		return
	}
	host, port, err := net.SplitHostPort(addr)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || host == "" || n == 0 {
		c.add(path, CodeInvalidAddress, "give host:port", "%q is no address", addr)
		return
	}
	seen.addUnique(path, addr)
}

// checkCapacity requires cores, memory and slots to be positive; accelerators are optional.
func (c *checker) checkCapacity(path string, r model.Resources) {
	c.checkQuantities(path, r)
	for _, q := range []quantity{
		{"milli_cores", r.MilliCores},
		{"memory_mb", r.MemoryMB},
		{"slots", r.Slots},
	} {
		if q.value == 0 {
			c.add(path+"."+q.name, CodeOutOfRange, "give what the worker has", "must be at least 1")
		}
	}
}

func (c *checker) checkQueues(queues []Queue) {
	c.checkCount("queues", len(queues), MaxQueues)
	names := uniqueNames{checker: c, kind: "queue"}
	for i, q := range queues {
		at := elementPath("queues", i)
		names.add(at+".name", q.Name)
		if !q.Policy.Valid() {
			c.add(at+".policy", CodeInvalidPolicy, "direct, service, batch or gang", "unknown policy %q", q.Policy)
		}
		c.checkOpenQueue(at, q)
		for j, team := range q.Teams {
			c.checkReference(elementPath(at+".teams", j), "team", team, c.teams)
		}
		c.checkRange(at+".max_pending", int64(q.MaxPending), 0, MaxPendingBound)
		c.checkQuantities(at+".max_task", q.MaxTask)
	}
}

func (c *checker) checkOpenQueue(at string, q Queue) {
	switch {
	case q.Open && q.OpenTeam == "":
		c.add(at+".open_team", CodeMissing, "name the team that work without a key runs for", "an open queue has no team")
	case q.Open:
		c.checkReference(at+".open_team", "team", q.OpenTeam, c.teams)
	case q.OpenTeam != "":
		c.add(at+".open_team", CodeContradiction, "set open to true or leave open_team out", "the queue is not open")
	}
}

func (c *checker) checkPolicy(k Knobs) {
	c.checkDuration("policy.lease_seconds", k.LeaseSeconds, time.Second, MinLease, MaxLease)
	c.checkDuration("policy.start_window_millis", k.StartWindowMillis, time.Millisecond, MinStartWindow, MaxStartWindow)
	c.checkDuration("policy.solo_window_seconds", k.SoloWindowSeconds, time.Second, MinSoloWindow, MaxSoloWindow)
	c.checkDuration("policy.gang_timeout_seconds", k.GangTimeoutSeconds, time.Second, time.Second, MaxGangTimeout)
	c.checkDuration("policy.restart_backoff_seconds", k.RestartBackoffSeconds, time.Second, time.Second, MaxRestartBackoff)
	c.checkRange("policy.preemptions_per_minute", int64(k.PreemptionsPerMinute), 0, MaxPreemptions)
	c.checkRange("policy.max_restarts", int64(k.MaxRestarts), 0, MaxRestartsBound)
	if k.Lease() <= k.StartWindow() {
		c.add("policy.lease_seconds", CodeContradiction, "raise the lease or lower the start window",
			"the lease of %v is not longer than the start window of %v", k.Lease(), k.StartWindow())
	}
}

func (c *checker) checkDuration(path string, n int, unit, lowest, highest time.Duration) {
	if n != 0 {
		c.checkRange(path, int64(n), int64(lowest/unit), int64(highest/unit))
	}
}

type quantity struct {
	name  string
	value int64
}

func quantitiesOf(r model.Resources) [4]quantity {
	return [4]quantity{
		{"milli_cores", r.MilliCores},
		{"memory_mb", r.MemoryMB},
		{"accelerators", r.Accelerators},
		{"slots", r.Slots},
	}
}

func (c *checker) checkQuantities(path string, r model.Resources) {
	for _, q := range quantitiesOf(r) {
		c.checkRange(path+"."+q.name, q.value, 0, MaxQuantity)
	}
}

func (c *checker) checkRange(path string, n, lowest, highest int64) {
	if n < lowest || n > highest {
		c.add(path, CodeOutOfRange, fmt.Sprintf("give %d to %d", lowest, highest), "%d is out of range", n)
	}
}

func (c *checker) checkCount(path string, n, limit int) {
	if n > limit {
		c.add(path, CodeTooMany, fmt.Sprintf("at most %d", limit), "%d entries", n)
	}
}

func (c *checker) checkName(path, name string) bool {
	switch {
	case name == "":
		c.add(path, CodeMissing, "give a name", "no name")
	case len(name) > MaxNameBytes || !namePattern.MatchString(name):
		c.add(path, CodeInvalidName, fmt.Sprintf("use at most %d of a-z, 0-9, '.', '_' and '-'", MaxNameBytes), "%q is no name", name)
	default:
		return true
	}
	return false
}

func (c *checker) checkReference(path, kind, name string, known map[string]bool) {
	if !known[name] {
		c.add(path, CodeUnknownReference, "name one that the configuration lists", "no %s %q", kind, name)
	}
}

// uniqueNames checks that the names of one kind are valid and unique.
type uniqueNames struct {
	checker  *checker
	kind     string
	firstUse map[string]string // name -> path of its first definition
}

func (n *uniqueNames) add(path, name string) {
	if n.checker.checkName(path, name) {
		n.addUnique(path, name)
	}
}

func (n *uniqueNames) addUnique(path, name string) {
	if n.firstUse == nil {
		n.firstUse = map[string]string{}
	}
	if earlier, taken := n.firstUse[name]; taken {
		document, at := n.checker.locate(earlier)
		if document != nil {
			at = document.Position(at).String()
		}
		n.checker.add(path, CodeDuplicateName, "rename or remove one", "%s %q stands at %s already", n.kind, name, at)
		return
	}
	n.firstUse[name] = path
}

func (n *uniqueNames) set() map[string]bool {
	seen := map[string]bool{}
	for name := range n.firstUse {
		seen[name] = true
	}
	return seen
}

func fileTooLarge(f File) strictjson.Problem {
	return strictjson.Problem{
		Position: strictjson.Position{File: f.Name, Line: 1, Column: 1},
		Code:     CodeTooLarge,
		Message:  fmt.Sprintf("%d bytes", len(f.Data)),
		Remedy:   fmt.Sprintf("at most %d bytes; split the file", MaxFileBytes),
	}
}

func elementPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

func parseIndex(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return n
}

func compareNames(a, b string) int { return strings.Compare(a, b) }
