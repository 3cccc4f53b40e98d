// Package manager is the process that manages jobs and workers on the users'
// platform; it runs on every entry host, and any of them may own the workers.
package manager
