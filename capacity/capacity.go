package capacity

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/gonum/stat"
)

// minSizes is the minimum number of sizes for a regression.
const minSizes = 3

// ErrTooFewSizes is returned for a measure with fewer than three sizes.
var ErrTooFewSizes = merry.Sentinel("capacity: a slope needs at least three sizes")

// Measure is a cost of a role as a function of a size.
type Measure struct {
	Role      string
	Cost      string
	Unit      string
	Mechanism string
	// Variable names the size, and Sizes are the measured sizes.
	Variable string
	Sizes    []float64
	// Target is the size for which the cost is extrapolated.
	Target float64
	// Limit is the maximum cost at the target size, in Unit; zero means no limit.
	Limit float64
	// Run measures the cost at a size, in Unit.
	Run func(ctx context.Context, size float64) (float64, error)
}

// Result is a measure with the measured costs and their linear regression.
type Result struct {
	Measure
	Costs []float64
	// Slope is the cost per unit of the size, Base the cost at size zero.
	Slope, Base float64
	// Fit is the coefficient of determination (R²).
	Fit float64
}

// AtTarget returns the cost at the target size: the measured one if the target was measured, otherwise the extrapolated one.
func (r Result) AtTarget() float64 {
	for i, s := range r.Sizes {
		if s == r.Target {
			return r.Costs[i]
		}
	}

	return r.Base + r.Slope*r.Target
}

// Kept reports whether the cost at the target size is within the limit; it is true if there is no limit.
func (r Result) Kept() bool {
	return r.Limit == 0 || r.AtTarget() <= r.Limit
}

// Run measures the cost at each size and computes the regression.
func Run(ctx context.Context, m Measure) (Result, error) {
	if len(m.Sizes) < minSizes {
		return Result{}, merry.Prependf(ErrTooFewSizes, "%s: %s", m.Role, m.Cost)
	}

	r := Result{Measure: m}
	for _, size := range m.Sizes {
		cost, err := m.Run(ctx, size)
		if err != nil {
			return r, merry.Prependf(err, "%s: %s at %g %s", m.Role, m.Cost, size, m.Variable)
		}
		r.Costs = append(r.Costs, cost)
	}
	r.Base, r.Slope = stat.LinearRegression(m.Sizes, r.Costs, nil, false)
	r.Fit = stat.RSquared(m.Sizes, r.Costs, nil, r.Base, r.Slope)

	return r, nil
}

// WriteMarkdown writes a table with a row for each result.
func WriteMarkdown(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(tw, "| Role\t| Cost\t| Measured\t| Slope\t| Fit\t| At target\t| Limit\t| Carried by\t|")
	_, _ = fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---:\t| ---:\t| ---:\t| ---\t|")
	for _, r := range results {
		_, _ = fmt.Fprintf(tw, "| %s\t| %s\t| %s\t| %.3g %s per %s\t| %.2f\t| %.3g %s at %g\t| %s\t| %s\t|\n",
			r.Role, r.Cost, formatCosts(r), r.Slope, r.Unit, r.Variable, r.Fit, r.AtTarget(), r.Unit, r.Target, formatLimit(r), r.Mechanism)
	}

	return tw.Flush()
}

func formatCosts(r Result) string {
	text := ""
	for i, s := range r.Sizes {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%g: %.3g", s, r.Costs[i])
	}

	return text
}

func formatLimit(r Result) string {
	switch {
	case r.Limit == 0:
		return "none stated"
	case r.Kept():
		return fmt.Sprintf("%g, kept", r.Limit)
	default:
		return fmt.Sprintf("%g, EXCEEDED", r.Limit)
	}
}
