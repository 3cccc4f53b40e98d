// Package key issues, verifies and revokes the API keys of teams.
//
// A secret is shown once, when its key is issued; only a salted hash is stored.
package key
