// Package document decodes the JSON documents that operators write and reports
// every fault of a document at once, each with its line and the path of its field.
package document
