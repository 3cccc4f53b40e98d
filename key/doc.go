// Package key makes, checks and withdraws the keys that teams present.
//
// A secret is shown once, when its key is given; what is kept is a salted hash.
package key
