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

// captured is one request of a recorded load: milliseconds since the start, kind, project, units, shard.
type captured struct {
	at             float64
	class, project int
	units          float64
	shard          int
}

// mostCaptured limits the number of requests of a recorded load.
const mostCaptured = 5_000_000

// readCaptured reads a recorded load from a CSV file without a header. Its errors name the line.
func readCaptured(name string, s Scenario) ([]captured, error) {
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
	var out []captured
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
		c := captured{n[0], class, int(n[1]), n[2], int(n[3])}
		switch {
		case !known:
			return nil, fmt.Errorf("%s: line %d: %q is not a kind of load.mix", name, line, row[1])
		case len(out) > 0 && c.at < out[len(out)-1].at, c.at < 0:
			return nil, fmt.Errorf("%s: line %d: earlier than the preceding line, or below 0", name, line)
		case c.project < 0 || c.project >= s.Load.Projects || c.units <= 0 || c.units > mostUnits || c.shard < -1 || c.shard >= s.Nodes.Count:
			return nil, fmt.Errorf("%s: line %d: project, units or shard out of range", name, line)
		case len(out) == mostCaptured:
			return nil, fmt.Errorf("%s: more than %d lines", name, mostCaptured)
		}
		out = append(out, c)
	}
	return out, nil
}

// draw draws all requests of a day. power is the work that all nodes together do per microsecond. The arrivals are drawn
// at the highest possible rate and thinned out to the rate at their time.
func (s Scenario) draw(rng *rand.Rand, power float64) []world.Request {
	d := drawer{Scenario: s, rng: rng}
	if s.captured != nil {
		for _, c := range s.captured {
			if at := scheduler.Micros(c.at * 1000); at < micros(s.Length) {
				d.add(at, c.class, c.project, c.units, c.shard)
			}
		}
		return d.out
	}
	base := s.Load.Busy * power / s.mix.mean() // requests per microsecond
	top := 1.0                                 // upper bound of the rate, as a multiple of base
	for _, e := range s.Happens {
		if e.What == "surge" || e.What == "flood" {
			top += e.Times
		}
	}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (base * top)
		if at >= float64(micros(s.Length)) {
			return d.out
		}
		now, rate := time.Duration(at)*time.Microsecond, 1.0
		var flood Event
		for _, e := range s.Happens {
			switch {
			case now < e.At || now >= e.At+e.For:
			case e.What == "surge":
				rate *= e.Times
			case e.What == "flood":
				flood = e
			}
		}
		pick := rng.Float64() * top
		project := rng.IntN(s.Load.Projects)
		if pick >= rate+flood.Times {
			continue
		} else if pick >= rate {
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
		d.add(scheduler.Micros(at), class, project, units, shard)
	}
}

// drawer draws the random properties of requests.
type drawer struct {
	Scenario
	rng    *rand.Rand
	out    []world.Request
	recent []world.Request // writes of new objects, the oldest first
}

// fresh is the maximum age of the writes whose objects Load.Recent reads.
const fresh = 2 * second

func (d *drawer) add(at scheduler.Micros, class, project int, units float64, shard int) {
	k, rng := d.mix.Kinds[class], d.rng
	q := world.Request{
		At: at, Front: rng.IntN(d.Fronts), Work: units * float64(k.Costs.micros()) * (0.5 + rng.Float64()),
		Write: k.Write(), Comes: rng.Float64() < d.Load.Comes, Heeds: rng.Float64() < d.Load.Heeds,
		Request: scheduler.Request{
			ID: strconv.Itoa(len(d.out)), Class: class, Volume: fmt.Sprintf("%016x", project), Units: units,
			Shard: shard, Fronts: d.Fronts, TimeLeft: k.Waits.micros(),
		},
	}
	now := time.Duration(at) * time.Microsecond
	for _, e := range d.Happens {
		if e.What == "costly" && class == 0 && now >= e.At && now < e.At+e.For && rng.Float64() < e.Share {
			q.Work *= e.Times
		}
	}
	piece := len(d.out)
	if d.Load.Pieces > 0 {
		piece = project*d.Load.Pieces + rng.IntN(d.Load.Pieces)
	}
	if float64(project) < d.Load.Limited*float64(d.Load.Projects) {
		q.Plan = 1
	}
	if k.New {
		q.Writes = q.ID
		d.recent = append(d.recent, q)
	} else if !q.Write && rng.Float64() < d.Load.Recent {
		for len(d.recent) > 0 && d.recent[0].At < at-fresh {
			d.recent = d.recent[1:]
		}
		if len(d.recent) > 0 {
			q.Reads = d.recent[rng.IntN(len(d.recent))].ID
		}
	}
	q.Key = fmt.Sprintf("%016x", piece)
	d.out = append(d.out, q)
}
