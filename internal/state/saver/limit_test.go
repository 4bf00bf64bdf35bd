package saver

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"otterturn/internal/standin"
	"otterturn/internal/state/decay"
	"otterturn/internal/state/snapshot"
	"otterturn/scheduler"
)

// front simulates a front's process, in virtual time, with one node that answers at once and with its snapshot files.
type front struct {
	t       *testing.T
	rng     *rand.Rand
	set     scheduler.Settings
	now     scheduler.Micros
	s       *scheduler.Scheduler
	disk    []byte           // contents of the last file
	before  []byte           // contents of the file before it
	writing []byte           // contents of a save in progress, nil for none
	level   float64          // exact level of the token bucket, which no crash affects
	at      scheduler.Micros // time of level
	drawn   float64          // units sent
	wanted  bool             // the scheduler wants a save before the regular time
	ids     int
	out     []scheduler.Event // outcomes of attempts for the next step
}

const volume = "limited"

func newFront(t *testing.T, seed uint64) *front {
	set := standin.Settings()
	set.Plans = []scheduler.Plan{{Weight: 1, Limit: 12, Burst: 36}}
	set.Lease, set.RecordLifetime = 500_000, 6_000_000
	f := &front{t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: set, now: 1_800_000_000_000_000}
	f.at = f.now
	f.start()
	return f
}

// start simulates the start of a process, which restores the parts of its files that are still valid.
func (f *front) start() {
	var err error
	if f.s, err = scheduler.New(f.set, f.rng.Int64()); err != nil {
		f.t.Fatal(err)
	}
	f.out, f.writing = nil, nil
	list := scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}}
	f.s.Step(f.now, []scheduler.Event{list})
	now := decay.Current{
		At: f.now, Front: "f", Settings: snapshot.Fingerprint(f.set), Fresh: f.s.NewNodeStats(),
		Nodes: []snapshot.Node{{LearnedNode: scheduler.LearnedNode{Endpoint: list.Endpoints[0]}}},
	}
	for i, file := range [][]byte{f.disk, f.before} {
		if snap, err := snapshot.Decode(file); err == nil && decay.Check(snap, now) == nil {
			f.s.ImportLearned(f.now, decay.Decay(snap, now, i > 0))
			return
		}
		if i == 0 {
			f.disk = nil // set aside
		}
	}
}

// step passes events to the scheduler and checks that the attempts it starts stay within the limit.
func (f *front) step(events ...scheduler.Event) {
	for _, a := range f.s.Step(f.now, append(f.out, events...)) {
		if _, ok := a.(scheduler.SaveState); ok {
			f.wanted = true
		}
		if send, ok := a.(scheduler.StartAttempt); ok {
			const units = 3
			plan := f.set.Plans[0]
			f.level = min(plan.Burst, f.level+plan.Limit*float64(f.now-f.at)/1e6) - units
			f.at, f.drawn = f.now, f.drawn+units
			if f.level < -1e-6 {
				f.t.Fatalf("%.3f units over the limit", -f.level)
			}
			defer func() {
				f.out = append(f.out, scheduler.AttemptEnded{ID: send.ID, Result: scheduler.OK, Latency: 1000, Final: true})
			}()
		}
	}
	f.out = nil
}

func (f *front) ask() {
	f.ids++
	f.step(scheduler.Request{ID: fmt.Sprint(f.ids), Volume: volume, Units: 3, TimeLeft: 500_000})
}

func (f *front) save() {
	snap := snapshot.Snapshot{Front: "f", Settings: snapshot.Fingerprint(f.set), Saved: f.now}
	for from := 0; ; {
		l, next := f.s.ExportLearned(f.now, from, 1)
		snap.Accounts = append(snap.Accounts, l.Volumes...)
		if from = next; from == 0 {
			break
		}
	}
	var err error
	if f.writing, err = snapshot.Encode(snap); err != nil {
		f.t.Fatal(err)
	}
}

// moved makes the save in progress the last file, and the last file the one before it.
func (f *front) moved() {
	if f.disk != nil {
		f.before = f.disk
	}
	f.disk = f.writing
}

