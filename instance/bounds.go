package instance

import (
	"lovagestand.example/lovagestand/ingress"
	"lovagestand.example/lovagestand/settings"
)

const (
	// connectionSockets is the share of the sockets for the port of the instance, and
	// connectionMemory that of the memory for these connections. The rest is for connections of
	// the instance's own.
	connectionSockets = 0.6
	connectionMemory  = 0.2
	// requestMemory is the share of the memory for large requests that are being received or
	// served, heldMemory that for the bodies of requests without a final answer.
	requestMemory = 0.1
	heldMemory    = 0.1
)

// bounds are the limits of an instance that follow from its machine.
type bounds struct {
	connections             int
	requestBytes, heldBytes int64
}

func newBounds(s settings.Settings) bounds {
	memory := float64(s.MemoryMiB << 20)
	return bounds{
		connections:  int(min(connectionSockets*ingress.Sockets(s.MaxDescriptors), connectionMemory*memory/ingress.ConnectionBytes)),
		requestBytes: int64(requestMemory * memory),
		heldBytes:    int64(heldMemory * memory),
	}
}
