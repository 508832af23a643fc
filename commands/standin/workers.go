package standin

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
	"lovagestand.example/lovagestand/audit/remote"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/standin/members"
)

// workersFlags are the flags of "standin workers".
type workersFlags struct {
	listen  string
	firm    string
	regions []string
	count   int
	audit   bool
}

func newWorkers(logger zerolog.Logger) *cobra.Command {
	f := workersFlags{}
	c := &cobra.Command{
		Use:   "workers",
		Short: "Run stand-ins for a firm's workers, and the member list that names them",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runWorkers(c, logger, f)
		},
	}
	c.Flags().StringVar(&f.listen, "listen", "127.0.0.1:7200", "host and port of the member list")
	c.Flags().StringVar(&f.firm, "firm", "glazedesk", "firm whose workers to run: glazedesk or sheet-orders")
	c.Flags().StringSliceVar(&f.regions, "regions", nil, "regions, in place of the firm's own")
	c.Flags().IntVar(&f.count, "workers", 0, "number of workers, in place of the firm's own")
	c.Flags().BoolVar(&f.audit, "audit", false, "audit the workers; GET /audit at the member list returns the violations")
	return c
}

func runWorkers(c *cobra.Command, logger zerolog.Logger, flags workersFlags) error {
	firm, err := flags.selectedFirm()
	if err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(flags.listen)
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	auditor := audit.New(firm.Specs())
	server, err := fleet.Listen(host, firm.Specs(), flags.observer(auditor))
	if err != nil {
		return err
	}
	defer server.Close()
	logger.Info().Str("standin", "workers").Int("workers", firm.Workers).Msg("listening")
	handler := members.Handler(members.New(server.Specs()))
	if flags.audit {
		handler = withAudit(handler, auditor)
	}
	return serve(c.Context(), logger, "members", flags.listen, handler)
}

// observer returns the observer of the events at the workers, or nil if they are
// not audited.
func (f workersFlags) observer(a *audit.Auditor) fleet.Observer {
	if f.audit {
		return a
	}
	return nil
}

// withAudit returns a handler that also serves the auditor's endpoints.
func withAudit(handler http.Handler, a *audit.Auditor) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.Handle(remote.PathAudit, remote.Handler(a))
	mux.Handle(remote.PathAudit+"/", remote.Handler(a))
	return mux
}

// selectedFirm returns the firm that the flags select. Flags for the number of
// workers and the regions replace those of the firm.
func (f workersFlags) selectedFirm() (fleet.Firm, error) {
	firm, found := fleet.FirmByRunner(f.firm)
	if !found {
		return fleet.Firm{}, errors.Errorf("--firm: no firm %q", f.firm)
	}
	if f.count < 0 {
		return fleet.Firm{}, errors.Errorf("--workers: %d is below 0", f.count)
	}
	if f.count > 0 {
		firm = firm.WithWorkers(f.count)
	}
	if len(f.regions) > 0 {
		var regions []lovagestand.RegionName
		for _, r := range f.regions {
			regions = append(regions, lovagestand.RegionName(r))
		}
		firm = firm.WithRegions(regions...)
	}
	return firm, nil
}
