// Package soak runs real processes of the program under faults that overlap in time, drawn by a seed, and has an auditor judge what
// clients, nodes and the platform saw. The program is known by its command line, its settings and its protocols alone.
package soak

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/lab/faults"
)

// Terms of a shutdown, as the operators' pages give them.
const (
	killMaxDeadline = 3 * time.Second
	killExtra       = 700 * time.Millisecond
	connectsUntil   = 300 * time.Millisecond // behind SIGTERM new connections come
	holdUp          = 150 * time.Millisecond // for which a front is stopped at the most
)

// killAfter is when SIGKILL comes behind SIGTERM, by the longest deadline of the settings in force.
func killAfter(longest time.Duration) time.Duration { return min(longest, killMaxDeadline) + killExtra }

// Sizes of a run.
const (
	runTime      = 10 * time.Second
	usualFronts  = 10
	crowdFronts  = 36
	usualClients = 8 // of a front
	crowdClients = 4
	nodeCount    = 6
	shardCount   = 3
)

// Scenario is what a seed draws.
type Scenario struct {
	Seed     uint64
	Crowd    bool
	Fronts   int
	Clients  int // of a front
	Longest  time.Duration
	Window   time.Duration // within which nodes drop repetitions
	ConnIdle time.Duration
	Connect  time.Duration
	Probing  bool
}

// deadlines are the longest deadlines that settings may name.
var deadlines = []time.Duration{
	300 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second,
}

// NewScenario draws one.
func NewScenario(seed uint64, crowd bool) Scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := Scenario{
		Seed: seed, Crowd: crowd, Fronts: usualFronts, Clients: usualClients,
		Longest:  pick(rng, deadlines),
		Window:   time.Duration(500+rng.IntN(2500)) * time.Millisecond,
		ConnIdle: time.Duration(1500+rng.IntN(4000)) * time.Millisecond,
		Connect:  time.Duration(250+rng.IntN(250)) * time.Millisecond,
		Probing:  rng.IntN(2) == 0,
	}
	if crowd {
		s.Fronts, s.Clients = crowdFronts, crowdClients
	}
	return s
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// between draws a time.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)+1))
}

// failure is a system call with the errors that Linux documents for it on the descriptors that a front has.
type failure struct {
	call  uintptr
	errs  []unix.Errno
	match func(pid uint32, args [6]uint64) bool
}

// socketFailures are those of accept(2), socket(2) and connect(2) on TCP.
var socketFailures = []failure{
	{call: unix.SYS_ACCEPT4, errs: []unix.Errno{
		unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EPROTO, unix.ENETDOWN,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT,
	}},
	{call: unix.SYS_SOCKET, errs: []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}, match: faults.StreamSocket},
	{call: unix.SYS_CONNECT, errs: []unix.Errno{
		unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EINTR,
	}},
}

// streamFailures are those of read(2) and write(2) on a TCP connection that lives on.
var streamFailures = []failure{
	{call: unix.SYS_READ, errs: streamErrors, match: faults.AnySocket},
	{call: unix.SYS_WRITE, errs: streamErrors, match: faults.AnySocket},
}

var streamErrors = []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ETIMEDOUT}

// fileFailures are those of writes and syncs of a folder.
var fileFailures = []failure{
	{call: unix.SYS_WRITE, errs: []unix.Errno{unix.EIO, unix.ENOSPC, unix.EDQUOT}, match: faults.RegularFile},
	{call: unix.SYS_FSYNC, errs: []unix.Errno{unix.EIO, unix.ENOSPC, unix.EDQUOT}},
	{call: unix.SYS_RENAMEAT, errs: []unix.Errno{unix.EIO, unix.ENOSPC}},
}

// numbers are the calls that a filter has to hand over.
func numbers(list ...[]failure) (out []uintptr) {
	for _, failures := range list {
		for _, f := range failures {
			out = append(out, f.call)
		}
	}
	return out
}
