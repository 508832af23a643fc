// Lovagestand is a cluster scheduler for unlike workloads.
package main

import (
	"os"

	"lovagestand.example/lovagestand/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
