package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
)

// Names and sizes of the harness's cell.
const (
	OperatorKey    = "operator-secret"
	slotsPerWorker = 8
	workersPerRack = 8
	workerConns    = 64
)

// AZs are the zones of the harness's cell.
var AZs = []string{"presshaus", "keller", "lager"}

// hostAZs are the zones of the eight entry hosts.
var hostAZs = []int{0, 0, 0, 1, 1, 1, 2, 2}

// Teams of the harness's cell.
const (
	TeamProofs = "proofs" // direct requests
	TeamSlips  = "slips"  // direct requests that are not idempotent
	TeamSeason = "season" // jobs
)

// limits are the teams' upper limits in slots.
var limits = map[string]int64{TeamProofs: 40, TeamSlips: 20, TeamSeason: 30}

// keysPerTeam is how many keys each team holds; the first is never withdrawn.
const keysPerTeam = 2

// Secret returns the secret of a team's key.
func Secret(keyID string) string { return "secret of " + keyID }

// KeyID names a team's key.
func KeyID(team string, n int) string { return fmt.Sprintf("%s-%d", team, n) }

// hashOf returns the hash under which a secret is granted.
func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// NewConfig returns the cell's configuration with perAZ workers in each AZ, all
// zones in service and all keys granted. Addresses are filled in by the caller.
func NewConfig(perAZ int) *config.Config {
	c := &config.Config{
		Cell: "harness",
		Queues: []config.Queue{
			{Name: "proofs", Policy: model.PolicyDirect, Urgent: true},
			{Name: "season", Policy: model.PolicyBatch},
			{Name: "press", Policy: model.PolicyGang},
		},
		Policy: config.Knobs{
			LeaseSeconds:          6,
			StartWindowMillis:     1000,
			SoloWindowSeconds:     8,
			GangTimeoutSeconds:    10,
			RestartBackoffSeconds: 1,
		},
	}
	for i, az := range AZs {
		c.AZs = append(c.AZs, config.AZ{Name: az, InService: true})
		for j := range perAZ {
			c.Workers = append(c.Workers, model.WorkerSpec{
				ID:          fmt.Sprintf("w-%d-%03d", i, j),
				AZ:          az,
				Rack:        fmt.Sprintf("r-%d-%d", i, j/workersPerRack),
				Capacity:    model.Resources{MilliCores: 32_000, MemoryMB: 128 << 10, Slots: slotsPerWorker},
				Connections: workerConns,
			})
		}
	}
	for _, team := range []string{TeamProofs, TeamSlips, TeamSeason} {
		c.Organisations = append(c.Organisations, organisation(team))
	}
	return c
}

func organisation(team string) config.Organisation {
	t := config.Team{Name: team, Share: 1, Limit: model.Resources{Slots: limits[team]}}
	for n := range keysPerTeam {
		id := KeyID(team, n)
		t.Keys = append(t.Keys, config.Key{ID: id, SHA256: hashOf(Secret(id))})
	}
	return config.Organisation{Name: team + "-org", Share: 1, Teams: []config.Team{t}}
}
