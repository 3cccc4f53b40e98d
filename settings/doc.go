// Package settings reads and checks the settings of an entry host.
package settings
