// Package cert keeps the certificates of listeners and peers, reads their files
// again when they change, and makes authorities and certificates for tests.
package cert
