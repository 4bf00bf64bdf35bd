package authority

import (
	"net/http"
	"sync"
	"time"
)

// Fault is a fault at a step of the protocol, with the time in which it occurs.
type Fault struct {
	Step  string        `toml:"step"`  // directory, nonce, account, order, authz, challenge, finalize, cert, key, revoke, info, or "" for all
	Do    string        `toml:"do"`    // refuse, reject, limit, stall, cut, nonsense, nonces, invalid, forget, wrong key, wrong names, wrong time
	After time.Duration `toml:"after"` // starts this long after Set
	For   time.Duration `toml:"for"`   // lasts this long, 0 for no end
	Times int           `toml:"times"` // occurs at most this often, 0 for no bound
	Retry time.Duration `toml:"retry"` // Retry-After of "limit"
}

// Faults is a script of faults. It may be changed while the authority runs.
type Faults struct {
	mu    sync.Mutex
	start time.Time
	list  []Fault
	count int
}

// Count returns how many faults have occurred.
func (f *Faults) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Set replaces the script. The times of its faults count from this call.
func (f *Faults) Set(list ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start, f.list = time.Now(), list
}

// take returns the fault that occurs at a step now, nil for none, and counts it.
func (f *Faults) take(step string) *Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := time.Since(f.start)
	for i := range f.list {
		x := &f.list[i]
		if x.Step != "" && x.Step != step || since < x.After || x.For > 0 && since >= x.After+x.For || x.Times < 0 {
			continue
		}
		if x.Times > 0 {
			if x.Times--; x.Times == 0 {
				x.Times = -1
			}
		}
		f.count++
		found := *x
		return &found
	}
	return nil
}

// applyFault applies a fault that replaces the answer, and reports whether there was one.
func (a *Authority) applyFault(w http.ResponseWriter, r *http.Request, f *Fault) bool {
	switch {
	case f == nil:
		return false
	case f.Do == "refuse":
		a.fail(w, newProblem(http.StatusInternalServerError, "serverInternal", "the authority is down"))
	case f.Do == "reject":
		a.fail(w, newProblem(http.StatusForbidden, "rejectedIdentifier", "the authority will not certify this"))
	case f.Do == "limit":
		p := newProblem(http.StatusTooManyRequests, "rateLimited", "rate limit exceeded")
		p.retryAfter = f.Retry
		a.fail(w, p)
	case f.Do == "nonces":
		a.fail(w, newProblem(http.StatusBadRequest, "badNonce", "nonce rejected"))
	case f.Do == "forget":
		a.fail(w, newProblem(http.StatusBadRequest, "accountDoesNotExist", "no such account"))
	case f.Do == "stall":
		select {
		case <-r.Context().Done():
		case <-a.stopped:
		}
	case f.Do == "cut":
		panic(http.ErrAbortHandler)
	case f.Do == "nonsense":
		w.Write([]byte("<html>maintenance</html>"))
	default:
		return false // the fault changes the answer of the step instead of replacing it
	}
	return true
}
