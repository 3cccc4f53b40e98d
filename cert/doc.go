// Package cert provides TLS configurations for listeners and peers, reloads their
// certificate files when they change, and issues certificates for tests.
package cert
