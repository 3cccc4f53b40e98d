package fairshare

import "lycheehook.example/lycheehook/fleet"

// Clone returns a deep copy, so that an order can be tried without a change of the table.
func (t *Table) Clone() *Table {
	c := &Table{pools: make(map[fleet.PoolName]*usage, len(t.pools))}
	for name, u := range t.pools {
		n := *u
		n.accounts = make(map[fleet.WorkspaceName]*account, len(u.accounts))
		for ws, a := range u.accounts {
			held := *a
			n.accounts[ws] = &held
		}
		c.pools[name] = &n
	}

	return c
}
