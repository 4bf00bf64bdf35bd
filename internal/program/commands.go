package program

import (
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"otterturn/internal/grammar"
)

// command is a parsed line of the console. Plain holds a command without arguments.
type command struct {
	Plain  string         `parser:"  @('help'|'status'|'nodes'|'projects'|'unsettled'|'certificate'|'learned'|'quit')"`
	Node   *nodeCommand   `parser:"| @@"`
	Cert   *certCommand   `parser:"| @@"`
	Forget *forgetCommand `parser:"| @@"`
	Settle *settleCommand `parser:"| @@"`
}

// settleCommand names the unsettled changes that no node will carry out any more.
type settleCommand struct {
	All    bool   `parser:"'settle' ( @'all'"`
	Node   string `parser:"| 'node' @Word"`
	Number uint64 `parser:"| 'change' @Word )"`
}

type nodeCommand struct {
	Do   string `parser:"@('drain'|'undrain')"`
	Name string `parser:"@Word"`
}

type certCommand struct {
	Do   string `parser:"@('renew'|'revoke'|'rollkey')"`
	Name string `parser:"@Word"`
}

type forgetCommand struct {
	Kind string `parser:"'forget' ( @'all'"`
	One  string `parser:"| @('node'|'project')"`
	Name string `parser:"@Word )"`
}

// arguments returns the arguments of a forget command: "all", or a kind and a name.
func (f forgetCommand) arguments() []string {
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
