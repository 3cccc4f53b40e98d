// Package estate runs a complete sample installation on loopback: fakes of the
// platform and of endpoints, and entry hosts with sample lists.
package estate
