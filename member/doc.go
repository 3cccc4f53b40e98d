// Package member implements the membership of entry hosts. Each process has a
// record in the store that is bound to its lease, and control work is partitioned
// among live members. Standing decides whether the configuration that a process
// holds is known to be current.
package member
