package program

import (
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"otterturn/internal/grammar"
)

// command is a line of the console.
type command struct {
	Plain  string  `parser:"  @('help'|'status'|'nodes'|'projects'|'certificate'|'learned'|'quit')"`
	Node   *onNode `parser:"| @@"`
	Cert   *onCert `parser:"| @@"`
	Forget *forget `parser:"| @@"`
}

type onNode struct {
	Do   string `parser:"@('drain'|'undrain')"`
	Name string `parser:"@Word"`
}

type onCert struct {
	Do   string `parser:"@('renew'|'revoke'|'rollkey')"`
	Name string `parser:"@Word"`
}

type forget struct {
	Kind string `parser:"'forget' ( @'all'"`
	One  string `parser:"| @('node'|'project')"`
	Name string `parser:"@Word )"`
}

// words are what was asked to be forgotten.
func (f forget) words() []string {
	if f.Kind != "" {
		return []string{f.Kind}
	}
	return []string{f.One, f.Name}
}

// commandParser is built with the first command: the platform's front, which has no console, starts without it.
var commandParser = sync.OnceValue(func() *participle.Parser[command] {
	return participle.MustBuild[command](participle.Elide("Space"), participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Word", Pattern: `\S+`}, {Name: "Space", Pattern: `\s+`},
	})))
})

// parseCommand reads a line. Its errors point at the column.
func parseCommand(line string) (command, error) { return grammar.Parse(commandParser(), line) }
