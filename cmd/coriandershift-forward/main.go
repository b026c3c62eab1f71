// Command coriandershift-forward runs the daemons that forward opaque flows
// between callers and upstreams.
package main

import (
	"os"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/version"
)

func main() {
	program := clitab.Program{
		Name:     "coriandershift-forward",
		Help:     "coriandershift-forward runs the daemons that forward opaque flows between callers and upstreams.",
		Version:  version.Number,
		Commands: []clitab.Command{balancerCommand, agentCommand, checkCommand, linkCommand},
	}
	os.Exit(program.Main(os.Args[1:]))
}
