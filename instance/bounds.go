package instance

import (
	"lovagestand.example/lovagestand/ingress"
	"lovagestand.example/lovagestand/settings"
)

const (
	// connectionSocketShare is the share of the sockets for the port of the instance, and
	// connectionMemoryShare that of the memory for these connections. The rest is for connections of
	// the instance's own.
	connectionSocketShare = 0.6
	connectionMemoryShare = 0.2
	// requestMemoryShare is the share of the memory for large requests that are being received or
	// served, heldMemoryShare that for the bodies of requests without a final answer.
	requestMemoryShare = 0.1
	heldMemoryShare    = 0.1
)

// bounds are the limits of an instance that follow from its machine.
type bounds struct {
	connections             int
	requestBytes, heldBytes int64
}

func newBounds(s settings.Settings) bounds {
	memory := float64(s.MemoryMiB << 20)
	return bounds{
		connections:  int(min(connectionSocketShare*ingress.Sockets(s.MaxDescriptors), connectionMemoryShare*memory/ingress.ConnectionBytes)),
		requestBytes: int64(requestMemoryShare * memory),
		heldBytes:    int64(heldMemoryShare * memory),
	}
}
