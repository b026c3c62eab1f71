// Command standin runs small stand-ins for the systems around coriandershift,
// for tests and demonstrations.
package main

import (
	"os"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/version"
)

func main() {
	program := clitab.Program{
		Name:     "standin",
		Help:     "standin runs small stand-ins for the systems around coriandershift, for tests and demonstrations.",
		Version:  version.Number,
		Commands: []clitab.Command{storeCommand, fabricCommand, upstreamCommand, callerCommand, certsCommand},
	}
	os.Exit(program.Main(os.Args[1:]))
}
