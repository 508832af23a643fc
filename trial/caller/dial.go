package caller

import (
	"net"

	"github.com/pkg/errors"
)

// dialFailed reports whether a call failed before it reached the instance.
func dialFailed(err error) bool {
	var dialError *net.OpError
	return errors.As(err, &dialError) && dialError.Op == "dial"
}
