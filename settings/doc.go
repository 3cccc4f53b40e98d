// Package settings reads and validates the settings of an entry host and of a job manager.
package settings
