// Command catkinspindle-node runs a node of the serving layer on an entry VM of the users'
// platform.
package main

import (
	"os"

	"github.com/catkinspindle/catkinspindle/nodecommands"
)

func main() {
	os.Exit(nodecommands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
