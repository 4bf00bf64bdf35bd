package health

import (
	"fmt"
	"math/rand/v2"

	"otterturn/scheduler"
)

// fault is one thing that goes wrong, or right again.
type fault int

const (
	nodeDies fault = iota
	nodeReturns
	nodeRestarts // with a new start on the list
	nodeDrains
	nodeRuns // again, by the list
	frontCrashes
	frontLeaves // for good, while enough stay for a quorum
	frontPauses
	linkCut   // from one front to the next one alone
	reachCut  // from a front to the node
	loseSome  // all messages for a while
	copySome  // the messages of a while arrive three times
	delaySome // the messages of a while arrive late, behind others
	faults    // how many there are
)

func (f fault) String() string {
	return [...]string{
		"node dies", "node returns", "node restarts", "node drains", "node runs", "front crashes", "front leaves",
		"front pauses", "link cut", "reach cut", "lose", "copy", "delay",
	}[f]
}

// move is a fault at a front, or a node, and a wait.
type move struct {
	fault fault
	at    int
	wait  scheduler.Micros
}

func (m move) String() string { return fmt.Sprintf("%v at %d, %d ms", m.fault, m.at, m.wait/1000) }

// trial plays moves before small worlds and audits them.
type trial struct {
	*world
	wrong    []string
	cutLinks map[[2]int]bool
	cutReach map[int]bool
	lose     scheduler.Micros // until then
	copies   scheduler.Micros
	delay    scheduler.Micros
	silent   map[sighting]scheduler.Micros // what a front was told, or saw itself, last
	sent     map[int][]sentBytes
	asked    map[int]map[string]scheduler.Micros // probes started last
	broken   func(m *Monitor)                    // breaks each Monitor on purpose
}

// sighting is a silent probe of a node's start, as a front knows it of another or of itself.
type sighting struct {
	front, origin int
	node          uint64
	start         scheduler.Micros
}

// Figures of small worlds: shorter times than the usual ones, in the same order.
const (
	smallLife     = 3 * second
	smallTakeover = second / 2
	smallBytes    = 2048
	smallLoad     = 4.0
	faultFor      = 400_000 // that messages are lost, copied or late
	// agreement is how long all fronts may take to agree once links are whole and the node stays as it is: what is
	// too old fades, and those who lost what came after it ask the next in rank.
	agreement = smallLife + 4*smallTakeover
	// answerWithin is how long a ProbeWanted may wait: for evidence, then for this front's turn, then for its probe.
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
	t.against = func(f *simFront, node string) { t.say("front %d avoids %s against the list", f.number, node) }
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

// apply carries a move out.
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

// leave ends a front for good.
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

// listAll tells each front of news of the list, 3 ms apart.
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

// heal makes links whole and lets fronts run.
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

// play plays moves, heals the world, and tells what was wrong.
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

// lateNews are moves by which words of a node's former start come after it has started anew.
func lateNews(node int) []move {
	return []move{{nodeDies, node, 20_000}, {delaySome, 0, 300_000}, {nodeRestarts, node, 120_000}, {nodeDies, node, 1_100_000}}
}

// randomMoves draws a schedule; a quarter of them begin with lateNews.
func randomMoves(random *rand.Rand) (moves []move) {
	if random.IntN(4) == 0 {
		moves = lateNews(random.IntN(2))
	}
	for range 1 + random.IntN(6) {
		moves = append(moves, move{fault(random.IntN(int(faults))), random.IntN(4), waits[random.IntN(len(waits))]})
	}
	return moves
}
