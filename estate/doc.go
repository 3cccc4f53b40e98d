// Package estate runs a whole sample estate on loopback: the stand-ins of the
// platform, endpoints, and entry hosts with sample lists.
package estate
