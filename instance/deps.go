package instance

import (
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
	Log       zerolog.Logger
}
