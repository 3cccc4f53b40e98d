package fairshare

import (
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Weight returns a workspace's weight; without one of its own it gets the mean of the others.
func Weight(workspaces map[fleet.WorkspaceName]work.Workspace, ws fleet.WorkspaceName) float64 {
	if w := workspaces[ws].Weight; w > 0 {
		return w
	}
	sum, n := 0.0, 0
	for _, w := range workspaces {
		if w.Weight > 0 {
			sum += w.Weight
			n++
		}
	}
	if n == 0 {
		return 1
	}

	return sum / float64(n)
}
