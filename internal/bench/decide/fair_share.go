package decide

import (
	"cmp"
	"slices"

	"cuminloft/internal/config"
)

// demand is what one organisation or team wants, and its weight.
type demand struct {
	want, weight float64
}

// maxMinShares returns the weighted max-min share of total for each demand: no share
// exceeds its demand, and what one leaves is divided among the others.
func maxMinShares(demands []demand, total float64) []float64 {
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += d.weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].want/demands[a].weight, demands[b].want/demands[b].weight)
	})
	shares := make([]float64, len(demands))
	for _, i := range order {
		share := total * demands[i].weight / weights
		shares[i] = min(demands[i].want, share)
		total -= shares[i]
		weights -= demands[i].weight
	}
	return shares
}

// idealShares divides the capacity in use among the organisations, and each
// organisation's share among its teams.
func idealShares(cfg *config.Config, shares []teamShare) map[string]float64 {
	want, total := map[string]float64{}, 0.0
	for _, s := range shares {
		want[s.team] = s.want
		total += s.used
	}
	orgs := make([]demand, len(cfg.Organisations))
	for i, o := range cfg.Organisations {
		orgs[i].weight = float64(o.Share)
		for _, t := range o.Teams {
			orgs[i].want += want[t.Name]
		}
	}
	ideal := map[string]float64{}
	for i, orgShare := range maxMinShares(orgs, total) {
		teams := cfg.Organisations[i].Teams
		demands := make([]demand, len(teams))
		for k, t := range teams {
			demands[k] = demand{want[t.Name], float64(t.Share)}
		}
		for k, share := range maxMinShares(demands, orgShare) {
			ideal[teams[k].Name] = share
		}
	}
	return ideal
}
