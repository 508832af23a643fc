package tables

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand/table"
)

func (c *command) check() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR",
		Short: "Check routes.yaml and pools.yaml of a directory",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tables, err := readTables(args[0])
			if err != nil {
				return withExitCode(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "sound: %d routes, %d pools\n", len(tables.Routes()), len(tables.Pools()))
			return nil
		},
	}
}

func (c *command) fetch() *cobra.Command {
	var revision uint64
	cmd := &cobra.Command{
		Use:   "fetch DIR",
		Short: "Write the tables in force, or a stored revision, to a directory for editing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
			defer cancel()
			record, err := c.load(ctx)
			if err == nil && revision > 0 {
				record, err = table.LoadRevision(ctx, c.deps.Store(c.store), record, table.Revision(revision))
			}
			if err != nil {
				return withExitCode(err)
			}
			if err := writeTables(args[0], record.Tables); err != nil {
				return withExitCode(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "fetched revision %d\n", record.Tables.Revision())
			return nil
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to fetch; 0 for the one in force")
	return cmd
}

// load reads the newest accepted record from the store.
func (c *command) load(ctx context.Context) (table.Record, error) {
	record, _, err := table.Load(ctx, c.deps.Store(c.store))
	return record, err
}

func (c *command) diff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff DIR",
		Short: "Show the rows in which a directory differs from the tables in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
			defer cancel()
			tables, err := readTables(args[0])
			if err != nil {
				return withExitCode(err)
			}
			record, err := c.load(ctx)
			if err != nil {
				return withExitCode(err)
			}
			printDifferences(cmd.OutOrStdout(), table.Diff(record.Tables, tables))
			return nil
		},
	}
}

func printDifferences(w io.Writer, differences []table.Difference) {
	for _, d := range differences {
		fmt.Fprintln(w, d)
	}
}

// applyFlags are the flags of "tables apply".
type applyFlags struct {
	base            uint64
	writer, message string
}

func (c *command) apply() *cobra.Command {
	flags := &applyFlags{}
	cmd := &cobra.Command{
		Use:   "apply DIR",
		Short: "Apply the tables in a directory, merged row by row with others' changes",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
			defer cancel()
			return withExitCode(c.applyDirectory(ctx, cmd.OutOrStdout(), args[0], *flags))
		},
	}
	cmd.Flags().Uint64Var(&flags.base, "base", 0, "base revision of the tables; 0 for the one stored in the directory")
	cmd.Flags().StringVar(&flags.writer, "writer", defaultWriter(), "who makes the change")
	cmd.Flags().StringVar(&flags.message, "message", "", "why the change is made")
	return cmd
}

// applyDirectory applies the tables in a directory. If they were accepted without
// changes by other writers, it writes the new revision to the directory as the base
// of the next edit.
func (c *command) applyDirectory(ctx context.Context, w io.Writer, dir string, flags applyFlags) error {
	tables, err := readTables(dir)
	if err != nil {
		return err
	}
	base := table.Revision(flags.base)
	if base == 0 {
		if base, err = readRevision(dir); err != nil {
			return err
		}
	}
	applier := table.NewApplier(c.deps.Store(c.store))
	result, err := applier.Apply(ctx, table.Edit{Tables: tables, Base: base, Writer: flags.writer, Message: flags.message})
	if err != nil {
		return err
	}
	printDifferences(w, result.Rows)
	if !result.Changed {
		fmt.Fprintf(w, "nothing to change: revision %d is accepted\n", result.Revision)
	} else {
		fmt.Fprintf(w, "accepted as revision %d\n", result.Revision)
	}
	if result.Merged {
		fmt.Fprintln(w, "others changed rows too: run tables fetch before the next edit")
		return nil
	}
	return errors.Wrap(writeRevision(dir, result.Revision), "accepted, but the revision could not be noted")
}

func (c *command) history() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted changes, newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
			defer cancel()
			record, err := c.load(ctx)
			if err != nil {
				return withExitCode(err)
			}
			return printHistory(cmd.OutOrStdout(), record.Changes)
		},
	}
}

func printHistory(w io.Writer, changes []table.Change) error {
	columns := newColumns(w)
	fmt.Fprintln(columns, "REVISION\tAT\tWRITER\tROWS\tMESSAGE")
	for i := len(changes) - 1; i >= 0; i-- {
		change := changes[i]
		rows := ""
		for _, row := range change.Rows {
			rows += row.String() + " "
		}
		if more := change.RowCount - len(change.Rows); more > 0 {
			rows += fmt.Sprintf("and %d more", more)
		}
		fmt.Fprintf(columns, "%d\t%s\t%s\t%s\t%s\n", change.Revision, change.At.Format(time.RFC3339), change.Writer, rows, change.Message)
	}
	return columns.Flush()
}

// newColumns returns a writer that aligns tab-separated columns.
func newColumns(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
}
