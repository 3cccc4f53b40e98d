package budget_test

import (
	"errors"
	"fmt"
	"time"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
)

func ExampleRecord_WithPlanned() {
	r, _ := budget.Record{}.WithLimit(fleet.Budget{Name: "ledger-a", MaxUnavailable: 1}, 1)
	r, _ = r.WithPlanned("worker-1", "worker-1-7", time.Now())
	_, err := r.WithPlanned("worker-2", "worker-2-9", time.Now())
	fmt.Println(r.Held(), errors.Is(err, budget.ErrExhausted))
	// Output: 1 true
}
