package main

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

var importArgs struct {
	connectionOptions
	changeOptions
	File string `arg:"positional,required" help:"failure domains and services, JSON with comments"`
}

var importCommand = clitab.Command{
	Name: "import",
	Help: "create or replace the failure domains and services in a file, as one change",
	Args: &importArgs,
	Run:  runImport,
}

func runImport() error {
	operations, err := readOperations(importArgs.File)
	if err != nil {
		return err
	}
	return importArgs.change(importArgs.changeOptions, operations)
}

func readOperations(path string) ([]config.Operation, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return parseOperations(path, data)
}

func parseOperations(path string, data []byte) ([]config.Operation, error) {
	cfg, err := parseConfig(data)
	if err != nil {
		return nil, errors.WithMessagef(err, "file %q", path)
	}

	var operations []config.Operation
	for i := range cfg.Domains {
		operations = append(operations, config.Operation{Verb: config.PutDomain, Domain: &cfg.Domains[i]})
	}
	for i := range cfg.Services {
		operations = append(operations, config.Operation{Verb: config.PutService, Service: &cfg.Services[i]})
	}
	return operations, nil
}

func parseConfig(data []byte) (*config.Config, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.WithMessage(config.ErrInvalid, err.Error())
	}

	cfg := &config.Config{}
	if err := json.Unmarshal(standard, cfg); err != nil {
		return nil, errors.WithMessage(config.ErrInvalid, err.Error())
	}
	return cfg, cfg.Validate()
}
