package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Divide returns how many of slots each entry host should hold, in the order of the reports: each team's
// due part goes to the entry hosts in proportion to the team's demand there, and what is left is spread evenly.
//
// It advises only; whoever moves the slots keeps their sum.
func Divide(slots int64, weights map[fleet.TeamName]int64, halfLife time.Duration, reports []Report) []int64 {
	teams, demands := totals(weights, halfLife, reports)
	due := Allocate(fleet.Resources{Slots: slots}, demands)

	want := make([]float64, len(reports))
	left := float64(slots)
	for i, r := range reports {
		for _, s := range r.Teams {
			k, ok := teams[s.Team]
			if !ok || demands[k].Wanted.Slots == 0 {
				continue
			}
			part := due[k] * float64(slots) * float64(s.Demand.Slots) / float64(demands[k].Wanted.Slots)
			want[i] += part
			left -= part
		}
	}
	for i := range want {
		want[i] += max(left, 0) / float64(len(want))
	}

	return roundToSum(want, slots)
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

// roundToSum rounds by largest remainder so that the result sums to sum.
func roundToSum(want []float64, sum int64) []int64 {
	out := make([]int64, len(want))
	order := make([]int, len(want))
	left := sum
	for i, w := range want {
		out[i] = int64(w)
		left -= out[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(want[b]-float64(out[b]), want[a]-float64(out[a]))
	})
	for n := 0; left > 0 && len(order) > 0; n++ {
		out[order[n%len(order)]]++
		left--
	}

	return out
}
