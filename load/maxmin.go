package load

// maxMinFair divides an amount among demands by weighted max-min fairness: no allocation exceeds its demand, and what some
// don't need is divided among the others by weight.
func maxMinFair(amount float64, demand, weight []float64) []float64 {
	allocated := make([]float64, len(demand))
	open := make([]bool, len(demand))
	for i := range demand {
		open[i] = demand[i] > 0 && weight[i] > 0
	}

	for {
		total := 0.0
		for i := range open {
			if open[i] {
				total += weight[i]
			}
		}
		if total == 0 || amount <= 0 {
			return allocated
		}

		level, satisfied := amount/total, false
		for i := range open {
			if open[i] && demand[i] <= level*weight[i] {
				allocated[i], open[i], satisfied = demand[i], false, true
				amount -= demand[i]
			}
		}
		if satisfied {
			continue
		}
		for i := range open {
			if open[i] {
				allocated[i] = level * weight[i]
			}
		}

		return allocated
	}
}
