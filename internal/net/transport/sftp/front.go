package sftp

import (
	"crypto/tls"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/changes"
	"otterturn/internal/limits"
	"otterturn/internal/memory"
	"otterturn/internal/net/accept"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/retryconn"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// Site is the operator's configuration of the front.
type Site struct {
	Projects   []files.Project
	Sizes      files.Sizes
	Classes    [files.Roles]int           // the scheduler's class for each role
	TimeLimits [files.Roles]time.Duration // time limit of a command of the role
	RetryAfter time.Duration              // Retry-After when the front itself has no room
}

// Front serves SFTP clients.
type Front struct {
	site      Site
	limits    limits.Limits
	core      *routing.Core
	attempt   Attempter
	changes   *changeOrder
	byProject map[string]*counters // by project
	slots     chan struct{}        // holds one element per command that is submitted to the scheduler
	memory    *memory.Budget       // of transfers, shared with the HTTP front
	handles   *memory.Budget       // of the files and listings that clients have open
	ids       atomic.Int64
	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	closing   bool
	clients   sync.WaitGroup
}

// NewFront returns a front, which takes memory from a budget.
func NewFront(site Site, l limits.Limits, core *routing.Core, attempt Attempter, budget *memory.Budget) *Front {
	f := &Front{
		site: site, limits: l, core: core, attempt: attempt, conns: map[*clientConn]struct{}{},
		changes:   newChangeOrder(l.Files.Unsettled, memory.NewBudget(l.Memory.Changes), core.Log),
		byProject: map[string]*counters{}, slots: make(chan struct{}, l.Requests.Open), memory: budget, handles: memory.NewBudget(l.Memory.Handles),
	}
	for _, p := range site.Projects {
		f.byProject[p.Name] = &counters{}
	}
	return f
}

// UseStore makes the front keep its changes in progress in a store, and restores those of an earlier process. Call it before Serve.
func (f *Front) UseStore(store ChangeStore) error { return f.changes.useStore(store) }

// Unsettled returns the changes that a node may still carry out although their commands have ended, the oldest first. Their group is the
// project.
func (f *Front) Unsettled() []changes.Entry { return f.changes.unsettled() }

// Settle ends the unsettled changes that match, as an operator knows that no node will carry them out any more. It returns their number.
func (f *Front) Settle(matches func(changes.Entry) bool) int { return f.changes.settle(matches) }

// counters counts a project's commands by result.
type counters struct{ served, refused, failed, blocked atomic.Int64 }

// Count is a snapshot of a project's counters. Blocked counts changes that were refused, because a node may still carry out an earlier
// one.
type Count struct{ Served, Refused, Failed, Blocked int64 }

// Count returns how many of a project's commands ended with each result.
func (f *Front) Count(project string) Count {
	counts := f.byProject[project]
	if counts == nil {
		return Count{}
	}
	return Count{counts.served.Load(), counts.refused.Load(), counts.failed.Load(), counts.blocked.Load()}
}

func (c *counters) add(err error) {
	var refused *routing.RejectedError
	var blocked *files.ChangeRefusedError
	switch {
	case err == nil:
		c.served.Add(1)
	case errors.As(err, &blocked):
		c.blocked.Add(1)
	case errors.As(err, &refused):
		c.refused.Add(1)
	case errors.Is(err, errClientGone): // no client received a failure
	default:
		c.failed.Add(1)
	}
}

// Serve accepts clients until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	accepting := accept.New(l, f.limits.AcceptRetry, func(err error) { f.core.Log.Warn("accept failed, trying again", "error", err) })
	for {
		c, err := accepting.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, secure := c.(*tls.Conn); !secure { // a TLS connection is already wrapped below TLS
			c = retryconn.Conn{Conn: c}
		}
		if !f.admit(newClientConn(f, c)) {
			c.Close() // SFTP has no status for "too many clients" before a session
		}
	}
}

// admit starts to serve a client. It reports whether there was room for it.
func (f *Front) admit(c *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing || len(f.conns) >= f.limits.Files.Conns {
		return false
	}
	f.conns[c] = struct{}{}
	f.clients.Go(func() {
		c.serve()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, c)
	})
	return true
}

// Stop accepts no more clients and commands, waits until the accepted commands are answered, and then closes the connections.
// Requests that are still open when all must be answered are answered by the core.
func (f *Front) Stop(l net.Listener) {
	f.core.Guard.BeginShutdown(time.Now())
	l.Close()
	f.mu.Lock()
	f.closing = true
	for c := range f.conns {
		c.stop()
	}
	f.mu.Unlock()
	f.clients.Wait() // each ends by the latest deadline of its commands
}

// request returns the scheduler's request for a command, and the counters of its project. It returns an error for a command that no
// node can execute.
func (f *Front) request(cmd files.Command) (scheduler.Request, *counters, error) {
	project, ok := files.FindProject(f.site.Projects, cmd.Path)
	if !ok {
		return scheduler.Request{}, nil, files.NoSuchFile(cmd.Path)
	}
	if cmd.Target != "" {
		if to, _ := files.FindProject(f.site.Projects, cmd.Target); to.Name != project.Name {
			return scheduler.Request{}, nil, files.Unsupported("a rename between projects")
		}
	}
	role := cmd.Role(f.site.Sizes)
	return scheduler.Request{
		ID: "sftp-" + strconv.FormatInt(f.ids.Add(1), 10), Class: f.site.Classes[role],
		Plan: project.Plan, Volume: project.Name, Key: cmd.Path, Units: cmd.Units(f.site.Sizes), Shard: project.Shard,
		Fronts: 1, TimeLeft: scheduler.Micros(f.site.TimeLimits[role] / time.Microsecond),
	}, f.byProject[project.Name], nil
}
