package standin

import (
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/standin/kv"
)

func newStore(logger zerolog.Logger) *cobra.Command {
	var listen string
	var reads, writes int
	c := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in for the platform's key-value store",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			store := kv.New(kv.WithRates(reads, writes))
			return serve(c.Context(), logger, "store", listen, kv.HandlerWithFaultControls(store))
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7100", "host and port of the store")
	c.Flags().IntVar(&reads, "reads", kv.DefaultReadRate, "maximum reads per second")
	c.Flags().IntVar(&writes, "writes", kv.DefaultWriteRate, "maximum writes per second")
	return c
}
