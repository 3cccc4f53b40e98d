// Package pause waits without outliving the context of its caller.
package pause
