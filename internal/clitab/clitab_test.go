package clitab_test

import (
	"errors"
	"testing"

	"github.com/coriandershift/coriandershift/internal/clitab"
)

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		want      int
	}{
		"help":            {[]string{"--help"}, clitab.ExitOK},
		"version":         {[]string{"--version"}, clitab.ExitOK},
		"command":         {[]string{"work", "--name", "x"}, clitab.ExitOK},
		"command help":    {[]string{"work", "--help"}, clitab.ExitOK},
		"command fails":   {[]string{"work", "--name", "bad"}, clitab.ExitFailed},
		"nothing":         {nil, clitab.ExitUsage},
		"unknown command": {[]string{"play"}, clitab.ExitUsage},
		"unknown option":  {[]string{"work", "--speed"}, clitab.ExitUsage},
		"missing option":  {[]string{"work"}, clitab.ExitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var args struct {
				Name string `arg:"--name,required"`
			}
			program := clitab.Program{Name: "p", Version: "1", Commands: []clitab.Command{{
				Name: "work", Help: "do it", Args: &args,
				Run: func() error {
					if args.Name == "bad" {
						return errors.New("failed")
					}
					return nil
				},
			}}}
			if got := program.Main(test.arguments); got != test.want {
				t.Errorf("got exit code %d, want %d", got, test.want)
			}
		})
	}
}
