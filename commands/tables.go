package commands

import (
	"net/http"

	"github.com/spf13/cobra"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/commands/tables"
	"lovagestand.example/lovagestand/platform"
)

func newTables() *cobra.Command {
	return tables.Command(tables.Deps{
		Store:   func(base string) lovagestand.Store { return platform.NewStore(base) },
		Members: func(base string) lovagestand.MemberList { return platform.NewMemberList(base) },
		Client:  http.DefaultClient,
	})
}
