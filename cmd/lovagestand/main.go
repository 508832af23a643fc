// Lovagestand is a cluster scheduler for mixed workloads. Its subcommands are in
// package [commands].
package main

import (
	"os"

	"lovagestand.example/lovagestand/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
