// Package member is the membership of entry hosts: a record in the store bound
// to one lease per process, the division of control work among live members,
// and the rules by which a process knows that what it holds is still in force.
package member
