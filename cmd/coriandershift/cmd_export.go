package main

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
)

var exportArgs struct {
	connectionOptions
}

var exportCommand = clitab.Command{
	Name: "export",
	Help: "print the configuration in force, in the form that import reads",
	Args: &exportArgs,
	Run:  runExport,
}

func runExport() error {
	client, err := exportArgs.client()
	if err != nil {
		return err
	}
	ctx, cancel := exportArgs.context()
	defer cancel()

	cfg, err := client.Config(ctx, exportArgs.Balancer)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(cfg), "print")
}
