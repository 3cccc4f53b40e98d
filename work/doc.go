// Package work has the types of jobs and of the workers that run them: what
// callers submit, what is recorded about it, and what workers report.
package work
