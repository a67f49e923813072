//go:build linux && (amd64 || arm64)

// Package sysfault starts a process and makes chosen system calls of it fail, or transfer fewer bytes than requested, as their manual
// pages document. It traces the process with ptrace(2) and stops it only at the chosen calls, by means of a seccomp(2) filter that the
// process installs on itself before it executes the program. It needs no privileges and affects only the process that it starts.
//
// A program that uses the package must call Main before anything else: the traced process starts as a second copy of that program.
package sysfault

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is the number of a system call.
type Call uint64

// The system calls that can be chosen: those that Go programs make on sockets, and some on files.
const (
	Read        Call = unix.SYS_READ
	Write       Call = unix.SYS_WRITE
	RecvFrom    Call = unix.SYS_RECVFROM
	Accept      Call = unix.SYS_ACCEPT4
	Connect     Call = unix.SYS_CONNECT
	NewSocket   Call = unix.SYS_SOCKET
	Poll        Call = unix.SYS_PPOLL // golang.org/x/sys implements poll(2) with it
	EpollCtl    Call = unix.SYS_EPOLL_CTL
	GetSockOpt  Call = unix.SYS_GETSOCKOPT
	SetSockOpt  Call = unix.SYS_SETSOCKOPT
	GetSockName Call = unix.SYS_GETSOCKNAME
	GetPeerName Call = unix.SYS_GETPEERNAME
	Fcntl       Call = unix.SYS_FCNTL
	Shutdown    Call = unix.SYS_SHUTDOWN
	Bind        Call = unix.SYS_BIND
	SendMsg     Call = unix.SYS_SENDMSG // with it, descriptors are passed along with data
	RecvMsg     Call = unix.SYS_RECVMSG
	Rename      Call = unix.SYS_RENAMEAT
	OpenFile    Call = unix.SYS_OPENAT
	Close       Call = unix.SYS_CLOSE // a real close frees the descriptor whatever it returns; a call that is made to fail leaves it open
)

var callNames = map[Call]string{Read: "read", Write: "write", RecvFrom: "recvfrom", Accept: "accept4", Connect: "connect", NewSocket: "socket",
	Poll: "ppoll", EpollCtl: "epoll_ctl", GetSockOpt: "getsockopt", SetSockOpt: "setsockopt", GetSockName: "getsockname", GetPeerName: "getpeername",
	Fcntl: "fcntl", Shutdown: "shutdown", Close: "close", Bind: "bind", SendMsg: "sendmsg", RecvMsg: "recvmsg", Rename: "renameat", OpenFile: "openat"}

// String returns the name of the system call.
func (c Call) String() string { return callNames[c] }

// Event is a system call that the process is about to make.
type Event struct {
	Call Call
	Socket
	Path   string // of the file that is opened or renamed
	Option Option // the option that is read or set
}

// Socket describes the socket that a system call operates on. It is zero for calls without a socket.
type Socket struct {
	Local, Remote netip.AddrPort // IPv4 addresses; zero if not bound or connected
	Unix          bool           // a Unix domain socket
}

// Option identifies a socket option as in getsockopt(2) and setsockopt(2).
type Option struct {
	Level, Name int
}

// Outcome says how a system call is changed. The zero Outcome leaves it unchanged.
type Outcome struct {
	Errno syscall.Errno // if not 0, the call is not executed and fails with this error
	Limit int           // maximum number of bytes to transfer; 0 for no limit
	Hold  time.Duration // delay of the call, or of its failure; it also delays all other chosen calls of the process, and nothing else
}

// Decider returns the Outcome for each chosen system call. It is called by one goroutine at a time and must not block.
type Decider func(Event) Outcome

// Process is a traced process.
type Process struct {
	Pid    int
	handle *os.File // a pidfd, so that signals cannot reach another process that reuses the pid
	ended  chan struct{}
	busy   *busyPeriods
}

// StalledPeriods returns the periods of at least the given length in which chosen calls of the process waited for the tracer, either
// because of Outcome.Hold or because the tracer itself was delayed on a busy machine.
func (p *Process) StalledPeriods(least time.Duration) []Period { return p.busy.atLeast(least) }

// Ended returns a channel that is closed when the process and all of its threads have ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Signal sends a signal to the process. It fails if the process has ended. SIGSTOP has no effect on a traced process.
func (p *Process) Signal(s syscall.Signal) error {
	raw, err := p.handle.SyscallConn()
	if err != nil {
		return err
	}
	if failed := raw.Control(func(fd uintptr) { err = unix.PidfdSendSignal(int(fd), s, nil, 0) }); failed != nil {
		return failed
	}
	return err
}

// Kill sends SIGKILL to the process if it has not ended.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// launchVariable is the environment variable that passes the numbers of the chosen calls to the process that executes the program.
const launchVariable = "SYSFAULT_CALLS"

