// Package wave takes every host through maintenance once per period, one
// availability zone after the other and rack by rack, under the budgets.
package wave
