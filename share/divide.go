package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Divide returns how many of the slots each entry host should hold, in the order of the reports. Each team's fair
// share goes to the entry hosts in proportion to the team's demand there; unclaimed slots are spread evenly.
//
// The result is a target. The caller that transfers slots has to preserve their total.
func Divide(slots int64, weights map[fleet.TeamName]int64, halfLife time.Duration, reports []Report) []int64 {
	teams, demands := totals(weights, halfLife, reports)
	fair := Allocate(fleet.Resources{Slots: slots}, demands)

	targets := make([]float64, len(reports))
	left := float64(slots)
	for i, r := range reports {
		for _, s := range r.Teams {
			k, ok := teams[s.Team]
			if !ok || demands[k].Wanted.Slots == 0 {
				continue
			}
			slotsOfTeam := fair[k] * float64(slots) * float64(s.Demand.Slots) / float64(demands[k].Wanted.Slots)
			targets[i] += slotsOfTeam
			left -= slotsOfTeam
		}
	}
	for i := range targets {
		targets[i] += max(left, 0) / float64(len(targets))
	}

	return roundToSum(targets, slots)
}

func totals(weights map[fleet.TeamName]int64, halfLife time.Duration, reports []Report) (map[fleet.TeamName]int, []Demand) {
	index := map[fleet.TeamName]int{}
	var demands []Demand
	for _, r := range reports {
		for _, s := range r.Teams {
			k, ok := index[s.Team]
			if !ok {
				k = len(demands)
				index[s.Team] = k
				demands = append(demands, Demand{Weight: max(weights[s.Team], 1)})
			}
			demands[k].Wanted.Slots += s.Demand.Slots
			demands[k].Used += s.Usage * math.Ln2 / halfLife.Seconds()
		}
	}

	return index, demands
}

// roundToSum rounds by the largest-remainder method, so that the result adds up to sum.
func roundToSum(targets []float64, sum int64) []int64 {
	out := make([]int64, len(targets))
	order := make([]int, len(targets))
	left := sum
	for i, w := range targets {
		out[i] = int64(w)
		left -= out[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(targets[b]-float64(out[b]), targets[a]-float64(out[a]))
	})
	for n := 0; left > 0 && len(order) > 0; n++ {
		out[order[n%len(order)]]++
		left--
	}

	return out
}
