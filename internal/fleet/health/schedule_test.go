package health

import (
	"fmt"
	"math/rand/v2"

	"otterturn/scheduler"
)

// fault is a kind of fault or recovery in the simulation.
type fault int

const (
	nodeDies fault = iota
	nodeReturns
	nodeRestarts // with a new start on the endpoint list
	nodeDrains
	nodeRuns // running again according to the endpoint list
	frontCrashes
	frontLeaves // permanently, if at least a quorum remains
	frontPauses
	linkCut   // toggles: from one front to the next one, in this direction only
	reachCut  // toggles: from a front to all nodes
	loseSome  // all messages of a period are lost
	copySome  // the messages of a period arrive three times
	delaySome // the messages of a period arrive late, after newer ones
	faults    // number of faults
)

func (f fault) String() string {
	return [...]string{
		"node dies", "node returns", "node restarts", "node drains", "node runs", "front crashes", "front leaves",
		"front pauses", "link cut", "reach cut", "lose", "copy", "delay",
	}[f]
}

// move is a fault at a front or a node, followed by a wait.
type move struct {
	fault fault
	at    int
	wait  scheduler.Micros
}

func (m move) String() string { return fmt.Sprintf("%v at %d, %d ms", m.fault, m.at, m.wait/1000) }

// trial plays a schedule of moves in a small simulation and audits all actions.
type trial struct {
	*world
	wrong    []string
	cutLinks map[[2]int]bool
	cutReach map[int]bool
	lose     scheduler.Micros // messages are lost until this time; copies and delay likewise
	copies   scheduler.Micros
	delay    scheduler.Micros
	silent   map[sighting]scheduler.Micros // time of the last silent observation that a front received or made
	sent     map[int][]sentBytes
	asked    map[int]map[string]scheduler.Micros // time of the last probe by front and node
	broken   func(m *Monitor)                    // puts a deliberate fault into each Monitor
}

// sighting identifies an observation that a start of a node is silent, made by front origin and known to front front.
type sighting struct {
	front, origin int
	node          uint64
	start         scheduler.Micros
}

// Settings of small simulations: the times are shorter than the defaults, in the same order.
const (
	smallLife     = 3 * second
	smallTakeover = second / 2
	smallBytes    = 2048
	smallLoad     = 4.0
	faultFor      = 400_000 // duration of loss, duplication and delay of messages
	// agreement is the time within which all fronts agree after all links work and the nodes no longer change: old evidence
	// expires, and fronts that lost newer evidence request it from the next fronts by rank.
	agreement = smallLife + 4*smallTakeover
	// answerWithin is the maximum time to answer a ProbeRequested: waiting for evidence, for this front's turn by rank and
	// for its probe.
	answerWithin = smallLife + (maxRequestRounds+3)*smallTakeover + second
)

func newTrial(seed uint64, fronts, nodes int, broken func(m *Monitor)) *trial {
	t := &trial{
		cutLinks: map[[2]int]bool{}, cutReach: map[int]bool{}, silent: map[sighting]scheduler.Micros{},
		sent: map[int][]sentBytes{}, asked: map[int]map[string]scheduler.Micros{}, broken: broken,
	}
	probers := 2 + int(seed%2)*min(1, fronts-2)
	t.world = newWorld(seed, zonesOf(1, fronts), nodes, func(c *Config) {
		c.Probers, c.EvidenceLifetime, c.TakeoverAfter, c.MessageRate = probers, smallLife, smallTakeover, smallBytes
	})
	t.encoded, t.link, t.reaches, t.each = true, t.fate, t.reach, t.audit
	t.succeeded = t.checkSuccess
	t.against = func(f *simFront, node string) {
		t.say("front %d avoids %s, which is not running according to the endpoint list", f.number, node)
	}
	if broken != nil {
		for _, f := range t.fronts {
			broken(f.monitor)
		}
	}
	return t
}

func (t *trial) fate(from, to int) []scheduler.Micros {
	const usual = 500
	switch {
	case t.cutLinks[[2]int{from, to}]:
		return nil
	case t.now < t.lose:
		return nil
	case t.now < t.copies:
		return []scheduler.Micros{usual, usual + 30_000, usual + 400_000}
	case t.now < t.delay:
		return []scheduler.Micros{700_000}
	}
	return []scheduler.Micros{usual + scheduler.Micros(t.random.IntN(1000))}
}

