// Command coriandershiftd runs the daemons of the load balancer.
package main

import (
	"os"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/version"
)

func main() {
	program := clitab.Program{
		Name:     "coriandershiftd",
		Help:     "coriandershiftd runs the daemons of the coriandershift load balancer.",
		Version:  version.Number,
		Commands: []clitab.Command{balancerCommand, agentCommand, checkCommand},
	}
	os.Exit(program.Main(os.Args[1:]))
}
