// Package entry implements the entry host process: the caller API, which
// forwards requests to endpoints, and the operator API, which changes the
// configuration and reports on it.
package entry
