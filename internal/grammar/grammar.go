// Package grammar parses lines of text with a participle parser and reports syntax errors with their column.
package grammar

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
)

// Parse parses one line.
func Parse[T any](p *participle.Parser[T], line string) (T, error) {
	v, err := p.ParseString("", line)
	if syntaxErr := participle.Error(nil); errors.As(err, &syntaxErr) {
		return *new(T), fmt.Errorf("column %d: %s", syntaxErr.Position().Column, syntaxErr.Message())
	} else if err != nil {
		return *new(T), err
	}
	return *v, nil
}
