package commands

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/common/logbuffer"
	"lovagestand.example/lovagestand/common/logfmt"
	"lovagestand.example/lovagestand/metrics"
	"lovagestand.example/lovagestand/node"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/settings"
)

const (
	// settingsVariable is the environment variable that contains the path of the
	// settings on the users' platform.
	settingsVariable = "LOVAGESTAND_SETTINGS"
	// memoryLimitShare is the fraction of the allowed memory that is set as the
	// soft memory limit of the Go runtime. Near this limit, the garbage collector
	// runs more often.
	memoryLimitShare = 0.4
	// nodeGCPercent is the GC percentage of a node. It trades memory for less time
	// in the garbage collector, because instances use only a small part of their
	// memory.
	nodeGCPercent = 200
)

func newNode() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "node",
		Short: "Run an instance on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				return &InputError{Err: errors.Errorf("no settings: give --config or set %s", settingsVariable)}
			}
			s, err := settings.ReadNode(path)
			if err != nil {
				return &InputError{Err: err}
			}
			out := logbuffer.New(os.Stdout)
			defer out.Close()
			return runNode(c.Context(), path, s, logfmt.New(out).Level(zerolog.InfoLevel))
		},
	}
	c.Flags().StringVar(&path, "config", os.Getenv(settingsVariable), "path of the settings file")
	return c
}

func runNode(ctx context.Context, path string, s settings.Node, log zerolog.Logger) error {
	debug.SetGCPercent(nodeGCPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMiB<<20)))
	go checkReloads(ctx, path, log)
	recorder := metrics.NewRecorder()
	countCall := func(call string) { recorder.Count("storeCalls", call) }
	orders := platform.NewOrderClient()
	deps := node.Deps{
		Keys:                 platform.NewKeyspace(s.StoreAddress, platform.NewHTTPClient(), countCall),
		Fleet:                platform.NewFleet(orders),
		CloseIdleConnections: orders.CloseIdleConnections,
		DecodeWorker:         platform.DecodeWorker,
		WorkerPrefix:         platform.WorkerPrefix(),
		Log:                  log,
		Recorder:             recorder,
		Metrics:              recorder,
	}
	if s.AdviceAddress != "" {
		deps.Adviser = platform.NewAdviser(s.AdviceAddress, platform.NewHTTPClient())
	}
	return node.New(s, deps).Run(ctx)
}

// checkReloads reads and checks the settings on each SIGHUP and logs the result. It
// does not apply them, because no setting of an instance can change while it runs.
func checkReloads(ctx context.Context, path string, log zerolog.Logger) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		}
		if _, err := settings.ReadNode(path); err != nil {
			log.Error().Err(err).Msg("reloaded settings are invalid; the former settings stay in force")
			continue
		}
		log.Info().Msg("reloaded settings are valid; changes take effect only after a restart")
	}
}
