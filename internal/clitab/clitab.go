// Package clitab runs command lines from a table of commands, so that help and
// dispatch come from the same place.
package clitab

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// ErrUsage reports a command line that cannot be understood.
var ErrUsage = errors.New("usage")

// Command is one command of a program.
type Command struct {
	// Name is the word that selects the command.
	Name string

	// Help is a one-line description.
	Help string

	// Args points to a struct for go-arg.
	Args any

	// Run executes the command, after the options are parsed into Args.
	Run func() error
}

// Program is a table of commands.
type Program struct {
	Name     string
	Help     string
	Version  string
	Commands []Command
}

// Main runs the command that the arguments select and returns the exit code.
// Errors are printed once, here.
func (p *Program) Main(arguments []string) int {
	err := p.run(arguments, os.Stdout)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
	return ExitFailed
}

func (p *Program) run(arguments []string, out io.Writer) error {
	if len(arguments) == 0 {
		p.printHelp(out)
		return errors.WithMessage(ErrUsage, "no command given")
	}

	switch arguments[0] {
	case "-h", "--help", "help":
		p.printHelp(out)
		return nil
	case "--version":
		fmt.Fprintf(out, "%s %s\n", p.Name, p.Version)
		return nil
	}

	for i := range p.Commands {
		if p.Commands[i].Name == arguments[0] {
			return p.runCommand(&p.Commands[i], arguments[1:], out)
		}
	}
	return errors.WithMessagef(ErrUsage, "unknown command %q; try %s --help", arguments[0], p.Name)
}

func (p *Program) runCommand(c *Command, arguments []string, out io.Writer) error {
	parser, err := arg.NewParser(arg.Config{Program: p.Name + " " + c.Name}, c.Args)
	if err != nil {
		return errors.Wrapf(err, "command %q", c.Name)
	}

	err = parser.Parse(arguments)
	switch {
	case errors.Is(err, arg.ErrHelp):
		fmt.Fprintln(out, c.Help)
		parser.WriteHelp(out)
		return nil
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintf(out, "%s %s\n", p.Name, p.Version)
		return nil
	case err != nil:
		return errors.WithMessagef(ErrUsage, "%s: %v", c.Name, err)
	}
	return c.Run()
}

func (p *Program) printHelp(out io.Writer) {
	fmt.Fprintf(out, "%s\n\nUsage: %s COMMAND [OPTIONS]\n\nCommands:\n", p.Help, p.Name)
	for _, c := range p.Commands {
		fmt.Fprintf(out, "  %-12s %s\n", c.Name, c.Help)
	}
	fmt.Fprintf(out, "\nOptions:\n  --help, -h   show this help, or that of a command\n  --version    show the version\n")
	fmt.Fprintf(out, "\nExit codes: 0 done, 1 failed, 2 wrong command line.\n")
}
