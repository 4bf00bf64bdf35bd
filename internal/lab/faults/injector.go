// Package faults makes system calls of a child process fail in the ways that Linux documents, without special rights: a seccomp
// filter passes selected calls to the parent (user notification, seccomp_unotify(2)), which lets each call continue, delays it or
// fails it with an error. Unlike a preloaded library that replaces functions of the C library, the filter also covers the system calls
// that a Go program makes directly.
package faults

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Rule makes calls of one system call fail or wait. A rule without Times and Until applies until Clear.
type Rule struct {
	Call  uintptr                               // number of the system call
	Err   unix.Errno                            // error that the call returns; 0 if the call continues after Delay
	Delay time.Duration                         // delay of the call
	Times int                                   // number of calls that the rule applies to, 0 for no bound
	Until time.Time                             // end of the rule, zero for none
	Match func(pid uint32, args [6]uint64) bool // restricts the rule to some calls, nil for all
}

// Injector applies rules to the system calls of one child process.
type Injector struct {
	listener int
	ended    chan struct{}

	mu       sync.Mutex
	rules    []*Rule
	injected map[uintptr]int
}

// Start starts a command under a filter that passes the given system calls to the Injector. wrapper is a program whose main function
// begins with ExecIfWrapper.
func Start(cmd *exec.Cmd, wrapper string, calls ...uintptr) (*Injector, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	defer unix.Close(pair[0])
	child := os.NewFile(uintptr(pair[1]), "faults")
	defer child.Close()
	var numbers []string
	for _, c := range calls {
		numbers = append(numbers, strconv.FormatUint(uint64(c), 10))
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", channelVariable, 3+len(cmd.ExtraFiles)),
		programVariable+"="+cmd.Path, callsVariable+"="+strings.Join(numbers, ","))
	cmd.ExtraFiles = append(cmd.ExtraFiles, child)
	cmd.Path = wrapper
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	child.Close()
	listener, err := receiveListener(pair[0])
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	i := &Injector{listener: listener, ended: make(chan struct{}), injected: map[uintptr]int{}}
	go i.serve()
	return i, nil
}

var errNoListener = errors.New("wrapper process ended before it sent the filter's listener")

func receiveListener(channel int) (int, error) {
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	n, size, _, _, err := unix.Recvmsg(channel, data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, errNoListener
	}
	messages, err := unix.ParseSocketControlMessage(control[:size])
	if err != nil || len(messages) != 1 {
		return 0, errors.Join(errNoListener, err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return fds[0], nil
}

// Inject adds a rule. The first rule that matches a call applies.
func (i *Injector) Inject(r Rule) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rules = append(i.rules, &r)
}

// Clear removes all rules.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rules = nil
}

// Injected returns how many calls of a system call have failed or been delayed.
func (i *Injector) Injected(call uintptr) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.injected[call]
}

// takeRule returns the rule that applies to a call, if there is one, and counts the call.
func (i *Injector) takeRule(n *notification) (Rule, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.rules = slices.DeleteFunc(i.rules, func(r *Rule) bool { return !r.Until.IsZero() && now.After(r.Until) })
	for index, r := range i.rules {
		if uintptr(n.number) != r.Call || r.Match != nil && !r.Match(n.pid, n.args) {
			continue
		}
		chosen := *r
		if r.Times > 0 {
			if r.Times--; r.Times == 0 {
				i.rules = slices.Delete(i.rules, index, index+1)
			}
		}
		i.injected[r.Call]++
		return chosen, true
	}
	return Rule{}, false
}

// notification is the kernel's struct seccomp_notif.
type notification struct {
	id     uint64
	pid    uint32
	flags  uint32
	number int32
	arch   uint32
	ip     uint64
	args   [6]uint64
}

// response is the kernel's struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	err   int32
	flags uint32
}

// continueCall makes the kernel execute a call as if there were no filter.
const continueCall = unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE

// serve answers notifications until the child has ended.
func (i *Injector) serve() {
	defer close(i.ended)
	defer unix.Close(i.listener)
	for {
		pollFDs := []unix.PollFd{{Fd: int32(i.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(pollFDs, -1); err != nil && err != unix.EINTR {
			return
		}
		if pollFDs[0].Revents&unix.POLLIN == 0 {
			if pollFDs[0].Revents != 0 {
				return
			}
			continue
		}
		var n notification
		if i.ioctl(unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)) != 0 {
			continue // the call was interrupted
		}
		rule, found := i.takeRule(&n)
		switch {
		case !found:
			i.answer(response{id: n.id, flags: continueCall})
		case rule.Delay > 0:
			time.AfterFunc(rule.Delay, func() { i.answer(rule.response(n.id)) })
		default:
			i.answer(rule.response(n.id))
		}
	}
}

func (r Rule) response(id uint64) response {
	if r.Err == 0 {
		return response{id: id, flags: continueCall}
	}
	return response{id: id, err: -int32(r.Err)}
}

// answer sends the response to a notification. The error is ignored, as it occurs only after the child has ended.
func (i *Injector) answer(r response) { i.ioctl(unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)) }

func (i *Injector) ioctl(request uintptr, argument unsafe.Pointer) unix.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(i.listener), request, uintptr(argument))
	return errno
}

// RegularFile is a Match for calls whose first argument is a descriptor of a file outside /dev.
func RegularFile(pid uint32, args [6]uint64) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", pid, args[0]))
	return err == nil && strings.HasPrefix(name, "/") && !strings.HasPrefix(name, "/dev/")
}

// AnySocket is a Match for calls whose first argument is a descriptor of a socket.
func AnySocket(pid uint32, args [6]uint64) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", pid, args[0]))
	return err == nil && strings.HasPrefix(name, "socket:")
}

// StreamSocket is a Match for socket(2) that selects TCP sockets over IPv4.
func StreamSocket(_ uint32, args [6]uint64) bool {
	return args[0] == unix.AF_INET && args[1]&0xf == unix.SOCK_STREAM
}
