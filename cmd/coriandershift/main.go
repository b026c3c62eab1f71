// Command coriandershift is the operators' client.
package main

import (
	"os"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/version"
)

func main() {
	program := clitab.Program{
		Name:     "coriandershift",
		Help:     "coriandershift queries a coriandershift load balancer and changes its configuration.",
		Version:  version.Number,
		Commands: []clitab.Command{runCommand, importCommand, exportCommand},
	}
	os.Exit(program.Main(os.Args[1:]))
}
