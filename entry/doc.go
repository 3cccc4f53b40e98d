// Package entry is the process of an entry host: the callers' and operators'
// interfaces over the configuration in force and the endpoints.
package entry
