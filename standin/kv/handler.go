package kv

import (
	"net/http"

	"lovagestand.example/lovagestand/platform"
)

// Handler serves s over HTTP as the platform does.
func Handler(s *Store) http.Handler {
	return platform.NewKeyspaceHandler(faultyKeyspace{s.backend})
}
