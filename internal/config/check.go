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

// The kinds of problems that the check finds beside those of strictjson.
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
	// MaxQuantity bounds each component of a size, so that sums cannot overflow.
	MaxQuantity = 1 << 40
)

// Bounds of the knobs. Zero always takes the default.
const (
	MinLease          = 5 * time.Second
	MaxLease          = time.Hour
	MinStartWindow    = 200 * time.Millisecond
	MaxStartWindow    = 30 * time.Second
	MinSoloWindow     = 5 * time.Second
	MaxSoloWindow     = time.Hour
	MaxGangTimeout    = 24 * time.Hour
	MaxPreemptions    = 100_000 // a minute and shard
	MaxRestartsBound  = 1_000
	MaxRestartBackoff = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Check returns every problem of a configuration that has no file, for example
// one that arrived over the network. The error is a *strictjson.Error.
func Check(c *Config) error {
	ch := &checker{locate: func(path string) (*strictjson.Document, string) { return nil, path }}
	ch.config(c)
	if len(ch.problems) > 0 {
		return &strictjson.Error{Problems: ch.problems}
	}
	return nil
}

// checker collects the problems of a whole configuration.
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

func (c *checker) config(cfg *Config) {
	c.name("cell", cfg.Cell)
	c.zones(cfg.AZs)
	c.organisations(cfg.Organisations)
	c.workers(cfg.Workers)
	c.queues(cfg.Queues)
	c.knobs(cfg.Policy)
}

func (c *checker) zones(azs []AZ) {
	if len(azs) == 0 {
		c.add("azs", CodeMissing, "list at least one AZ", "no AZ")
	}
	c.count("azs", len(azs), MaxAZs)
	names := names{checker: c, what: "AZ"}
	for i, az := range azs {
		at := elementPath("azs", i)
		names.add(at+".name", az.Name)
		c.between(at+".shards", int64(az.Shards), 0, MaxShardsPerAZ)
	}
	c.azs = names.seenNames()
}

func (c *checker) organisations(orgs []Organisation) {
	c.count("organisations", len(orgs), MaxOrganisations)
	orgNames := names{checker: c, what: "organisation"}
	teamNames := names{checker: c, what: "team"}
	keyIDs := names{checker: c, what: "key"}
	hashes := names{checker: c, what: "key hash"}
	for i, org := range orgs {
		at := elementPath("organisations", i)
		orgNames.add(at+".name", org.Name)
		c.between(at+".share", int64(org.Share), 1, MaxShare)
		for j, team := range org.Teams {
			teamAt := elementPath(at+".teams", j)
			teamNames.add(teamAt+".name", team.Name)
			c.between(teamAt+".share", int64(team.Share), 1, MaxShare)
			c.quantities(teamAt+".limit", team.Limit)
			c.keys(teamAt+".keys", team.Keys, &keyIDs, &hashes)
		}
	}
	c.teams = teamNames.seenNames()
	c.count("organisations", len(c.teams), MaxTeams)
}

func (c *checker) keys(path string, keys []Key, ids, hashes *names) {
	c.count(path, len(keys), MaxKeysPerTeam)
	for i, key := range keys {
		at := elementPath(path, i)
		ids.add(at+".id", key.ID)
		if _, ok := parseKeyHash(key.SHA256); !ok {
			c.add(at+".sha256", CodeInvalidHash, "give the SHA-256 of the secret as 64 hexadecimal digits", "not a SHA-256")
			continue
		}
		hashes.once(at+".sha256", strings.ToLower(key.SHA256))
	}
}

func (c *checker) workers(workers []model.WorkerSpec) {
	c.count("workers", len(workers), MaxWorkers)
	ids := names{checker: c, what: "worker"}
	addrs := names{checker: c, what: "worker address"}
	for i, w := range workers {
		at := elementPath("workers", i)
		ids.add(at+".id", w.ID)
		c.name(at+".rack", w.Rack)
		c.reference(at+".az", "AZ", w.AZ, c.azs)
		c.address(at+".addr", w.Addr, &addrs)
		c.capacity(at+".capacity", w.Capacity)
		c.between(at+".connections", int64(w.Connections), 0, MaxQuantity)
	}
}

func (c *checker) address(path, addr string, seen *names) {
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
	seen.once(path, addr)
}

// capacity demands what every worker has; accelerators are optional.
func (c *checker) capacity(path string, r model.Resources) {
	c.quantities(path, r)
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

func (c *checker) queues(queues []Queue) {
	c.count("queues", len(queues), MaxQueues)
	names := names{checker: c, what: "queue"}
	for i, q := range queues {
		at := elementPath("queues", i)
		names.add(at+".name", q.Name)
		if !q.Policy.Valid() {
			c.add(at+".policy", CodeInvalidPolicy, "direct, service, batch or gang", "unknown policy %q", q.Policy)
		}
		c.openQueue(at, q)
		for j, team := range q.Teams {
			c.reference(elementPath(at+".teams", j), "team", team, c.teams)
		}
		c.between(at+".max_pending", int64(q.MaxPending), 0, MaxPendingBound)
		c.quantities(at+".max_task", q.MaxTask)
	}
}

func (c *checker) openQueue(at string, q Queue) {
	switch {
	case q.Open && q.OpenTeam == "":
		c.add(at+".open_team", CodeMissing, "name the team that work without a key runs for", "an open queue has no team")
	case q.Open:
		c.reference(at+".open_team", "team", q.OpenTeam, c.teams)
	case q.OpenTeam != "":
		c.add(at+".open_team", CodeContradiction, "set open to true or leave open_team out", "the queue is not open")
	}
}

func (c *checker) knobs(k Knobs) {
	c.duration("policy.lease_seconds", k.LeaseSeconds, time.Second, MinLease, MaxLease)
	c.duration("policy.start_window_millis", k.StartWindowMillis, time.Millisecond, MinStartWindow, MaxStartWindow)
	c.duration("policy.solo_window_seconds", k.SoloWindowSeconds, time.Second, MinSoloWindow, MaxSoloWindow)
	c.duration("policy.gang_timeout_seconds", k.GangTimeoutSeconds, time.Second, time.Second, MaxGangTimeout)
	c.duration("policy.restart_backoff_seconds", k.RestartBackoffSeconds, time.Second, time.Second, MaxRestartBackoff)
	c.between("policy.preemptions_per_minute", int64(k.PreemptionsPerMinute), 0, MaxPreemptions)
	c.between("policy.max_restarts", int64(k.MaxRestarts), 0, MaxRestartsBound)
	if k.Lease() <= k.StartWindow() {
		c.add("policy.lease_seconds", CodeContradiction, "raise the lease or lower the start window",
			"the lease of %v is not longer than the start window of %v", k.Lease(), k.StartWindow())
	}
}

func (c *checker) duration(path string, n int, unit, least, most time.Duration) {
	if n != 0 {
		c.between(path, int64(n), int64(least/unit), int64(most/unit))
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

func (c *checker) quantities(path string, r model.Resources) {
	for _, q := range quantitiesOf(r) {
		c.between(path+"."+q.name, q.value, 0, MaxQuantity)
	}
}

func (c *checker) between(path string, n, least, most int64) {
	if n < least || n > most {
		c.add(path, CodeOutOfRange, fmt.Sprintf("give %d to %d", least, most), "%d is out of range", n)
	}
}

func (c *checker) count(path string, n, most int) {
	if n > most {
		c.add(path, CodeTooMany, fmt.Sprintf("at most %d", most), "%d entries", n)
	}
}

func (c *checker) name(path, name string) bool {
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

func (c *checker) reference(path, what, name string, known map[string]bool) {
	if !known[name] {
		c.add(path, CodeUnknownReference, "name one that the configuration lists", "no %s %q", what, name)
	}
}

// names checks that the names of one kind are valid and unique.
type names struct {
	checker *checker
	what    string
	first   map[string]string // name -> path of its first use
}

func (n *names) add(path, name string) {
	if n.checker.name(path, name) {
		n.once(path, name)
	}
}

func (n *names) once(path, name string) {
	if n.first == nil {
		n.first = map[string]string{}
	}
	if earlier, taken := n.first[name]; taken {
		document, at := n.checker.locate(earlier)
		if document != nil {
			at = document.Position(at).String()
		}
		n.checker.add(path, CodeDuplicateName, "rename or remove one", "%s %q stands at %s already", n.what, name, at)
		return
	}
	n.first[name] = path
}

func (n *names) seenNames() map[string]bool {
	seen := map[string]bool{}
	for name := range n.first {
		seen[name] = true
	}
	return seen
}

func tooLargeFile(f File) strictjson.Problem {
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
