// Package move moves hosts between pools and through drains and reboots. Each host has one record in the store, from
// which any entry host can finish or undo every step.
package move
