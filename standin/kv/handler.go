package kv

import (
	"net/http"

	"lovagestand.example/lovagestand/platform"
)

// Handler returns a handler that serves s with the HTTP API of the platform's
// store.
func Handler(s *Store) http.Handler {
	return platform.NewKeyspaceHandler(faultyKeyspace{s.backend})
}
