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
	linkCut    // toggles: from one front to the next one, in this direction only
	reachCut   // toggles: from a front to all nodes
	loseSome   // all messages of a period are lost
	copySome   // the messages of a period arrive three times
	delaySome  // the messages of a period arrive late, after newer ones
	faultCount // number of faults
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
	*simulation
	violations         []string
	cutLinks           map[[2]int]bool
	cutReach           map[int]bool
	loseUntil          scheduler.Micros // messages are lost until this time; copyUntil and delayUntil likewise
	copyUntil          scheduler.Micros
	delayUntil         scheduler.Micros
	silentObservations map[silentObservation]scheduler.Micros // time of the last silent observation that a front received or made
	sent               map[int][]sentBytes
	probeStarts        map[int]map[string]scheduler.Micros // time of the last probe by front and node
	mutate             func(m *Monitor)                    // puts a deliberate fault into each Monitor
}

// silentObservation identifies an observation that a start of a node is silent, made by
// front number origin and known to front number front.
type silentObservation struct {
	front, origin int
	node          uint64
	start         scheduler.Micros
}

// Settings of small simulations: the times are shorter than the defaults, in the same order.
const (
	smallEvidenceLifetime = 3 * second
	smallTakeover         = second / 2
	smallBytes            = 2048
	smallRequestRate      = 4.0
	faultDuration         = 400_000 // duration of loss, duplication and delay of messages
	// agreementTime is the time within which all fronts agree after all links work and the nodes no longer change: old evidence
	// expires, and fronts that lost newer evidence request it from the next fronts by rank.
	agreementTime = smallEvidenceLifetime + 4*smallTakeover
	// maxAnswerTime is the maximum time to answer a ProbeRequested: waiting for evidence, for this front's turn by rank and
	// for its probe.
	maxAnswerTime = smallEvidenceLifetime + (maxRequestRounds+3)*smallTakeover + second
)

func newTrial(seed uint64, fronts, nodes int, mutate func(m *Monitor)) *trial {
	t := &trial{
		cutLinks: map[[2]int]bool{}, cutReach: map[int]bool{}, silentObservations: map[silentObservation]scheduler.Micros{},
		sent: map[int][]sentBytes{}, probeStarts: map[int]map[string]scheduler.Micros{}, mutate: mutate,
	}
	probers := 2 + int(seed%2)*min(1, fronts-2)
	t.simulation = newSimulation(seed, zonesOf(1, fronts), nodes, func(c *Config) {
		c.Probers, c.EvidenceLifetime, c.TakeoverAfter, c.MessageRate = probers, smallEvidenceLifetime, smallTakeover, smallBytes
	})
	t.encoded, t.link, t.reaches, t.onAction = true, t.deliveryDelays, t.reach, t.audit
	t.onSuccess = t.checkSuccess
	t.onWrongAvoidance = func(f *simFront, node string) {
		t.addViolation("front %d avoids %s, which is not running according to the endpoint list", f.number, node)
	}
	if mutate != nil {
		for _, f := range t.fronts {
			mutate(f.monitor)
		}
	}
	return t
}

func (t *trial) deliveryDelays(from, to int) []scheduler.Micros {
	const baseDelay = 500
	switch {
	case t.cutLinks[[2]int{from, to}]:
		return nil
	case t.now < t.loseUntil:
		return nil
	case t.now < t.copyUntil:
		return []scheduler.Micros{baseDelay, baseDelay + 30_000, baseDelay + 400_000}
	case t.now < t.delayUntil:
		return []scheduler.Micros{700_000}
	}
	return []scheduler.Micros{baseDelay + scheduler.Micros(t.random.IntN(1000))}
}

func (t *trial) reach(front int, _ *simNode) bool { return !t.cutReach[front] }

func (t *trial) addViolation(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf("%d ms: ", (t.now-1_000_000_000)/1000)+fmt.Sprintf(format, args...))
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
		if !front.removed {
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
		t.loseUntil = t.now + faultDuration
	case copySome:
		t.copyUntil = t.now + faultDuration
	case delaySome:
		t.delayUntil = t.now + faultDuration
	}
}

// leave ends a front permanently, if at least a quorum remains.
func (t *trial) leave(f *simFront) {
	living := 0
	for _, other := range t.fronts {
		if !other.removed {
			living++
		}
	}
	if living > f.config.Quorum && !f.removed {
		f.removed, f.paused, f.deferred = true, false, nil
		f.generation++
	}
}

func (t *trial) crash(f *simFront) {
	t.startFront(f)
	if t.mutate != nil {
		t.mutate(f.monitor)
	}
}

// listAll delivers a change of the endpoint list to the fronts, one every 3 ms.
func (t *trial) listAll(l EndpointsChanged) {
	for i, f := range t.fronts {
		t.at(t.now+scheduler.Micros(i)*3000, func() {
			if f.paused {
				t.deliverAt(f, t.now, l)
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
	t.loseUntil, t.copyUntil, t.delayUntil = 0, 0, 0
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
	total := second/4 + agreementTime
	for _, m := range moves {
		total += m.wait
	}
	t.load(smallRequestRate, t.nodes, begin+total)
	t.run(begin + second/4)
	for _, m := range moves {
		t.apply(m)
		t.run(t.now + m.wait)
		t.checkProbeRequests()
	}
	t.heal()
	t.run(t.now + agreementTime)
	t.checkProbeRequests()
	t.checkAgreement()
	return t.violations
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// staleEvidenceMoves returns moves after which evidence about an earlier start of a node arrives after its restart.
func staleEvidenceMoves(node int) []move {
	return []move{{nodeDies, node, 20_000}, {delaySome, 0, 300_000}, {nodeRestarts, node, 120_000}, {nodeDies, node, 1_100_000}}
}

// randomMoves returns a random schedule; one in four begins with staleEvidenceMoves.
func randomMoves(random *rand.Rand) (moves []move) {
	if random.IntN(4) == 0 {
		moves = staleEvidenceMoves(random.IntN(2))
	}
	for range 1 + random.IntN(6) {
		moves = append(moves, move{fault(random.IntN(int(faultCount))), random.IntN(4), moveWaits[random.IntN(len(moveWaits))]})
	}
	return moves
}
