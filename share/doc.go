// Package share decides which team is scheduled next when demand exceeds capacity.
// It implements weighted dominant resource fairness (DRF) with exponentially
// decayed usage, counting what runs on this entry host and on its peers.
package share
