package commands

import (
	"context"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/instance"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/settings"
)

func newServe(log zerolog.Logger) *cobra.Command {
	var path, listen string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an instance",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Read(path)
			if err != nil {
				return &InputError{Err: err}
			}
			if listen != "" {
				s = s.WithListen(listen)
			}
			return serve(c.Context(), s, log.Level(s.LogLevel()))
		},
	}
	c.Flags().StringVar(&path, "config", "instance.yaml", "path of the settings file")
	c.Flags().StringVar(&listen, "listen", "", "host and port to listen on, in place of the one in the settings")
	return c
}

// gcPercent is the percentage by which the heap may grow between two garbage
// collections.
const gcPercent = 50

// serve runs an instance until ctx is done, and then performs a planned stop.
func serve(ctx context.Context, s settings.Settings, log zerolog.Logger) error {
	// Instances are small, so memory costs more than time in the garbage collector.
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMiB<<20)))
	i, err := instance.New(s, instance.Deps{
		Store:     platform.NewStore(s.Platform.Store),
		Members:   platform.NewMemberList(s.Platform.Members),
		Workers:   platform.NewWorkers(),
		Transport: instance.NewTransport(nil),
		Log:       log,
	})
	if err != nil {
		return err
	}
	i.Start()
	select {
	case err := <-i.Failed():
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), s.StopWithin)
	defer cancel()
	return i.Stop(stopCtx)
}