// Main installs the filter and executes the program named by the arguments, if this process was started by Start; it then does not
// return. Otherwise it returns at once.
func Main() {
	chosen, ok := os.LookupEnv(launchVariable)
	if !ok {
		return
	}
	os.Unsetenv(launchVariable)
	err := install(chosen)
	if err == nil {
		err = syscall.Exec(os.Args[1], os.Args[1:], os.Environ())
	}
	fmt.Fprintln(os.Stderr, "sysfault:", err)
	os.Exit(1)
}

// Offsets into struct seccomp_data.
const (
	dataNumber = 0
	dataArch   = 4
)

// install makes the kernel stop this process for its tracer at the chosen calls. The filter stays in place after an exec.
func install(chosen string) error {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	result := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	filter := []unix.SockFilter{load(dataArch),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: auditArch, Jt: 1},
		result(unix.SECCOMP_RET_ALLOW), load(dataNumber)}
	for text := range strings.SplitSeq(chosen, ",") {
		number, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return fmt.Errorf("%s: %w", launchVariable, err)
		}
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: uint32(number), Jf: 1},
			result(unix.SECCOMP_RET_TRACE))
	}
	filter = append(filter, result(unix.SECCOMP_RET_ALLOW))
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("prctl: %w", err)
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC,
		uintptr(unsafe.Pointer(&program))); errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	return nil
}

// Start starts a command that has not been started, and calls decide for each of the chosen calls. It uses only the command's path,
// arguments, environment and folder. Standard output and standard error go to output. The calling program must have called Main.
func Start(command *exec.Cmd, output *os.File, chosen []Call, decide Decider) (*Process, error) {
	numbers := make([]string, len(chosen))
	for i, call := range chosen {
		numbers[i] = strconv.FormatUint(uint64(call), 10)
	}
	started := make(chan error, 1)
	p := &Process{ended: make(chan struct{}), busy: &busyPeriods{}}
	go func() {
		// ptrace(2) is bound to a thread. The thread ends with this goroutine.
		runtime.LockOSThread()
		err := p.busy.attach()
		if err != nil {
			started <- err
			return
		}
		defer p.busy.schedstat.Close()
		t, err := startTraced(command, launchVariable+"="+strings.Join(numbers, ","), output)
		if err != nil {
			started <- err
			return
		}
		t.busy = p.busy
		t.decide, p.Pid, p.handle = decide, t.leader, os.NewFile(uintptr(t.pidfd), "pidfd")
		started <- nil
		t.run()
		close(p.ended)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("starting %s with injected faults: %w", command.Path, err)
	}
	return p, nil
}

// tracer traces the threads of one process.
type tracer struct {
	decide Decider
	leader int
	pidfd  int
	seen   map[int]bool // threads that have stopped at least once
	queued []stop       // stops that arrived during a hold and are handled after it
	busy   *busyPeriods
}

// stop is a ptrace stop of a thread.
type stop struct {
	tid    int
	status unix.WaitStatus
}

// isChosenCall reports whether the thread is about to make a chosen call.
func (s stop) isChosenCall() bool {
	return s.status.Stopped() && s.status.StopSignal() == unix.SIGTRAP && s.status.TrapCause() == unix.PTRACE_EVENT_SECCOMP
}

// startTraced starts the second copy of this program, stops it before its first instruction, sets it up for tracing and resumes it.
func startTraced(command *exec.Cmd, chosen string, output *os.File) (*tracer, error) {
	arguments := append([]string{"sysfault", command.Path}, command.Args[1:]...)
	pid, err := syscall.ForkExec("/proc/self/exe", arguments, &syscall.ProcAttr{Dir: command.Dir, Env: append(command.Env, chosen),
		Files: []uintptr{0, output.Fd(), output.Fd()}, Sys: &syscall.SysProcAttr{Ptrace: true, Setpgid: true}})
	if err != nil {
		return nil, err
	}
	t := &tracer{leader: pid, seen: map[int]bool{pid: true}, pidfd: -1}
	var status unix.WaitStatus
	if _, err = unix.Wait4(pid, &status, unix.WALL, nil); err == nil {
		err = unix.PtraceSetOptions(pid, unix.PTRACE_O_TRACESECCOMP|unix.PTRACE_O_TRACECLONE|unix.PTRACE_O_TRACEEXEC|unix.PTRACE_O_EXITKILL)
	}
	if err == nil {
		t.pidfd, err = unix.PidfdOpen(pid, 0)
	}
	if err == nil {
		err = unix.PtraceCont(pid, 0)
	}
	if err != nil {
		syscall.Kill(pid, syscall.SIGKILL)
		if t.pidfd >= 0 {
			unix.Close(t.pidfd)
		}
		return nil, err
	}
	return t, nil
}

