// Package connection keeps the HTTP connections to one address and replaces those
// that may have gone silent.
package connection
