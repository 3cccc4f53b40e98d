package fairshare

import (
	"math"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// HalfLife is the time in which the memory of a workspace's use loses half of its effect. It covers a few steps of one to two
// seconds, so that a workspace that took the room which others left free goes last until they have had theirs.
const HalfLife = 4 * time.Second

// Table has the use of pools by workspaces. It is not safe for concurrent use.
type Table struct {
	pools map[fleet.PoolName]*usage
}

// usage is the use of one pool.
type usage struct {
	accounts map[fleet.WorkspaceName]*account
	// chargedAt is when the accounts were last charged; zero means never.
	chargedAt time.Time
	// shortage is that of the last order, and reportedAt when one was last reported.
	shortage   Shortage
	reportedAt time.Time
}

// Shortage counts the steps that waited in a pool that was short of room, and those of them that can be on time together.
type Shortage struct{ Waiting, OnTime int }

// reportInterval is the least time between two reports on a pool.
const reportInterval = time.Second

// account is the use of a pool by one workspace.
type account struct {
	held fleet.Resources
	// mean is the decaying mean of the dominant share that the workspace held.
	mean float64
}

// forgotten is the mean share below which an account that holds nothing is removed.
const forgotten = 1e-4

// New returns a table without any use.
func New() *Table {
	return &Table{pools: map[fleet.PoolName]*usage{}}
}

// Add adds to what a workspace holds in a pool; the amount may be negative.
func (t *Table) Add(p fleet.PoolName, ws fleet.WorkspaceName, amount fleet.Resources) {
	a := t.usage(p).account(ws)
	a.held = a.held.Plus(amount)
}

// Shares returns the dominant shares of a pool that workspaces hold.
func (t *Table) Shares(p fleet.PoolName, capacity fleet.Resources) map[fleet.WorkspaceName]float64 {
	shares := map[fleet.WorkspaceName]float64{}
	for ws, a := range t.usage(p).accounts {
		if !a.held.IsZero() {
			shares[ws] = a.held.DominantShare(capacity)
		}
	}

	return shares
}

// Charge charges the workspaces of a pool for what they have held since the last call. The first call of a term takes what is held
// for the mean.
func (t *Table) Charge(p fleet.PoolName, capacity fleet.Resources, now time.Time) {
	u := t.usage(p)
	part := 1.0
	if !u.chargedAt.IsZero() {
		part = 1 - math.Exp2(-max(0, now.Sub(u.chargedAt).Seconds())/HalfLife.Seconds())
	}
	u.chargedAt = now
	for ws, a := range u.accounts {
		a.mean += part * (a.held.DominantShare(capacity) - a.mean)
		if a.held.IsZero() && a.mean < forgotten {
			delete(u.accounts, ws)
		}
	}
}

// Report returns the shortage of the last order of a pool, unless there was none or one was reported within the last second.
func (t *Table) Report(p fleet.PoolName, now time.Time) (Shortage, bool) {
	u := t.usage(p)
	if u.shortage.Waiting == 0 || now.Sub(u.reportedAt) < reportInterval {
		return Shortage{}, false
	}
	r := u.shortage
	u.reportedAt, u.shortage = now, Shortage{}

	return r, true
}

// usage returns the use of a pool.
func (t *Table) usage(p fleet.PoolName) *usage {
	u, ok := t.pools[p]
	if !ok {
		u = &usage{accounts: map[fleet.WorkspaceName]*account{}}
		t.pools[p] = u
	}

	return u
}

// account returns the account of a workspace.
func (u *usage) account(ws fleet.WorkspaceName) *account {
	a, ok := u.accounts[ws]
	if !ok {
		a = &account{}
		u.accounts[ws] = a
	}

	return a
}
