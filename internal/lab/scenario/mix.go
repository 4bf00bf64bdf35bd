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

// defaultMix is the mix of a scenario that gives none: three classes, of reads, writes of new objects and bulk reads.
const defaultMix = "55% read costs 20ms within 300ms waits 2.5s worth 2, " +
	"30% write new keyed 3s costs 35ms within 400ms waits 2s worth 2, " +
	"15% bulk-read costs 60ms within 2s waits 6s worth 1"

// Mix is the distribution of the kinds of requests, written as in defaultMix.
type Mix struct {
	Kinds []Kind `parser:"@@ (',' @@)*"`
}

// Kind is one kind of request. It has its own scheduler class.
type Kind struct {
	Pos    lexer.Position
	Share  float64  `parser:"@Number '%'"` // of the requests, in percent
	Name   string   `parser:"@Ident"`
	New    bool     `parser:"@'new'?"`            // writes new objects, which any node accepts
	Once   bool     `parser:"( @'once'"`          // not idempotent: never retried after an attempt that may have run
	Keyed  duration `parser:"| 'keyed' @Span )?"` // idempotent by key: retried only at its shard and within this time
	Costs  duration `parser:"'costs' @Span"`      // work per unit, on a core of speed 1
	Within duration `parser:"'within' @Span"`     // latency objective; later answers are worth nothing
	Waits  duration `parser:"'waits' @Span"`      // time after which the client gives up
	Worth  float64  `parser:"'worth' @Number"`    // per unit
}

type duration time.Duration

// Capture parses a duration such as 2.5s.
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

// maxKinds is the maximum number of kinds in a mix.
const maxKinds = 16

// parseMix parses a mix. Its errors name the column.
func parseMix(text string) (Mix, error) {
	m, err := grammar.Parse(mixParser, text)
	if err != nil {
		return Mix{}, err
	}
	sum := 0.0
	for _, k := range m.Kinds {
		sum += k.Share
		if k.Costs <= 0 || k.Within <= 0 || k.Waits < k.Within || k.Share <= 0 {
			return Mix{}, fmt.Errorf("column %d: %s: the share, costs and within must be above 0, and waits must not be below within",
				k.Pos.Column, k.Name)
		}
	}
	if math.Abs(sum-100) > 0.01 || len(m.Kinds) > maxKinds {
		return Mix{}, fmt.Errorf("column %d: the shares of at most %d kinds must add up to 100%%, not %v%%",
			m.Kinds[len(m.Kinds)-1].Pos.Column, maxKinds, sum)
	}
	return m, nil
}

// Write reports whether requests of this kind change data.
func (k Kind) Write() bool { return k.New || k.Keyed > 0 || k.Once }

// class returns the scheduler class of a kind.
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

// meanWork returns the mean work of a request in microseconds on a core of speed 1. A request has 2 units on average.
func (m Mix) meanWork() (work float64) {
	for _, k := range m.Kinds {
		work += k.Share / 100 * float64(k.Costs.micros()) * 2
	}
	return work
}