// saved ends the save in progress with a random result: success, failure before the rename, or failure after the rename, which
// may or may not be undone.
func (f *front) saved() {
	switch r := (scheduler.StateSaved{Readable: f.rng.IntN(4) > 0, Latest: f.rng.IntN(4) > 0}); {
	case f.writing == nil:
		return
	case r.Readable && r.Latest:
		f.moved()
		f.step(r)
	case r.Readable:
		if f.rng.IntN(2) == 0 {
			f.moved()
		}
		f.step(r)
	default:
		f.step(scheduler.StateSaved{})
	}
	f.writing = nil
}

// die simulates a crash and a restart. A save in progress may have completed without the process knowing, and the file may
// be truncated.
func (f *front) die() {
	if f.writing != nil && f.rng.IntN(2) == 0 {
		f.moved()
	}
	if f.rng.IntN(8) == 0 && len(f.disk) > 0 {
		f.disk = f.disk[:f.rng.IntN(len(f.disk))]
	}
	f.now += scheduler.Micros(f.rng.Int64N([]int64{1, 100_000, 2_000_000, 10_000_000}[f.rng.IntN(4)]))
	f.start()
}

// A volume's limit must hold across any number of crashes at any time, with saves that fail, are undone or leave a truncated
// file. Each seed is one history of 600 steps with requests, saves and crashes.
func TestLimitHoldsThroughCrashes(t *testing.T) {
	crashes, drawn := 0, 0.0
	for seed := range uint64(300) {
		f := newFront(t, seed)
		for range 600 {
			f.now += scheduler.Micros(f.rng.Int64N([]int64{1000, 20_000, 400_000}[f.rng.IntN(3)]))
			switch n := f.rng.IntN(100); {
			case n < 70:
				for range 1 + f.rng.IntN(4) {
					f.ask()
				}
			case n < 82:
				if f.writing == nil {
					f.save()
				}
			case n < 96:
				f.saved()
			default:
				crashes++
				f.die()
			}
		}
		drawn += f.drawn
	}
	if crashes < 1000 || drawn < 1000 {
		t.Fatalf("%d crashes, %.0f units drawn: too few for a meaningful test", crashes, drawn)
	}
	t.Logf("%d crashes, %.0f units drawn, none over the limit", crashes, drawn)
}

// Each crash may cost a volume with bursts of requests at most one lease, compared with a front that never crashes.
func TestCostOfALease(t *testing.T) {
	run := func(every scheduler.Micros, keep bool) float64 {
		f := newFront(t, 1)
		if !keep {
			f.set.Lease, f.set.RecordLifetime = 0, 0
			f.start()
		}
		end, crash, save := f.now+60_000_000, f.now+every, f.now
		for ; f.now < end; f.now += 20_000 {
			if (end-f.now)%6_000_000 < 2_000_000 { // a burst every 6 s, larger than what the bucket holds by then
				f.ask()
			}
			if keep && (f.now >= save || f.wanted && f.now >= save-1_800_000) { // every 2 s, or 0.2 s after the last save if one is wanted
				save, f.wanted = f.now+2_000_000, false
				f.save()
				f.moved()
				f.writing = nil
				f.step(scheduler.StateSaved{Readable: true, Latest: true})
			}
			if every > 0 && f.now >= crash {
				crash, save = crash+every, f.now
				f.start()
			}
		}
		return f.drawn
	}
	never := run(0, true)
	for _, every := range []scheduler.Micros{30_000_000, 11_000_000, 5_000_000} {
		with, without := run(every, true), run(every, false)
		t.Logf("killed every %d s: %.1f%% of the units of a front that is never killed, with records; %.1f%% without", every/1e6,
			100*with/never, 100*without/never)
		if with > never || without > never {
			t.Errorf("with crashes %v and %v units were drawn, more than the %v without a crash", with, without, never)
		}
		if crashes := 60_000_000 / float64(every); never-with > crashes*36 {
			t.Errorf("%.0f crashes cost %v units, more than one lease per crash", crashes, never-with)
		}
	}
}
