package saver

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"otterturn/internal/state/decay"
	"otterturn/internal/state/snapshot"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// simulatedFront simulates a front's process, in virtual time, with one node that answers at once and with its snapshot files.
type simulatedFront struct {
	t            *testing.T
	rng          *rand.Rand
	settings     scheduler.Settings
	now          scheduler.Micros
	sched        *scheduler.Scheduler
	lastFile     []byte           // contents of the last file
	previousFile []byte           // contents of the file before it
	pendingFile  []byte           // contents of a save in progress, nil for none
	level        float64          // exact level of the token bucket, which no crash affects
	levelAt      scheduler.Micros // time of level
	drawn        float64          // units sent
	saveWanted   bool             // the scheduler wants a save before the regular time
	ids          int
	outcomes     []scheduler.Event // outcomes of attempts for the next step
}

const volume = "limited"

func newFront(t *testing.T, seed uint64) *simulatedFront {
	settings := testsupport.Settings()
	settings.Plans = []scheduler.Plan{{Weight: 1, Limit: 12, Burst: 36}}
	settings.Lease, settings.RecordLifetime = 500_000, 6_000_000
	f := &simulatedFront{t: t, rng: rand.New(rand.NewPCG(seed, 1)), settings: settings, now: 1_800_000_000_000_000}
	f.levelAt = f.now
	f.start()
	return f
}

// start simulates the start of a process, which restores the parts of its files that are still valid.
func (f *simulatedFront) start() {
	var err error
	if f.sched, err = scheduler.New(f.settings, f.rng.Int64()); err != nil {
		f.t.Fatal(err)
	}
	f.outcomes, f.pendingFile = nil, nil
	list := scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}}
	f.sched.Step(f.now, []scheduler.Event{list})
	now := decay.Current{
		At: f.now, Front: "f", Settings: snapshot.Fingerprint(f.settings), Fresh: f.sched.NewNodeStats(),
		Nodes: []snapshot.Node{{LearnedNode: scheduler.LearnedNode{Endpoint: list.Endpoints[0]}}},
	}
	for i, file := range [][]byte{f.lastFile, f.previousFile} {
		if snap, err := snapshot.Decode(file); err == nil && decay.Check(snap, now) == nil {
			f.sched.ImportLearned(f.now, decay.Decay(snap, now, i > 0))
			return
		}
		if i == 0 {
			f.lastFile = nil // set aside
		}
	}
}

// step passes events to the scheduler and checks that the attempts it starts stay within the limit.
func (f *simulatedFront) step(events ...scheduler.Event) {
	for _, a := range f.sched.Step(f.now, append(f.outcomes, events...)) {
		if _, ok := a.(scheduler.SaveState); ok {
			f.saveWanted = true
		}
		if send, ok := a.(scheduler.StartAttempt); ok {
			const units = 3
			plan := f.settings.Plans[0]
			f.level = min(plan.Burst, f.level+plan.Limit*float64(f.now-f.levelAt)/1e6) - units
			f.levelAt, f.drawn = f.now, f.drawn+units
			if f.level < -1e-6 {
				f.t.Fatalf("%.3f units over the limit", -f.level)
			}
			defer func() {
				f.outcomes = append(f.outcomes, scheduler.AttemptEnded{ID: send.ID, Result: scheduler.OK, Latency: 1000, Final: true})
			}()
		}
	}
	f.outcomes = nil
}

func (f *simulatedFront) submitRequest() {
	f.ids++
	f.step(scheduler.Request{ID: fmt.Sprint(f.ids), Volume: volume, Units: 3, TimeLeft: 500_000})
}

func (f *simulatedFront) save() {
	snap := snapshot.Snapshot{Front: "f", Settings: snapshot.Fingerprint(f.settings), Saved: f.now}
	for from := 0; ; {
		l, next := f.sched.ExportLearned(f.now, from, 1)
		snap.VolumeUsages = append(snap.VolumeUsages, l.Volumes...)
		if from = next; from == 0 {
			break
		}
	}
	var err error
	if f.pendingFile, err = snapshot.Encode(snap); err != nil {
		f.t.Fatal(err)
	}
}

