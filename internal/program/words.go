package program

import (
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"otterturn/internal/grammar"
)

// command is a parsed line of the console. Plain holds a command without arguments.
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

// words returns the arguments of a forget command: "all", or a kind and a name.
func (f forget) words() []string {
	if f.Kind != "" {
		return []string{f.Kind}
	}
	return []string{f.One, f.Name}
}

// commandParser is built at the first command, because the platform's front has no console and need not spend the time.
var commandParser = sync.OnceValue(func() *participle.Parser[command] {
	return participle.MustBuild[command](participle.Elide("Space"), participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Word", Pattern: `\S+`}, {Name: "Space", Pattern: `\s+`},
	})))
})

// parseCommand parses a line. Its errors name the column.
func parseCommand(line string) (command, error) { return grammar.Parse(commandParser(), line) }
