// Package ingress protects a process from clients that it does not control. It
// limits connections, the size of headers, the rate of bodies, and the memory of
// all requests that are being received or served.
package ingress
