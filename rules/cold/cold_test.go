package cold

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const ms = int64(1000)

func figures(hosts int, peers bool) *Figures[int64] {
	return &Figures[int64]{Hosts: hosts, From: 0.2, Ramp: 17000 * ms, Multiple: 2.5, Span: 1000 * ms, Units: 8, Doubt: 500 * ms, Peers: peers}
}

// Whatever hosts restart, whoever asks and however much: what all of them may send on grants within any span is no
// more than the part. A former dealer's grants must count with the next one's, and a former self's too.
func TestGrantsOfAllHostsAddUpToThePart(t *testing.T) {
	for _, peers := range []bool{true, false} {
		for seed := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, 0))
			f := figures(300, peers)
			rations, began := make([]*Ration[int64], f.Hosts), make([]int64, f.Hosts)
			type use struct {
				at    int64
				units float64
			}
			var used []use
			granted := 0
			start := 1_800_000_000_000_000 + rng.Int64N(1<<40)
			for now := start; now < start+40_000*ms; now += 10 * ms {
				if rng.IntN(300) == 0 { // seven in ten forget at once
					for i := range rations {
						if rng.IntN(10) < 7 {
							rations[i], began[i] = nil, now
						}
					}
				}
				dealer, may := f.Dealer("node", now)
				for range 4 {
					from := rng.IntN(f.Hosts)
					if !peers {
						from = dealer
					}
					if rations[dealer] == nil {
						rations[dealer] = f.Ration()
					}
					rations[dealer].Ask(now, from, Wish{Units: 1 + 5*rng.Float64()})
				}
				if rations[dealer] == nil || !may || now <= began[dealer]+f.Counts() {
					continue
				}
				for _, g := range rations[dealer].Deal(now, f.Borne(0)) {
					at := now + rng.Int64N(f.valid()+1) // used as late as may be
					if !f.Dealt("node", dealer, at, g.Until) {
						t.Fatalf("a grant of %v is not taken at %v", g, at)
					}
					used = append(used, use{at, g.Units})
					granted++
				}
			}
			for _, last := range used {
				sum := 0.0
				for _, u := range used {
					if u.at > last.at-f.Span && u.at <= last.at {
						sum += u.units
					}
				}
				if sum > f.Borne(0)+1e-9 {
					t.Fatalf("peers %v, seed %d: %.2f units within a span, the part is %.2f", peers, seed, sum, f.Borne(0))
				}
			}
			if granted < 10 {
				t.Errorf("peers %v, seed %d: only %d grants", peers, seed, granted)
			}
		}
	}
}

// With what is granted and as much as is answered no more is sent than is borne, whatever the node can do and however
// many hosts were answered by it.
func TestGrantsAndAnswersAreBorne(t *testing.T) {
	f := figures(300, true)
	for c := 0.1; c < 50; c += 0.1 {
		r, now := f.Ration(), 1_000_000*ms
		for host := range f.Hosts { // one in ten was answered; a core does half of what the node does
			shown := Shown{Units: 2 * c, Time: 4}
			if host%10 == 0 {
				shown.Served = c / 30
			}
			r.Ask(now, host, Wish{Units: 0.1, Least: 0.1, Shown: shown})
		}
		sum := c
		for _, g := range r.Deal(now, f.Borne(0)) {
			sum += g.Units
		}
		if most := max(f.Multiple*c, f.Units); sum > most+1e-9 {
			t.Errorf("capacity %.1f: %.2f units, %.2f are borne", c, sum, most)
		}
		if c > f.Units && sum < 1.5*c {
			t.Errorf("capacity %.1f: only %.2f units", c, sum)
		}
	}
}

// Where no request is as small as what may be granted, one goes alone, so that the node can show what it does.
func TestALoneRequestGoesAhead(t *testing.T) {
	f := figures(300, true)
	f.Units = 1
	r, now := f.Ration(), 1_000_000*ms
	r.Ask(now, 0, Wish{Units: 2, Least: 1})
	r.Ask(now, 1, Wish{Units: 1, Least: 1})
	if got := r.Deal(now, f.Borne(0)); len(got) != 1 || got[0] != (Grant[int64]{0, 1, now + f.valid()}) {
		t.Errorf("grants %v", got)
	}
	r.Ask(now, 2, Wish{Units: 6, Least: 6, Shown: Shown{Units: 36, Time: 2}})
	if got := r.Deal(now+1, f.Borne(0)); len(got) != 2 || got[1].Units != 6 {
		t.Errorf("grants %v once a speed is shown", got)
	}
}

func TestDealersTakeTurns(t *testing.T) {
	f := figures(7, true)
	seen := map[int]bool{}
	for now := int64(0); now < 20*periodSpans*f.Counts(); now += f.Counts() {
		host, _ := f.Dealer("node", now)
		seen[host] = true
	}
	if len(seen) != f.Hosts {
		t.Errorf("hosts %v of %d deal", seen, f.Hosts)
	}
	if f.Dealt("node", 0, 0, 1<<40) {
		t.Error("a grant for years is taken")
	}
}

