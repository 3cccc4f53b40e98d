package allotment_test

import (
	"context"
	"fmt"
	"time"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
)

func ExampleLimit_WithAcquired() {
	l := allotment.Limit{Upper: fleet.Resources{Slots: 10}}
	l = l.WithAcquired("a#1", fleet.Resources{Slots: 7}).WithAcquired("b#1", fleet.Resources{Slots: 7})
	fmt.Println(l.Allocation("a#1").Slots, l.Allocation("b#1").Slots, l.Free().Slots)
	// Output: 7 3 0
}

func ExampleHolder() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	h := allotment.New(standin.NewStore().Client(), fleet.NewIncarnation("entry-1"))
	h.LeaseValid = func(time.Time) bool { return true }
	grown := make(chan allotment.Key, 1)
	h.OnGrown = func(k allotment.Key) {
		select {
		case grown <- k:
		default:
		}
	}
	h.SetLimits(allotment.Limits, 1, map[string]fleet.Resources{"posting": {Slots: 10}})
	go h.Run(ctx)

	k := <-grown
	hold, err := h.Acquire(k, fleet.Resources{Slots: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer hold.Release()
	fmt.Println("one slot of", k.Name)
	// Output: one slot of posting
}
