// Package progress bounds calls by the time without progress rather than by their whole time, so that the bound of a call does not
// depend on the size of its response and on the bandwidth of the link.
package progress
