package hollow

import (
	"errors"

	"otterturn/rules"
)

// zoneHealth is a front's part in the health of nodes.
type zoneHealth struct{}

func newZoneHealth(*front, rules.Micros) (*zoneHealth, error) {
	return nil, errors.New("hollow: health of nodes is not wired yet")
}

func (z *zoneHealth) learn(rules.Nodes)                  {}
func (z *zoneHealth) attemptStarted(string, string, int) {}
func (z *zoneHealth) attemptEnded(string, rules.Outcome) {}
func (z *zoneHealth) probeWanted(string)                 {}
func (z *zoneHealth) probeEnded(rules.Probed)            {}
func (z *zoneHealth) pass(*front, rules.Micros)          {}
func (f *front) healthHeard(*message)                    {}
