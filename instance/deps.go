package instance

import (
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// Deps are the outside systems an instance works with.
type Deps struct {
	Store   lovagestand.Store
	Members lovagestand.MemberList
	Workers lovagestand.Workers
	// Transport carries the calls to other instances.
	Transport http.RoundTripper
	// Listen opens the listener; nil stands for TCP at the settings' address.
	Listen func() (net.Listener, error)
	Log    zerolog.Logger
}
