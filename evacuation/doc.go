// Package evacuation keeps what the owner knows of the availability zones that operators have evacuated, and decides whether
// that knowledge is recent enough for tasks to be placed.
package evacuation
