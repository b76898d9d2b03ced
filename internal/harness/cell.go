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
	OperatorKey          = "operator-secret"
	slotsPerWorker       = 8
	workersPerRack       = 8
	connectionsPerWorker = 64
)

// AZs are the availability zones of the harness's cell.
var AZs = []string{"presshaus", "keller", "lager"}

// hostAZs are the AZs of the eight entry hosts, as indexes of AZs.
var hostAZs = []int{0, 0, 0, 1, 1, 1, 2, 2}

// Teams of the harness's cell.
const (
	TeamProofs = "proofs" // idempotent direct requests
	TeamSlips  = "slips"  // direct requests that are not idempotent
	TeamSeason = "season" // jobs
)

// teamSlotLimits are the teams' upper limits in slots.
var teamSlotLimits = map[string]int64{TeamProofs: 40, TeamSlips: 20, TeamSeason: 30}

// keysPerTeam is the number of keys of each team. The first is never withdrawn.
const keysPerTeam = 2

// Secret returns the secret of a team's key.
func Secret(keyID string) string { return "secret of " + keyID }

// KeyID returns the id of a team's n-th key.
func KeyID(team string, n int) string { return fmt.Sprintf("%s-%d", team, n) }

// secretHash returns the hash of a secret, as the configuration holds it.
func secretHash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// NewConfig returns the cell's configuration with perAZ workers in each AZ, all AZs in
// service and all keys granted. The caller fills in the addresses.
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
				Connections: connectionsPerWorker,
			})
		}
	}
	for _, team := range []string{TeamProofs, TeamSlips, TeamSeason} {
		c.Organisations = append(c.Organisations, organisation(team))
	}
	return c
}

func organisation(team string) config.Organisation {
	t := config.Team{Name: team, Share: 1, Limit: model.Resources{Slots: teamSlotLimits[team]}}
	for n := range keysPerTeam {
		id := KeyID(team, n)
		t.Keys = append(t.Keys, config.Key{ID: id, SHA256: secretHash(Secret(id))})
	}
	return config.Organisation{Name: team + "-org", Share: 1, Teams: []config.Team{t}}
}
