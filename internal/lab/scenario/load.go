package scenario

import (
	"encoding/csv"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"otterturn/internal/lab/world"
	"otterturn/scheduler"
)

// capturedRequest is one request of a recorded load: milliseconds since the start, kind, project, units, shard.
type capturedRequest struct {
	at             float64
	class, project int
	units          float64
	shard          int
}

// maxCaptured limits the number of requests of a recorded load.
const maxCaptured = 5_000_000

// readCaptured reads a recorded load from a CSV file without a header. Its errors name the line.
func readCaptured(name string, s Scenario) ([]capturedRequest, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.FieldsPerRecord, r.ReuseRecord, r.Comment = 5, true, '#'
	classes := map[string]int{}
	for i, k := range s.mix.Kinds {
		classes[k.Name] = i
	}
	var out []capturedRequest
	for row, err := r.Read(); row != nil || err != nil; row, err = r.Read() {
		if err != nil {
			if len(out) > 0 && err.Error() == "EOF" {
				return out, nil
			}
			return nil, err
		}
		line, _ := r.FieldPos(0)
		class, known := classes[row[1]]
		var n [4]float64
		for i, text := range []string{row[0], row[2], row[3], row[4]} {
			if n[i], err = strconv.ParseFloat(text, 64); err != nil {
				return nil, fmt.Errorf("%s: line %d: %q is not a number", name, line, text)
			}
		}
		c := capturedRequest{n[0], class, int(n[1]), n[2], int(n[3])}
		switch {
		case !known:
			return nil, fmt.Errorf("%s: line %d: %q is not a kind of load.mix", name, line, row[1])
		case len(out) > 0 && c.at < out[len(out)-1].at, c.at < 0:
			return nil, fmt.Errorf("%s: line %d: earlier than the preceding line, or below 0", name, line)
		case c.project < 0 || c.project >= s.Load.Projects || c.units <= 0 || c.units > maxUnits || c.shard < -1 || c.shard >= s.Nodes.Count:
			return nil, fmt.Errorf("%s: line %d: project, units or shard out of range", name, line)
		case len(out) == maxCaptured:
			return nil, fmt.Errorf("%s: more than %d lines", name, maxCaptured)
		}
		out = append(out, c)
	}
	return out, nil
}

// drawRequests draws all requests of a day. power is the work that all nodes together do per microsecond. The arrivals are drawn
// at the highest possible rate and thinned out to the rate at their time.
func (s Scenario) drawRequests(rng *rand.Rand, power float64) []world.Request {
	generator := requestGenerator{Scenario: s, rng: rng}
	if s.captured != nil {
		for _, c := range s.captured {
			if at := scheduler.Micros(c.at * 1000); at < micros(s.Length) {
				generator.add(at, c.class, c.project, c.units, c.shard)
			}
		}
		return generator.requests
	}
	baseRate := s.Load.Busy * power / s.mix.meanWork() // requests per microsecond
	maxMultiple := 1.0                                 // upper bound of the rate, as a multiple of baseRate
	for _, e := range s.Happens {
		if e.What == "surge" || e.What == "flood" {
			maxMultiple += e.Times
		}
	}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (baseRate * maxMultiple)
		if at >= float64(micros(s.Length)) {
			return generator.requests
		}
		now, multiple := time.Duration(at)*time.Microsecond, 1.0
		var flood Event
		for _, e := range s.Happens {
			switch {
			case now < e.At || now >= e.At+e.For:
			case e.What == "surge":
				multiple *= e.Times
			case e.What == "flood":
				flood = e
			}
		}
		pick := rng.Float64() * maxMultiple
		project := rng.IntN(s.Load.Projects)
		if pick >= multiple+flood.Times {
			continue
		} else if pick >= multiple {
			project = rng.IntN(flood.Projects)
		}
		class, share := 0, rng.Float64()*100
		for share > s.mix.Kinds[class].Share && class < len(s.mix.Kinds)-1 {
			share -= s.mix.Kinds[class].Share
			class++
		}
		units, shard := float64(1+rng.IntN(3)), rng.IntN(s.Nodes.Count)
		if s.mix.Kinds[class].New {
			shard = -1
		}
		generator.add(scheduler.Micros(at), class, project, units, shard)
	}
}

// requestGenerator draws the random properties of requests.
type requestGenerator struct {
	Scenario
	rng          *rand.Rand
	requests     []world.Request
	recentWrites []world.Request // writes of new objects, the oldest first
}

// maxRecentAge is the maximum age of the writes whose objects Load.Recent reads.
const maxRecentAge = 2 * second

func (d *requestGenerator) add(at scheduler.Micros, class, project int, units float64, shard int) {
	kind, rng := d.mix.Kinds[class], d.rng
	q := world.Request{
		At: at, Front: rng.IntN(d.Fronts), Work: units * float64(kind.Costs.micros()) * (0.5 + rng.Float64()),
		Write: kind.Write(), Retries: rng.Float64() < d.Load.Comes, HeedsRetryAfter: rng.Float64() < d.Load.Heeds,
		Request: scheduler.Request{
			ID: strconv.Itoa(len(d.requests)), Class: class, Volume: fmt.Sprintf("%016x", project), Units: units,
			Shard: shard, Fronts: d.Fronts, TimeLeft: kind.Waits.micros(),
		},
	}
	now := time.Duration(at) * time.Microsecond
	for _, e := range d.Happens {
		if e.What == "costly" && class == 0 && now >= e.At && now < e.At+e.For && rng.Float64() < e.Share {
			q.Work *= e.Times
		}
	}
	object := len(d.requests)
	if d.Load.Pieces > 0 {
		object = project*d.Load.Pieces + rng.IntN(d.Load.Pieces)
	}
	if float64(project) < d.Load.Limited*float64(d.Load.Projects) {
		q.Plan = 1
	}
	if kind.New {
		q.WritesObject = q.ID
		d.recentWrites = append(d.recentWrites, q)
	} else if !q.Write && rng.Float64() < d.Load.Recent {
		for len(d.recentWrites) > 0 && d.recentWrites[0].At < at-maxRecentAge {
			d.recentWrites = d.recentWrites[1:]
		}
		if len(d.recentWrites) > 0 {
			q.ReadsObject = d.recentWrites[rng.IntN(len(d.recentWrites))].ID
		}
	}
	q.Key = fmt.Sprintf("%016x", object)
	d.requests = append(d.requests, q)
}
