// Command catkinspindle runs a node of the serving layer on an entry VM and provides the
// tools for operators and callers.
package main

import (
	"os"

	"github.com/catkinspindle/catkinspindle/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
