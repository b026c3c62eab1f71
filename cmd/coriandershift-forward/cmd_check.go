package main

import (
	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/setup"
)

var checkCommand = clitab.Check(func(path string) error {
	_, err := setup.LoadForward(path)
	return err
})
