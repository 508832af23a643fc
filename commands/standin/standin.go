// Package standin implements the commands that run stand-ins for the platform as
// separate processes.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// stopTimeout is how long open requests may take to finish during a shutdown.
const stopTimeout = time.Second

// New returns the command "standin" with its subcommands. They log the addresses
// that they listen on.
func New(logger zerolog.Logger) *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run small stand-ins for the platform",
	}
	c.AddCommand(newStore(logger), newWorkers(logger))
	return c
}

// serve serves a handler at an address until ctx is done.
func serve(ctx context.Context, logger zerolog.Logger, name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, name)
	}
	logger.Info().Str("standin", name).Str("address", l.Addr().String()).Msg("listening")
	server := &http.Server{Handler: handler}
	cancelShutdown := context.AfterFunc(ctx, func() { shutdown(server) })
	defer cancelShutdown()
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, name)
	}
	return nil
}

// shutdown shuts a server down. Requests that are still open after stopTimeout,
// such as watches of the store, are cut off.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
