// Package revision stores the configuration, the operators' lists and the teams'
// keys, as a sequence of numbered revisions in the platform's store, and keeps each
// entry host up to date with the newest one.
package revision
