package decide

import (
	"cmp"
	"slices"

	"cuminloft/internal/config"
)

// claim is what one party wants of something that is divided, and its weight.
type claim struct {
	want, weight float64
}

// divide gives each claim its weighted max-min part of total: no claim gets
// more than it wants, and what one leaves the others divide.
func divide(claims []claim, total float64) []float64 {
	order := make([]int, len(claims))
	weights := 0.0
	for i, c := range claims {
		order[i] = i
		weights += c.weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].want/claims[a].weight, claims[b].want/claims[b].weight)
	})
	parts := make([]float64, len(claims))
	for _, i := range order {
		part := total * claims[i].weight / weights
		parts[i] = min(claims[i].want, part)
		total -= parts[i]
		weights -= claims[i].weight
	}
	return parts
}

// idealShares divides what is used now among organisations first and the teams
// of each second.
func idealShares(cfg *config.Config, shares []teamShare) map[string]float64 {
	want, total := map[string]float64{}, 0.0
	for _, s := range shares {
		want[s.team] = s.want
		total += s.used
	}
	orgs := make([]claim, len(cfg.Organisations))
	for i, o := range cfg.Organisations {
		orgs[i].weight = float64(o.Share)
		for _, t := range o.Teams {
			orgs[i].want += want[t.Name]
		}
	}
	ideal := map[string]float64{}
	for i, part := range divide(orgs, total) {
		teams := cfg.Organisations[i].Teams
		claims := make([]claim, len(teams))
		for k, t := range teams {
			claims[k] = claim{want[t.Name], float64(t.Share)}
		}
		for k, p := range divide(claims, part) {
			ideal[teams[k].Name] = p
		}
	}
	return ideal
}
