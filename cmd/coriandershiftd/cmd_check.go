package main

import (
	"fmt"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
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
		settings, err := setup.Load(path)
		if err != nil {
			return err
		}
		if _, err := keyset.Load(settings.KeyFile); err != nil {
			return err
		}
		fmt.Printf("%s: ok\n", path)
	}
	return nil
}
