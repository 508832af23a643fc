package operate

import (
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/cell"
	"lovagestand.example/lovagestand/common/document"
	"lovagestand.example/lovagestand/table"
)

// plannedRequest describes a hypothetical request, whose placement is forecast but
// which is not submitted.
type plannedRequest struct {
	route, team  string
	processors   document.Processors
	memory       document.Memory
	accelerators int64
}

func newExplain(client *http.Client) *cobra.Command {
	i := &instanceClient{client: client}
	p := &plannedRequest{}
	c := &cobra.Command{
		Use:   "explain [KEY]",
		Short: "Explain why a request waits or where it runs, or forecast where a request of a route would go",
		Example: "  lovagestand explain quote-17\n" +
			"  lovagestand explain --route counter-quote --team showroom --processors 2 --memory 4GiB",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			switch {
			case len(args) == 1 && p.route == "":
				return i.show(c, "/v1/requests/"+url.PathEscape(args[0])+"/explain", &cell.Explanation{})
			case len(args) == 0 && p.route != "":
				return i.show(c, "/explain?"+p.query().Encode(), &cell.Forecast{})
			}
			return &UsageError{Reason: "name either the key of a request or --route and --team"}
		},
	}
	i.addFlags(c)
	i.addJSONFlag(c)
	p.addFlags(c)
	return c
}

func (p *plannedRequest) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.route, "route", "", "route of a hypothetical request")
	c.Flags().StringVar(&p.team, "team", "", "team of the hypothetical request")
	c.Flags().TextVar(&p.processors, "processors", document.Processors(0), "cores that it needs, such as 2 or 500m; those of the route if 0")
	c.Flags().TextVar(&p.memory, "memory", document.Memory(0), "memory that it needs, such as 4GiB")
	c.Flags().Int64Var(&p.accelerators, "accelerators", 0, "accelerators that it needs")
	// This call fails only for an unknown flag, and completion is optional.
	_ = c.RegisterFlagCompletionFunc("route", completeRoutes)
}

func (p *plannedRequest) query() url.Values {
	return url.Values{
		"route":        {p.route},
		"team":         {p.team},
		"milliCPU":     {strconv.FormatInt(int64(p.processors), 10)},
		"memoryMiB":    {strconv.FormatInt(int64(p.memory), 10)},
		"accelerators": {strconv.FormatInt(p.accelerators, 10)},
	}
}

// completeRoutes completes the names of the routes in the tables of the working
// directory.
func completeRoutes(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	tables, err := localTables()
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var names []string
	for _, r := range tables.Routes() {
		names = append(names, string(r.Name))
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// localTables reads the tables in the working directory.
func localTables() (table.Tables, error) {
	routes, err := os.ReadFile(table.RoutesTable.File())
	if err != nil {
		return table.Tables{}, errors.Wrap(err, "routes")
	}
	pools, err := os.ReadFile(table.PoolsTable.File())
	if err != nil {
		return table.Tables{}, errors.Wrap(err, "pools")
	}
	return table.Parse(routes, pools)
}

// UsageError is returned for a combination of arguments that is not valid.
type UsageError struct {
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// exitUsage is the exit code for invalid arguments.
const exitUsage = 2

// ExitCode returns the exit code for invalid arguments.
func (e *UsageError) ExitCode() int { return exitUsage }
