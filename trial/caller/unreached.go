package caller

import (
	"net"

	"github.com/pkg/errors"
)

// unreached reports whether a call failed before its instance was reached.
func unreached(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
