package main

import (
	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/state/setup"
)

var checkCommand = clitab.Check(func(path string) error {
	settings, err := setup.Load(path)
	if err != nil {
		return err
	}
	_, err = keyset.Load(settings.KeyFile)
	return err
})