// An ask that is larger than all that may be dealt must not keep the others waiting, and one that only has to wait must
// not be passed over for ever.
func TestAsksWaitInTurn(t *testing.T) {
	f := figures(4, true)
	r := f.Ration()
	now := 1_000_000 * ms
	r.Ask(now, 0, Wish{Units: 9})
	r.Ask(now, 1, Wish{Units: 3})
	if got := r.Deal(now, 8); len(got) != 1 || got[0].Host != 1 {
		t.Fatalf("grants %v", got)
	}
	r.Ask(now, 2, Wish{Units: 4})
	r.Ask(now, 3, Wish{Units: 1})
	if got := r.Deal(now, 8); len(got) != 0 || !r.Waits() {
		t.Errorf("grants %v ahead of one that waits", got)
	}
	r.Ask(now+f.Counts(), 2, Wish{Units: 4})
	if got := r.Deal(now+f.Counts()+1, 8); fmt.Sprint(len(got), got[0].Host) != "1 2" {
		t.Errorf("grants %v once there is room", got)
	}
	if r.Idle(now) {
		t.Error("idle while what was dealt counts")
	}
	if got := r.Deal(now+3*f.Counts(), 8); len(got) != 0 || !r.Idle(now+3*f.Counts()) {
		t.Errorf("grants %v of asks that are old, or never idle", got)
	}
}

// Room comes from answers, for a span, and from grants, until they end.
func TestRoomFades(t *testing.T) {
	f := figures(4, true)
	g := f.Guard()
	now := 1_000_000 * ms
	g.Granted(now, 3, now+f.valid())
	g.Sent(now, 2)
	if got := g.Room(now); got != 1 {
		t.Errorf("room for %v of a grant of 3, 2 sent", got)
	}
	g.Granted(now+f.valid()/2, 1, now+f.valid()+f.valid()/2)
	if got := g.Room(now + f.valid()/2); got != 1 {
		t.Errorf("room for %v: what is left of a grant lasts as long as the next one", got)
	}
	g.Answered(now, "piece", 2, 100*ms)
	if got := g.Room(now + 2*f.valid()); got != 2 {
		t.Errorf("room for %v behind an answer of 2, the grant over", got)
	}
	g.Sent(now+2*f.valid(), 2)
	if got := g.Room(now + 3*f.valid()); got != 0 {
		t.Errorf("room for %v, all used", got)
	}
	if got := g.Room(now + 2*f.Span); got != 0 {
		t.Errorf("room for %v a span later", got)
	}
}

// A run of requests for one piece costs a node little. As many others behind it would push it over.
func TestARunOnOnePieceMakesLittleRoom(t *testing.T) {
	f := figures(4, true)
	g := f.Guard()
	now := 1_000_000 * ms
	for range 20 {
		g.Answered(now, "piece", 2, 10*ms)
	}
	if got := g.Room(now); got > 2+19*2*nearCost {
		t.Errorf("room for %v units behind a run", got)
	}
	slow := f.Guard()
	slow.Answered(now, "piece", 2, 200*ms)
	for range 20 {
		slow.Answered(now, "piece", 2, 10*ms)
	}
	if got := slow.Shown(); got.Units != 2 || got.Time != 0.2 {
		t.Errorf("shown %+v, the first request alone shows 2 units in a fifth of a span", got)
	}
}

// Of many hosts few ask at a time, and what the others saw of the node counts as well, for a while and for its present
// start: with what those who ask know alone a node was sent a third of what it can do.
func TestWhatAHostShowedCountsWhileOthersAsk(t *testing.T) {
	f := figures(300, true)
	now := 1_000_000 * ms
	r := f.Ration()
	most := func(after int64) (units float64) {
		for host := range 40 {
			r.Ask(now+after, 100+host, Wish{Units: 1, Least: 1})
		}
		for _, g := range r.Deal(now+after, f.Borne(0)) {
			units += g.Units
		}
		r.Drop()
		return units
	}
	for host := range 20 {
		r.Tell(now, host, Shown{Units: 2, Time: 0.1}) // a core does 20 a span
		r.Tell(now, host, Shown{Units: 2, Time: 0.1})
	}
	if got := most(2 * f.Span); got < 20 || got > 24 { // 1.5 times 40 units in 2 spans and a half of doubt
		t.Errorf("%v units dealt by what twenty hosts showed", got)
	}
	if got := most(2*f.Span + 3*f.Counts()/2); got < 20 {
		t.Errorf("%v units dealt a little later", got)
	}
	r.Anew()
	if got := most(2*f.Span + 4*f.Counts()); got > f.Borne(0) {
		t.Errorf("%v units dealt at a node that began anew", got)
	}
	r.Tell(now, 1, Shown{Units: 100, Time: 1})
	if later := now + (shownSpans+1)*f.Span + 5*f.Counts(); !r.Idle(later) || most(later-now) > f.Borne(0) {
		t.Error("what was shown long ago counts yet")
	}
}

// All that hosts told was answered within a span counts, whoever asks: that shows more than one core. A message that comes
// twice counts once.
func TestWhatAllHostsWereAnsweredCounts(t *testing.T) {
	f := figures(300, true)
	r, now := f.Ration(), 1_000_000*ms
	for host := range 30 {
		for range 2 {
			r.Tell(now, host, Shown{Served: 2, Units: 2, Time: 1}) // a core does 2 a span, the node 60
		}
	}
	sum := 0.0
	for host := range 200 {
		r.Ask(now, 100+host, Wish{Units: 1, Least: 1})
	}
	for _, g := range r.Deal(now, f.Borne(0)) {
		sum += g.Units
	}
	if sum < 70 || sum > 1.5*60 {
		t.Errorf("%v units dealt where 60 were answered", sum)
	}
}

// Periods begin at other times at other nodes: in each there is a while in which nothing is dealt.
func TestPeriodsDoNotBeginTogether(t *testing.T) {
	f := figures(80, true)
	for now := int64(0); now < periodSpans*f.Counts(); now += 100 * ms {
		deals := 0
		for n := range 60 {
			if _, may := f.Dealer(fmt.Sprint("node", n), now); may {
				deals++
			}
		}
		if deals < 40 {
			t.Fatalf("at %d: only %d of 60 nodes have a dealer", now, deals)
		}
	}
}
