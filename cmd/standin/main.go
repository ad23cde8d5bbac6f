// Command standin runs simulated versions of the systems around the serving layer.
package main

import (
	"os"

	"github.com/catkinspindle/catkinspindle/standin/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
