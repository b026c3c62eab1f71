package main

import (
	"fmt"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/setup"
)

var checkArgs struct {
	Settings []string `arg:"positional,required" help:"settings files, JSON with comments"`
}

var checkCommand = clitab.Command{
	Name: "check",
	Help: "read settings files and say every fault in them",
	Args: &checkArgs,
	Run:  runCheck,
}

func runCheck() error {
	for _, path := range checkArgs.Settings {
		if _, err := setup.LoadForward(path); err != nil {
			return err
		}
		fmt.Printf("%s: ok\n", path)
	}
	return nil
}
