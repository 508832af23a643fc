package instance

import (
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
)

// Deps contains the external systems that an instance uses.
type Deps struct {
	Store   lovagestand.Store
	Members lovagestand.MemberList
	Workers lovagestand.Workers
	// Transport sends the calls to other instances.
	Transport http.RoundTripper
	// Listen opens the listener; nil means TCP at the address in the settings.
	Listen func() (net.Listener, error)
	Log    zerolog.Logger
}
