package load

// due divides an amount among demands by weighted max-min fairness: nobody gets more than it asked for, and what some leave is divided among the others by weight.
func due(amount float64, demand, weight []float64) []float64 {
	got := make([]float64, len(demand))
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
			return got
		}

		level, settled := amount/total, false
		for i := range open {
			if open[i] && demand[i] <= level*weight[i] {
				got[i], open[i], settled = demand[i], false, true
				amount -= demand[i]
			}
		}
		if settled {
			continue
		}
		for i := range open {
			if open[i] {
				got[i] = level * weight[i]
			}
		}

		return got
	}
}
