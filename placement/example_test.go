package placement_test

import (
	"fmt"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/placement"
)

func ExamplePlace() {
	host := fleet.Host{Name: "worker-1", Pool: "press", Capacity: fleet.Resources{Cores: 64_000, Memory: 128 << 10}}
	small := placement.Job{Job: fleet.Job{ID: "proof"}, Pool: "press", Need: fleet.Resources{Cores: 8_000}}
	huge := placement.Job{Job: fleet.Job{ID: "plate"}, Pool: "press", Need: fleet.Resources{Cores: 96_000}}
	placed, left := placement.Place([]placement.Job{small, huge}, []fleet.Host{host}, []placement.Worker{{Host: host}}, placement.DefaultPolicy())
	fmt.Println(placed[0].Job, placed[0].Host)
	fmt.Println(left[0].Job, left[0].Reason)
	// Output:
	// proof worker-1
	// plate NeverFits
}
