// Package manager implements the process that manages jobs and workers on the
// users' platform. It runs on every entry host, and the process on any of them
// may become the owner of the workers.
package manager