// run handles stops until the process has ended.
func (t *tracer) run() {
	for {
		if len(t.queued) > 0 {
			next := t.queued[0]
			t.queued = t.queued[1:]
			t.handleStop(next)
			continue
		}
		next, err := t.next()
		switch {
		case err == unix.EINTR:
		case err != nil: // ECHILD: all threads have ended
			return
		case next.status.Stopped():
			t.handleStop(next)
		}
	}
}

// next waits for a thread to stop or end. The tracer counts as idle while it blocks here.
func (t *tracer) next() (stop, error) {
	if next, err := t.wait(unix.WNOHANG); err != nil || next.tid != 0 {
		return next, err
	}
	t.busy.markIdle()
	next, err := t.wait(0)
	t.busy.markBusy()
	return next, err
}

// wait calls wait4(2) with options for a thread to stop or end. It waits only for the process group of the traced process, and so
// ignores other children that this thread had before it became the tracer's.
func (t *tracer) wait(options int) (next stop, err error) {
	next.tid, err = unix.Wait4(-t.leader, &next.status, unix.WALL|unix.WNOTHREAD|options, nil)
	return next, err
}

// hold blocks chosen calls of all threads for some time. It handles other stops meanwhile: a new thread stops for the tracer, and a Go
// program may have no other thread to run on.
func (t *tracer) hold(length time.Duration) {
	const pollInterval = time.Millisecond // how often stops are polled for
	for end := time.Now().Add(length); time.Now().Before(end); {
		next, err := t.wait(unix.WNOHANG)
		switch {
		case err != nil && err != unix.EINTR: // all threads have ended
			return
		case err != nil || next.tid == 0:
			time.Sleep(min(pollInterval, time.Until(end)))
		case next.isChosenCall():
			t.queued = append(t.queued, next)
		case next.status.Stopped():
			t.handleStop(next)
		}
	}
}

// handleStop handles a stop of a thread and resumes it. It ignores errors, as they mean that the thread has ended.
func (t *tracer) handleStop(s stop) {
	tid, status := s.tid, s.status
	first := !t.seen[tid]
	t.seen[tid] = true
	signal := status.StopSignal()
	switch {
	case s.isChosenCall():
		t.intercept(tid)
		signal = 0
	case signal == unix.SIGTRAP, first && signal == unix.SIGSTOP: // a clone, an exec, or the start of a thread
		signal = 0
	}
	unix.PtraceCont(tid, int(signal))
}

// intercept asks the Decider about the call that a thread is about to make, and changes the call accordingly.
func (t *tracer) intercept(tid int) {
	registers, err := readRegisters(tid)
	if err != nil {
		return
	}
	event := Event{Call: registers.call()}
	switch event.Call {
	case NewSocket:
	case OpenFile, Rename:
		event.Path = readPath(tid, uintptr(registers.argument1()))
	case Poll: // its first argument points to an array in the process, so the sockets are not looked up
	case EpollCtl:
		event.Socket = t.socket(int(int32(registers.argument2())))
	case GetSockOpt, SetSockOpt:
		event.Socket = t.socket(int(int32(registers.argument0())))
		event.Option = Option{Level: int(int32(registers.argument1())), Name: int(int32(registers.argument2()))}
	default:
		event.Socket = t.socket(int(int32(registers.argument0())))
	}
	outcome := t.decide(event)
	t.hold(outcome.Hold)
	switch {
	case outcome.Errno != 0:
		registers.fail(outcome.Errno)
	case outcome.Limit > 0 && registers.argument2() > uint64(outcome.Limit):
		registers.setArgument2(uint64(outcome.Limit))
	}
}

// socket describes a descriptor of the process, or returns zero if it cannot be copied.
func (t *tracer) socket(fd int) (s Socket) {
	copied, err := unix.PidfdGetfd(t.pidfd, fd, 0)
	if err != nil {
		return Socket{}
	}
	defer unix.Close(copied)
	if name, err := unix.Getsockname(copied); err == nil {
		s.Local, s.Unix = address(name)
	}
	if name, err := unix.Getpeername(copied); err == nil {
		s.Remote, _ = address(name)
	}
	return s
}

// address returns the IPv4 address in a socket's name, zero for other families, and whether it is the name of a Unix socket.
func address(name unix.Sockaddr) (addr netip.AddrPort, isUnix bool) {
	switch name := name.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(name.Addr), uint16(name.Port)), false
	case *unix.SockaddrUnix:
		return netip.AddrPort{}, true
	}
	return netip.AddrPort{}, false
}

// maxPathBytes limits the paths that are read from a process, in bytes.
const maxPathBytes = 4096

// readPath reads a path from the memory of a stopped thread's process. It returns what can be read, which may be empty.
func readPath(tid int, at uintptr) string {
	path := make([]byte, maxPathBytes)
	n, err := unix.PtracePeekData(tid, at, path)
	if err != nil && n <= 0 {
		return ""
	}
	text, _, _ := strings.Cut(string(path[:n]), "\x00")
	return text
}
