package connection

import (
	"errors"
	"net"
)

// DialFailed reports whether err is that of a failed dial, after which the server can't have received anything of the request.
func DialFailed(err error) bool {
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial"
}