func (t *trial) reach(front int, _ *simNode) bool { return !t.cutReach[front] }

func (t *trial) say(format string, args ...any) {
	t.wrong = append(t.wrong, fmt.Sprintf("%d ms: ", (t.now-1_000_000_000)/1000)+fmt.Sprintf(format, args...))
}

// apply applies the fault of a move.
func (t *trial) apply(m move) {
	node, front := t.nodes[m.at%len(t.nodes)], t.fronts[m.at%len(t.fronts)]
	switch m.fault {
	case nodeDies:
		node.dead = true
	case nodeReturns:
		node.dead = false
	case nodeRestarts:
		node.dead, node.start = false, t.now
		t.listAll(EndpointsChanged{Nodes: []scheduler.Endpoint{{Node: node.name, StartedAt: node.start}}})
	case nodeDrains:
		t.listAll(EndpointsChanged{Nodes: []scheduler.Endpoint{{Node: node.name, StartedAt: node.start, State: scheduler.Draining}}})
	case nodeRuns:
		t.listAll(t.list())
	case frontCrashes:
		if !front.gone {
			t.crash(front)
		}
	case frontLeaves:
		t.leave(front)
	case frontPauses:
		front.paused = true
		t.at(t.now+700_000, func() { t.resume(front) })
	case linkCut:
		link := [2]int{front.number, (front.number + 1) % len(t.fronts)}
		t.cutLinks[link] = !t.cutLinks[link]
	case reachCut:
		t.cutReach[front.number] = !t.cutReach[front.number]
	case loseSome:
		t.lose = t.now + faultFor
	case copySome:
		t.copies = t.now + faultFor
	case delaySome:
		t.delay = t.now + faultFor
	}
}

// leave ends a front permanently, if at least a quorum remains.
func (t *trial) leave(f *simFront) {
	living := 0
	for _, other := range t.fronts {
		if !other.gone {
			living++
		}
	}
	if living > f.config.Quorum && !f.gone {
		f.gone, f.paused, f.late = true, false, nil
		f.life++
	}
}

func (t *trial) crash(f *simFront) {
	t.boot(f)
	if t.broken != nil {
		t.broken(f.monitor)
	}
}

// listAll delivers a change of the endpoint list to the fronts, one every 3 ms.
func (t *trial) listAll(l EndpointsChanged) {
	for i, f := range t.fronts {
		t.at(t.now+scheduler.Micros(i)*3000, func() {
			if f.paused {
				t.to(f, t.now, l)
				return
			}
			t.step(f, l)
		})
	}
}

// heal repairs all links and resumes paused fronts.
func (t *trial) heal() {
	clear(t.cutLinks)
	clear(t.cutReach)
	t.lose, t.copies, t.delay = 0, 0, 0
	for _, f := range t.fronts {
		if f.paused {
			t.resume(f)
		}
	}
	t.listAll(t.list())
}

// play applies moves, heals the simulation and returns the violations.
func (t *trial) play(moves []move) []string {
	begin := t.now
	total := second/4 + agreement
	for _, m := range moves {
		total += m.wait
	}
	t.load(smallLoad, t.nodes, begin+total)
	t.run(begin + second/4)
	for _, m := range moves {
		t.apply(m)
		t.run(t.now + m.wait)
		t.checkWanted()
	}
	t.heal()
	t.run(t.now + agreement)
	t.checkWanted()
	t.checkAgreement()
	return t.wrong
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// lateNews returns moves after which evidence about an earlier start of a node arrives after its restart.
func lateNews(node int) []move {
	return []move{{nodeDies, node, 20_000}, {delaySome, 0, 300_000}, {nodeRestarts, node, 120_000}, {nodeDies, node, 1_100_000}}
}

// randomMoves returns a random schedule; one in four begins with lateNews.
func randomMoves(random *rand.Rand) (moves []move) {
	if random.IntN(4) == 0 {
		moves = lateNews(random.IntN(2))
	}
	for range 1 + random.IntN(6) {
		moves = append(moves, move{fault(random.IntN(int(faults))), random.IntN(4), waits[random.IntN(len(waits))]})
	}
	return moves
}
