package door

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

const (
	sweepInterval = 10 * time.Minute // mean interval between sweeps by one entry host
	sweepPageRows = 200              // rows in one read
)

// Run deletes the expired rows of idempotency keys until ctx ends. Every entry host does so
// at random intervals; concurrent sweeps are harmless.
func (f *Frontend) Run(ctx context.Context) error {
	if f.opts.Table == nil {
		<-ctx.Done()
		return nil
	}
	for wait.For(ctx, sweepInterval/2+rand.N(sweepInterval)) == nil {
		if err := f.sweep(ctx); err != nil {
			countSweepErr.Add(1) // the table is unavailable; the next sweep finds the same rows
		}
	}
	return nil
}

// sweep deletes the expired rows of all teams.
func (f *Frontend) sweep(ctx context.Context) error {
	c, _ := f.opts.View.Effective()
	if c == nil {
		return nil
	}
	for i := range c.Organisations {
		for j := range c.Organisations[i].Teams {
			if err := f.sweepTeam(ctx, c.Organisations[i].Teams[j].Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Frontend) sweepTeam(ctx context.Context, team string) error {
	after := ""
	for {
		rows, err := f.opts.Table.Range(ctx, idemPrefix(team), after, sweepPageRows)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, row := range rows {
			if err := f.removeExpired(ctx, row); err != nil {
				return err
			}
		}
		if len(rows) < sweepPageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// removeExpired deletes a row whose lifetime is over, unless the row has changed since it
// was read.
func (f *Frontend) removeExpired(ctx context.Context, row platform.Row) error {
	var rec idemRecord
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return trace.Wrap(err, "row %s", row.Key)
	}
	if time.Since(time.Unix(0, rec.OpenUntil)) < f.limits.KeyLifetime {
		return nil
	}
	_, err := f.opts.Table.Apply(ctx, []platform.Write{{Key: row.Key, IfVersion: row.Version, Delete: true}})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return trace.Wrap(err)
	}
	return nil
}
