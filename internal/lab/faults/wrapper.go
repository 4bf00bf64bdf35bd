package faults

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Environment variables with which Start passes parameters to the wrapper process.
const (
	channelVariable = "OTTERTURN_FAULTS_FD"    // descriptor of the socket on which the wrapper sends the filter's listener
	programVariable = "OTTERTURN_FAULTS_EXEC"  // program to run under the filter
	callsVariable   = "OTTERTURN_FAULTS_CALLS" // numbers of the system calls that the filter passes to the parent
)

// wrapperFailed is the exit status of a wrapper that could not run its program.
const wrapperFailed = 126

// ExecIfWrapper must be called first in main by a program that Start uses as its wrapper. In the wrapper process it installs the
// filter and executes the program under test in its place; in any other process it returns at once.
func ExecIfWrapper() {
	channel := os.Getenv(channelVariable)
	if channel == "" {
		return
	}
	err := execFiltered(channel, os.Getenv(programVariable), os.Getenv(callsVariable))
	fmt.Fprintln(os.Stderr, "faults:", err)
	os.Exit(wrapperFailed)
}

// execFiltered installs the filter on this thread, the only one that survives execve, and executes the program. It returns only on
// failure.
func execFiltered(channel, program, calls string) error {
	fd, err := strconv.Atoi(channel)
	if err != nil {
		return fmt.Errorf("%s: %w", channelVariable, err)
	}
	var numbers []uint32
	for _, text := range strings.Split(calls, ",") {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return fmt.Errorf("%s: %w", callsVariable, err)
		}
		numbers = append(numbers, uint32(n))
	}
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	listener, err := installFilter(numbers)
	if err != nil {
		return fmt.Errorf("seccomp filter: %w", err)
	}
	if err := unix.Sendmsg(fd, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send the filter's listener: %w", err)
	}
	unix.Close(fd)
	for _, name := range []string{channelVariable, programVariable, callsVariable} {
		os.Unsetenv(name)
	}
	return fmt.Errorf("exec %s: %w", program, unix.Exec(program, os.Args, os.Environ()))
}

// Instructions of a classic BPF program over struct seccomp_data, whose first field is the system call number.
const (
	loadWord     = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	jumpIfEqual  = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	returnValue  = unix.BPF_RET | unix.BPF_K
	numberOffset = 0
)

// installFilter makes the given calls wait for an answer from the listener, on this thread and on all its descendants.
func installFilter(calls []uint32) (listener int, err error) {
	program := []unix.SockFilter{{Code: loadWord, K: numberOffset}}
	for i, number := range calls {
		toNotify := uint8(len(calls) - i)
		program = append(program, unix.SockFilter{Code: jumpIfEqual, Jt: toNotify, K: number})
	}
	program = append(program,
		unix.SockFilter{Code: returnValue, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: returnValue, K: unix.SECCOMP_RET_USER_NOTIF})
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	// Without WAIT_KILLABLE_RECV, signals of the Go runtime would interrupt and repeat the waiting calls.
	flags := uintptr(unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV)
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&filter)))
	runtime.KeepAlive(program)
	if errno != 0 {
		return 0, errno
	}
	return int(fd), nil
}
