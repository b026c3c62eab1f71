// Package lang parses the operators' query and command language.
//
//	take out domain NAME
//	bring back domain NAME
//	drain upstream NAME
//	undrain upstream NAME
//	remove service NAME
//	set service NAME LIMIT=NUMBER ...
//	show services | domains | members | drained | revision | lag
//
// Statements are separated by semicolons. The commands of one script take effect
// together or not at all, and a query must be the only statement.
package lang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/config"
)

// ErrSyntax reports a script that cannot be parsed, or that mixes queries and commands.
var ErrSyntax = errors.New("syntax error")

// Script is either one query or one or more commands.
type Script struct {
	// Query is the word after show; empty for commands.
	Query string

	// Operations are those of the commands, in order.
	Operations []config.Operation
}

// The parser's error messages contain the names of the types below, such as "Setter".

type grammar struct {
	Statements []*statement `parser:"@@ ( ';' @@ )* ';'?"`
}

type statement struct {
	TakeOut   string  `parser:"  'take' 'out' 'domain' @Name"`
	BringBack string  `parser:"| 'bring' 'back' 'domain' @Name"`
	Drain     string  `parser:"| 'drain' 'upstream' @Name"`
	Undrain   string  `parser:"| 'undrain' 'upstream' @Name"`
	Remove    string  `parser:"| 'remove' 'service' @Name"`
	Set       *setter `parser:"| 'set' 'service' @@"`
	Show      string  `parser:"| 'show' @( 'services' | 'domains' | 'members' | 'drained' | 'revision' | 'lag' )"`
}

type setter struct {
	Service string    `parser:"@Name"`
	Limits  []setting `parser:"@@+"`
}

type setting struct {
	Name  string `parser:"@Name '='"`
	Value int64  `parser:"@Number"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Number", Pattern: `[0-9]+\b`},
	{Name: "Name", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.-]*`},
	{Name: "Mark", Pattern: `[;=]`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[grammar](participle.Lexer(tokens), participle.Elide("Space"))

// Parse parses a script. It returns ErrSyntax, with line and column if the text does
// not follow the grammar.
func Parse(text string) (Script, error) {
	tree, err := parser.ParseString("", text)
	if err != nil {
		return Script{}, errors.WithMessage(ErrSyntax, err.Error())
	}

	var script Script
	for _, s := range tree.Statements {
		if s.Show != "" {
			script.Query = s.Show
			continue
		}
		script.Operations = append(script.Operations, s.operations()...)
	}

	if script.Query != "" && len(tree.Statements) > 1 {
		return Script{}, errors.WithMessage(ErrSyntax, "a query must be the only statement")
	}
	return script, nil
}

func (s *statement) operations() []config.Operation {
	switch {
	case s.TakeOut != "":
		return []config.Operation{{Verb: config.TakeOut, Name: s.TakeOut}}
	case s.BringBack != "":
		return []config.Operation{{Verb: config.BringBack, Name: s.BringBack}}
	case s.Drain != "":
		return []config.Operation{{Verb: config.Drain, Name: s.Drain}}
	case s.Undrain != "":
		return []config.Operation{{Verb: config.Undrain, Name: s.Undrain}}
	case s.Remove != "":
		return []config.Operation{{Verb: config.RemoveService, Name: s.Remove}}
	}

	var operations []config.Operation
	for _, limit := range s.Set.Limits {
		operations = append(operations, config.Operation{
			Verb:  config.SetLimit,
			Name:  s.Set.Service,
			Limit: limit.Name,
			Value: limit.Value,
		})
	}
	return operations
}
