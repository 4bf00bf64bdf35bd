package scenario

import (
	"fmt"
	"math"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"otterturn/internal/grammar"
	"otterturn/scheduler"
)

// usualMix is what is asked for where a scenario says nothing else: the brief's classes.
const usualMix = "55% read costs 20ms within 300ms waits 2.5s worth 2, " +
	"30% write new keyed 3s costs 35ms within 400ms waits 2s worth 2, " +
	"15% bulk-read costs 60ms within 2s waits 6s worth 1"

// Mix is what clients ask for, in words such as usualMix.
type Mix struct {
	Kinds []Kind `parser:"@@ (',' @@)*"`
}

// Kind is one kind of requests, which is a class of its own.
type Kind struct {
	Pos    lexer.Position
	Share  float64  `parser:"@Number '%'"` // of the requests
	Name   string   `parser:"@Ident"`
	New    bool     `parser:"@'new'?"`            // of new objects, which any node may take
	Once   bool     `parser:"( @'once'"`          // never sent again after an attempt that may have run
	Keyed  duration `parser:"| 'keyed' @Span )?"` // or only at its shard, within this time
	Costs  duration `parser:"'costs' @Span"`      // of a core of speed 1, for a unit
	Within duration `parser:"'within' @Span"`     // worth something if answered in time
	Waits  duration `parser:"'waits' @Span"`      // then the client leaves
	Worth  float64  `parser:"'worth' @Number"`    // of a unit
}

type duration time.Duration

// Capture reads a time such as 2.5s.
func (d *duration) Capture(values []string) error {
	v, err := time.ParseDuration(values[0])
	*d = duration(v)
	return err
}

func (d duration) micros() scheduler.Micros { return micros(time.Duration(d)) }

var mixParser = participle.MustBuild[Mix](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Span", Pattern: `\d+(\.\d+)?(us|ms|s|m)\b`},
	{Name: "Number", Pattern: `\d+(\.\d+)?`},
	{Name: "Ident", Pattern: `[a-z][a-z0-9-]*`},
	{Name: "Punct", Pattern: `[,%]`},
	{Name: "Space", Pattern: `\s+`},
})),
	participle.Elide("Space"))

// mostKinds bounds a mix.
const mostKinds = 16

// parseMix reads a mix. Its errors point at the column.
func parseMix(text string) (Mix, error) {
	m, err := grammar.Parse(mixParser, text)
	if err != nil {
		return Mix{}, err
	}
	sum := 0.0
	for _, k := range m.Kinds {
		sum += k.Share
		if k.Costs <= 0 || k.Within <= 0 || k.Waits < k.Within || k.Share <= 0 {
			return Mix{}, fmt.Errorf("column %d: %s: the share, costs and within must be above 0, and waits not below within", k.Pos.Column, k.Name)
		}
	}
	if math.Abs(sum-100) > 0.01 || len(m.Kinds) > mostKinds {
		return Mix{}, fmt.Errorf("column %d: the shares of at most %d kinds must make 100%%, and make %v%%", m.Kinds[len(m.Kinds)-1].Pos.Column, mostKinds, sum)
	}
	return m, nil
}

// Write tells whether it changes something.
func (k Kind) Write() bool { return k.New || k.Keyed > 0 || k.Once }

// class is what the decision module is told of a kind.
func (k Kind) class() scheduler.Class {
	c := scheduler.Class{LatencyObjective: k.Within.micros(), Priority: k.Worth}
	switch {
	case k.Once:
		c.Idempotency = scheduler.NotIdempotent
	case k.Keyed > 0:
		c.Idempotency, c.DedupScope, c.DedupWindow = scheduler.IdempotentByKey, scheduler.SameShard, k.Keyed.micros()
	}
	return c
}

// mean is the work of a request in the mean, in microseconds of a core: of two units.
func (m Mix) mean() (work float64) {
	for _, k := range m.Kinds {
		work += k.Share / 100 * float64(k.Costs.micros()) * 2
	}
	return work
}
