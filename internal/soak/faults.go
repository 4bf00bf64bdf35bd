package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/lab/faults"
	"otterturn/internal/soak/audit"
	"otterturn/internal/soak/peers"
)

// restartOnce restarts a front once while the seed's faults are active: it sends SIGTERM, then SIGKILL at the earliest permitted
// moment (or SIGKILL alone), and starts a new process.
func (f *front) restartOnce(ctx context.Context) error {
	rng := f.random
	if !sleep(ctx, between(rng, 300*time.Millisecond, 2500*time.Millisecond)) {
		return nil
	}
	if !f.appliance && rng.IntN(2) == 0 {
		if err := f.reload(pick(rng, deadlines)); err != nil {
			return err
		}
		for range rng.IntN(maxFurtherReloads) { // the same file again, in quick succession
			f.signal(syscall.SIGHUP)
			time.Sleep(5 * time.Millisecond)
		}
	}
	if rng.IntN(8) == 0 {
		f.kill() // without SIGTERM
	} else {
		f.shutDown(ctx)
	}
	f.setOpen(false)
	if ctx.Err() != nil {
		return nil
	}
	return f.start()
}

// maxFurtherReloads bounds the signals of a series of reloads.
const maxFurtherReloads = 4

// shutDown sends SIGTERM, and SIGKILL at the earliest permitted moment. The random source may add faults, stalls and further signals
// around SIGTERM.
func (f *front) shutDown(ctx context.Context) {
	rng := f.random
	f.recordViolations()
	if rng.IntN(2) == 0 {
		f.injectFault(between(rng, 100*time.Millisecond, 700*time.Millisecond), false)
	}
	stalled := rng.IntN(4) == 0 // while the signal arrives
	began := time.Now()
	f.run.record.UpdateProcess(f.process, func(p *audit.Process) {
		p.TermAt = f.run.clock()
		p.KillDue = p.TermAt + killAfter(f.longest)
	})
	kill := began.Add(killAfter(f.longest))
	if stalled {
		go f.stall(stallTime)
		time.Sleep(5 * time.Millisecond)
	}
	f.signal(syscall.SIGTERM)
	go f.sendSignals(rng.IntN(8), kill)
	if delay := between(rng, 0, killAfter(f.longest)); rng.IntN(2) == 0 && (!stalled || delay > 2*stallTime) {
		time.AfterFunc(delay, func() {
			if time.Until(kill) > stallTime {
				f.stall(stallTime)
			}
		})
	}
	if rng.IntN(3) == 0 {
		sleep(ctx, between(rng, 0, killAfter(f.longest)/2))
		f.injectFault(between(rng, 100*time.Millisecond, 500*time.Millisecond), false)
	}
	if sleep(ctx, time.Until(began.Add(connectWindow))) {
		f.setOpen(false)
	}
	for time.Until(kill) > time.Millisecond && !f.hasEnded() {
		time.Sleep(min(5*time.Millisecond, time.Until(kill)))
		if left := time.Until(kill); left < 60*time.Millisecond && left > 50*time.Millisecond {
			f.recordViolations()
		}
	}
	f.kill()
}

// sendSignals sends further signals after the first SIGTERM.
func (f *front) sendSignals(kind int, kill time.Time) {
	for _, s := range [][]syscall.Signal{
		{syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGHUP}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	}[min(kind, 2)] {
		if kind > 2 || time.Until(kill) < 100*time.Millisecond {
			return
		}
		time.Sleep(30 * time.Millisecond)
		f.signal(s)
	}
}

// injectFault makes a randomly chosen system call of the front fail for a time.
func (f *front) injectFault(span time.Duration, files bool) {
	f.mu.Lock()
	injector := f.injector
	f.mu.Unlock()
	from := socketFailures
	switch {
	case files:
		from = fileFailures
	case f.number%3 == 1 && f.randomBelow(2) == 0:
		from = streamFailures
	}
	chosen := from[f.randomBelow(len(from))]
	if chosen.call == unix.SYS_ACCEPT4 {
		if span = min(span, maxAcceptFailureTime); !f.reserveAcceptFailure() {
			return
		}
	}
	rule := faults.Rule{
		Call: chosen.call, Err: chosen.errs[f.randomBelow(len(chosen.errs))], Match: chosen.match, Until: time.Now().Add(span),
	}
	if rule.Err == unix.EINTR || rule.Err == unix.ECONNABORTED || chosen.call == unix.SYS_READ || chosen.call == unix.SYS_WRITE {
		rule.Times = maxTransientFailures
	}
	injector.Inject(rule)
}

// maxTransientFailures bounds how often a call fails with an error that Linux returns once per signal or per aborted connection. The
// standard library repeats such a call at once, and would do nothing else while the call keeps failing.
const maxTransientFailures = 20

// Bounds of injected accept failures: with longer or more frequent ones no front could answer in time.
const (
	maxAcceptFailureTime     = 300 * time.Millisecond
	minAcceptFailureInterval = time.Second
)

func (f *front) reserveAcceptFailure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.acceptFailedAt) < minAcceptFailureInterval {
		return false
	}
	f.acceptFailedAt = time.Now()
	return true
}

// randomBelow returns a random number below n. It is safe for concurrent use.
func (f *front) randomBelow(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faultRandom.IntN(n)
}

// injectFaults injects faults into nodes, fronts, discovery and the file server until ctx ends.
func (r *Run) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.scenario.Seed, 2))
	behaviors := []peers.Behavior{peers.Slow, peers.Hanging, peers.Resetting, peers.Rejecting, peers.Failing}
	for sleep(ctx, between(rng, 50*time.Millisecond, 350*time.Millisecond)) {
		node, front := pick(rng, r.nodes), pick(rng, r.fronts)
		span := between(rng, 200*time.Millisecond, 2500*time.Millisecond)
		switch rng.IntN(7) {
		case 0, 1, 2:
			node.SetBehavior(pick(rng, behaviors))
			time.AfterFunc(span, func() { node.SetBehavior(peers.Healthy) })
		case 3:
			front.injectFault(min(span, 600*time.Millisecond), front.appliance && rng.IntN(2) == 0)
		case 4:
			r.drain(node, span)
		case 5:
			if front.agent != nil {
				front.agent.Silence(min(span, time.Second))
			}
		case 6:
			r.files.SetDelay(pick(rng, []time.Duration{peers.Healthy.Delay, time.Minute}))
			time.AfterFunc(span, func() { r.files.SetDelay(peers.Healthy.Delay) })
		}
	}
}

// drain puts a node into draining for a time. It records the drain for each front whose agent is not silent; the other fronts learn of
// it later and are not checked.
func (r *Run) drain(node *peers.Node, span time.Duration) {
	if !r.draining.TryLock() { // only one node drains at a time, so that each shard keeps a node
		return
	}
	now := r.clock()
	r.discovery.SetHealth(node.Name, "draining")
	for _, f := range r.fronts {
		if f.agent != nil && f.agent.IsResponding() {
			r.record.AddDrain(audit.Drain{Process: f.currentProcess(), Node: node.Name, AnnouncedAt: now, Until: now + span})
		}
	}
	time.AfterFunc(span, func() {
		r.discovery.SetHealth(node.Name, "up")
		r.draining.Unlock()
	})
}

func (f *front) currentProcess() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.process
}

// sleep waits for d, and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
