package record

import (
	"time"

	"otterturn/internal/lab/scenario"
	"otterturn/internal/lab/world"
	"otterturn/scheduler"
)

// Make runs the day of that name in Streams and returns the recording of its first front.
func Make(name string) (Stream, error) {
	d := Streams[name]
	s, err := scenario.Calm(d.nodes, d.fronts, d.length)
	if err != nil {
		return Stream{}, err
	}
	s.Load.Limited, s.Load.Limit, s.Load.Burst, s.Load.Projects = 0.33, 24, 72, 5*d.nodes
	s.Load.Comes, s.Load.Heeds = 0.5, 0.5
	set := s.Settings()
	set.CancelAttempts, set.RetryBudgetSpan, set.RetryBudgetMin, set.RetryBudgetShare = true, 10_000_000, 10, 0.2
	d.configure(&s, &set)
	var r Recorder
	_, err = s.PlayWith(1, set, scenario.Variant{Name: name, Make: func(front int, set scheduler.Settings, seed int64) (world.Decider, error) {
		set.FrontIndex = front
		made, err := scheduler.New(set, seed)
		if front > 0 || err != nil {
			return made, err
		}
		r = Recorder{Decider: made, Stream: Stream{Settings: set, Seed: seed}}
		return &r, nil
	}})
	return r.Stream, err
}

// dayConfig describes the scenario of a recording.
type dayConfig struct {
	nodes, fronts int
	length        time.Duration
	configure     func(s *scenario.Scenario, set *scheduler.Settings)
}

// Streams are the days to record, by name: a rolling deploy; several kinds of failures; a flood beyond the limit of open
// requests, with a class whose requests run in order; and a long day with so little load that learned state expires.
var Streams = map[string]dayConfig{
	"deploy": {10, 3, 16 * time.Second, func(s *scenario.Scenario, _ *scheduler.Settings) {
		s.Happens = []scenario.Event{
			{At: 3 * time.Second, What: "replace", Share: 0.9, Over: 8 * time.Second, Drain: time.Second},
			{At: 6 * time.Second, What: "surge", Times: 2.5, For: 4 * time.Second},
		}
	}},
	"failures": {8, 2, 16 * time.Second, func(s *scenario.Scenario, _ *scheduler.Settings) {
		for i, what := range []string{"die", "silence", "break", "spoil", "pause", "slow"} {
			s.Happens = append(s.Happens, scenario.Event{
				At: time.Duration(2*i+2) * time.Second, What: what, Share: 0.3, Back: 2 * time.Second,
				For: 2500 * time.Millisecond, Times: 5,
			})
		}
	}},
	"flood": {4, 1, 7 * time.Second, func(s *scenario.Scenario, set *scheduler.Settings) {
		s.Load.Busy, s.Load.Pieces, s.Load.Comes = 0.9, 4, 0.2
		s.Happens = []scenario.Event{{At: 2 * time.Second, What: "flood", Projects: 2, Times: 1, For: 3 * time.Second}}
		set.MaxOpen, set.KeyPause = 60, 50_000
		set.Classes[1].InOrder = true
	}},
	"idle": {30, 1, 110 * time.Second, func(s *scenario.Scenario, _ *scheduler.Settings) { s.Load.Busy = 0.01 }},
}
