// Package wave reboots every host for maintenance once per period, one availability zone after the other and rack by
// rack, within the availability budgets.
package wave
