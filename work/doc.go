// Package work defines the types of jobs and of the workers and hosts that run
// them: what callers submit, what is stored about a job, the configuration of
// queues and pools, and the calls to workers and to the cloud.
package work