// replaceFiles makes the save in progress the last file, and the last file the one before it.
func (f *simulatedFront) replaceFiles() {
	if f.lastFile != nil {
		f.previousFile = f.lastFile
	}
	f.lastFile = f.pendingFile
}

// finishSave ends the save in progress with a random result: success, failure before the rename, or failure after the rename, which
// may or may not be undone.
func (f *simulatedFront) finishSave() {
	switch r := (scheduler.StateSaved{Readable: f.rng.IntN(4) > 0, Latest: f.rng.IntN(4) > 0}); {
	case f.pendingFile == nil:
		return
	case r.Readable && r.Latest:
		f.replaceFiles()
		f.step(r)
	case r.Readable:
		if f.rng.IntN(2) == 0 {
			f.replaceFiles()
		}
		f.step(r)
	default:
		f.step(scheduler.StateSaved{})
	}
	f.pendingFile = nil
}

// crash simulates a crash and a restart. A save in progress may have completed without the process knowing, and the file may
// be truncated.
func (f *simulatedFront) crash() {
	if f.pendingFile != nil && f.rng.IntN(2) == 0 {
		f.replaceFiles()
	}
	if f.rng.IntN(8) == 0 && len(f.lastFile) > 0 {
		f.lastFile = f.lastFile[:f.rng.IntN(len(f.lastFile))]
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
					f.submitRequest()
				}
			case n < 82:
				if f.pendingFile == nil {
					f.save()
				}
			case n < 96:
				f.finishSave()
			default:
				crashes++
				f.crash()
			}
		}
		drawn += f.drawn
	}
	if crashes < 1000 || drawn < 1000 {
		t.Fatalf("%d crashes, %.0f units drawn: too few for a meaningful test", crashes, drawn)
	}
	t.Logf("%d crashes, %.0f units drawn, none over the limit", crashes, drawn)
}

// A crash loses units of the lease that a volume has not drawn yet. With bursts of requests, each crash may cost the volume at most
// 36 units, its burst, compared with a front that never crashes.
func TestCostOfCrashesIsBounded(t *testing.T) {
	run := func(crashInterval scheduler.Micros, withRecords bool) float64 {
		f := newFront(t, 1)
		if !withRecords {
			f.settings.Lease, f.settings.RecordLifetime = 0, 0
			f.start()
		}
		end, crash, save := f.now+60_000_000, f.now+crashInterval, f.now
		for ; f.now < end; f.now += 20_000 {
			if (end-f.now)%6_000_000 < 2_000_000 { // a burst every 6 s, larger than what the bucket holds by then
				f.submitRequest()
			}
			// Saves every 2 s, or 0.2 s after the last save if the scheduler wants one.
			if withRecords && (f.now >= save || f.saveWanted && f.now >= save-1_800_000) {
				save, f.saveWanted = f.now+2_000_000, false
				f.save()
				f.replaceFiles()
				f.pendingFile = nil
				f.step(scheduler.StateSaved{Readable: true, Latest: true})
			}
			if crashInterval > 0 && f.now >= crash {
				crash, save = crash+crashInterval, f.now
				f.start()
			}
		}
		return f.drawn
	}
	uncrashed := run(0, true)
	for _, crashInterval := range []scheduler.Micros{30_000_000, 11_000_000, 5_000_000} {
		with, without := run(crashInterval, true), run(crashInterval, false)
		t.Logf("killed every %d s: %.1f%% of the units of a front that is never killed, with records; %.1f%% without", crashInterval/1e6,
			100*with/uncrashed, 100*without/uncrashed)
		if with > uncrashed || without > uncrashed {
			t.Errorf("with crashes %v and %v units were drawn, more than the %v without a crash", with, without, uncrashed)
		}
		if crashes := 60_000_000 / float64(crashInterval); uncrashed-with > crashes*36 {
			t.Errorf("%.0f crashes cost %v units, more than 36 per crash", crashes, uncrashed-with)
		}
	}
}
