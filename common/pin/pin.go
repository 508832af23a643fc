// Package pin keeps the module's library requirements in place while the
// packages that use them are written.
package pin

import (
	_ "github.com/HdrHistogram/hdrhistogram-go" // latency histograms
	_ "github.com/anishathalye/porcupine"       // linearizability checks
	_ "github.com/cenkalti/backoff/v5"          // retries
	_ "github.com/cespare/xxhash/v2"            // hashing
	_ "github.com/go-chi/chi/v5"                // HTTP routes
	_ "github.com/google/btree"                 // ordered indexes
	_ "github.com/google/uuid"                  // names of runs and tasks
	_ "github.com/pkg/errors"                   // wrapped errors
	_ "github.com/rs/zerolog"                   // logs
	_ "github.com/spf13/cobra"                  // command line
	_ "github.com/twitchtv/twirp"               // calls between instances
	_ "go.yaml.in/yaml/v3"                      // settings and tables
	_ "golang.org/x/sync/errgroup"              // groups of goroutines
	_ "golang.org/x/time/rate"                  // rate limits
	_ "google.golang.org/protobuf/proto"        // messages
	_ "pgregory.net/rapid"                      // property tests
)
