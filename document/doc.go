// Package document decodes JSON documents written by operators and reports all
// faults of a document at once, each with its line and the path of its field.
package document
