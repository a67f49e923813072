//go:build linux && amd64

// Package sysfault starts a process and makes chosen system calls of it fail, or move fewer bytes than asked for, as their manual
// pages document. It traces the process with ptrace(2) and stops it only at the chosen calls, by a seccomp(2) filter that the process
// installs on itself before it executes the program. It needs no privileges and touches no process but the one that it starts.
//
// A program that uses the package calls Main first of all: the process to be traced begins as a second copy of that program.
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

// The system calls that programs in Go make on sockets.
const (
	Read      Call = unix.SYS_READ
	Write     Call = unix.SYS_WRITE
	Receive   Call = unix.SYS_RECVFROM
	Accept    Call = unix.SYS_ACCEPT4
	Connect   Call = unix.SYS_CONNECT
	NewSocket Call = unix.SYS_SOCKET
	Poll      Call = unix.SYS_PPOLL // which golang.org/x/sys makes for poll(2)
	EpollAdd  Call = unix.SYS_EPOLL_CTL
	GetOption Call = unix.SYS_GETSOCKOPT
	SetOption Call = unix.SYS_SETSOCKOPT
	LocalName Call = unix.SYS_GETSOCKNAME
	PeerName  Call = unix.SYS_GETPEERNAME
	Control   Call = unix.SYS_FCNTL
	Shutdown  Call = unix.SYS_SHUTDOWN
	Bind      Call = unix.SYS_BIND
	SendWith  Call = unix.SYS_SENDMSG // descriptors beside the data
	RecvWith  Call = unix.SYS_RECVMSG
	Rename    Call = unix.SYS_RENAMEAT
	OpenFile  Call = unix.SYS_OPENAT
	Close     Call = unix.SYS_CLOSE // which frees the descriptor whatever it returns: a call that is made to fail leaves it open
)

var callNames = map[Call]string{Read: "read", Write: "write", Receive: "recvfrom", Accept: "accept4", Connect: "connect", NewSocket: "socket",
	Poll: "ppoll", EpollAdd: "epoll_ctl", GetOption: "getsockopt", SetOption: "setsockopt", LocalName: "getsockname", PeerName: "getpeername",
	Control: "fcntl", Shutdown: "shutdown", Close: "close", Bind: "bind", SendWith: "sendmsg", RecvWith: "recvmsg", Rename: "renameat", OpenFile: "openat"}

func (c Call) String() string { return callNames[c] }

// Event is a system call that the process is about to make.
type Event struct {
	Call Call
	Socket
	Path   string // of the file to be opened or renamed
	Option Option // that is got or set
}

// Socket is the socket that a system call is about, the zero one where it is about none.
type Socket struct {
	Local, Remote netip.AddrPort // zero where there is none yet
	Unix          bool           // it is a Unix socket
}

// Option is a socket option, as getsockopt(2) and setsockopt(2) name it.
type Option struct {
	Level, Name int
}

// Outcome says what becomes of a system call. The zero Outcome lets it happen.
type Outcome struct {
	Errno syscall.Errno // it does nothing and fails with that
	Limit int           // it may move so many bytes at the most; any number where 0
	Hold  time.Duration // it happens, or fails, so much later; so do all chosen calls of the process meanwhile, and nothing else
}

// Decider decides on each chosen system call. It is called by one goroutine at a time and must not block.
type Decider func(Event) Outcome

// Process is a traced process.
type Process struct {
	Pid    int
	handle *os.File // a pidfd: no other process can be meant, even if the number is used again
	ended  chan struct{}
	busy   *busyPeriods
}

// Standstills returns the times in which chosen calls of the process waited for the tracer, for so long at least: held, or as the tracer itself was
// late on a busy machine.
func (p *Process) Standstills(least time.Duration) []Period { return p.busy.atLeast(least) }

// Ended is closed when the process has ended and all of its threads are gone.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Signal sends a signal to the process. SIGSTOP has no effect on a traced process. It fails where the process has ended.
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

// Kill ends the process at once, if it has not ended.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// launchVariable holds the numbers of the chosen calls in the environment of the process that executes the program.
const launchVariable = "SYSFAULT_CALLS"

// Main turns this process into the program named by its arguments, under the filter, if Start has started it for that. It returns
// otherwise.
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

// install has the kernel stop this process for its tracer at the chosen calls, also after it has executed a program.
func install(chosen string) error {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	result := func(action uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
	}
	filter := []unix.SockFilter{load(dataArch),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: unix.AUDIT_ARCH_X86_64, Jt: 1},
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

// Start starts a command that has not been started, and has decide called for each of the chosen calls. Of the command its path, arguments,
// environment and folder count; its output goes to a file. The calling program must have called Main.
func Start(command *exec.Cmd, output *os.File, chosen []Call, decide Decider) (*Process, error) {
	numbers := make([]string, len(chosen))
	for i, call := range chosen {
		numbers[i] = strconv.FormatUint(uint64(call), 10)
	}
	started := make(chan error, 1)
	p := &Process{ended: make(chan struct{}), busy: &busyPeriods{}}
	go func() {
		// ptrace(2) belongs to a thread, which ends with this goroutine.
		runtime.LockOSThread()
		err := p.busy.attach()
		if err != nil {
			started <- err
			return
		}
		defer p.busy.account.Close()
		t, err := begin(command, launchVariable+"="+strings.Join(numbers, ","), output)
		if err != nil {
			started <- err
			return
		}
		t.busy = p.busy
		t.decide, p.Pid, p.handle = decide, t.leader, os.NewFile(uintptr(t.pidfd), "pidfd")
		started <- nil
		t.follow()
		close(p.ended)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("starting %s under faults: %w", command.Path, err)
	}
	return p, nil
}

// tracer follows the threads of one process.
type tracer struct {
	decide Decider
	leader int
	pidfd  int
	known  map[int]bool // threads that have stopped before
	queued []stop       // that wait for the end of a hold
	busy   *busyPeriods
}

// stop is a stop of a thread.
type stop struct {
	tid    int
	status unix.WaitStatus
}

// isChosenCall reports whether the thread is about to make a chosen call.
func (s stop) isChosenCall() bool {
	return s.status.Stopped() && s.status.StopSignal() == unix.SIGTRAP && s.status.TrapCause() == unix.PTRACE_EVENT_SECCOMP
}

// begin starts the second copy of this program, stopped before its first instruction.
func begin(command *exec.Cmd, chosen string, output *os.File) (*tracer, error) {
	arguments := append([]string{"sysfault", command.Path}, command.Args[1:]...)
	pid, err := syscall.ForkExec("/proc/self/exe", arguments, &syscall.ProcAttr{Dir: command.Dir, Env: append(command.Env, chosen),
		Files: []uintptr{0, output.Fd(), output.Fd()}, Sys: &syscall.SysProcAttr{Ptrace: true, Setpgid: true}})
	if err != nil {
		return nil, err
	}
	t := &tracer{leader: pid, known: map[int]bool{pid: true}, pidfd: -1}
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

// follow lets the process run until it has ended.
func (t *tracer) follow() {
	for {
		if len(t.queued) > 0 {
			next := t.queued[0]
			t.queued = t.queued[1:]
			t.stopped(next)
			continue
		}
		next, err := t.next()
		switch {
		case err == unix.EINTR:
		case err != nil: // ECHILD: no thread is left
			return
		case next.status.Stopped():
			t.stopped(next)
		}
	}
}

// next waits for a thread to stop or to end. While none has, the tracer is idle.
func (t *tracer) next() (stop, error) {
	if next, err := t.wait(unix.WNOHANG); err != nil || next.tid != 0 {
		return next, err
	}
	t.busy.end()
	next, err := t.wait(0)
	t.busy.begin()
	return next, err
}

// wait waits for a thread to stop or to end, as wait4(2) does with some options. The process has a process group of its own: other children of this
// thread, from before it became the tracer's, are not waited for here.
func (t *tracer) wait(options int) (next stop, err error) {
	next.tid, err = unix.Wait4(-t.leader, &next.status, unix.WALL|unix.WNOTHREAD|options, nil)
	return next, err
}

// hold lets time pass in which the threads make no chosen call. They go on otherwise: a thread that begins stops for the tracer, and a Go program
// may have no other to run on.
func (t *tracer) hold(length time.Duration) {
	const look = time.Millisecond
	for end := time.Now().Add(length); time.Now().Before(end); {
		next, err := t.wait(unix.WNOHANG)
		switch {
		case err != nil && err != unix.EINTR: // no thread is left
			return
		case err != nil || next.tid == 0:
			time.Sleep(min(look, time.Until(end)))
		case next.isChosenCall():
			t.queued = append(t.queued, next)
		case next.status.Stopped():
			t.stopped(next)
		}
	}
}

// stopped handles a stop of a thread and lets it go on. Errors mean that the thread is gone.
func (t *tracer) stopped(s stop) {
	tid, status := s.tid, s.status
	first := !t.known[tid]
	t.known[tid] = true
	signal := status.StopSignal()
	switch {
	case s.isChosenCall():
		t.intercept(tid)
		signal = 0
	case signal == unix.SIGTRAP, first && signal == unix.SIGSTOP: // a clone, an exec, a thread that begins
		signal = 0
	}
	unix.PtraceCont(tid, int(signal))
}

// intercept decides on the call that a thread is about to make.
func (t *tracer) intercept(tid int) {
	var regs unix.PtraceRegs
	if unix.PtraceGetRegs(tid, &regs) != nil {
		return
	}
	event := Event{Call: Call(regs.Orig_rax)}
	switch event.Call {
	case NewSocket:
	case OpenFile, Rename:
		event.Path = readPath(tid, uintptr(regs.Rsi))
	case Poll: // its first argument is an array in the process: which socket it is about is not looked up
	case EpollAdd:
		event.Socket = t.socket(int(int32(regs.Rdx)))
	case GetOption, SetOption:
		event.Socket = t.socket(int(int32(regs.Rdi)))
		event.Option = Option{Level: int(int32(regs.Rsi)), Name: int(int32(regs.Rdx))}
	default:
		event.Socket = t.socket(int(int32(regs.Rdi)))
	}
	outcome := t.decide(event)
	t.hold(outcome.Hold)
	switch {
	case outcome.Errno != 0:
		regs.Orig_rax = ^uint64(0) // no call at all
		regs.Rax = -uint64(outcome.Errno)
	case outcome.Limit > 0 && regs.Rdx > uint64(outcome.Limit):
		regs.Rdx = uint64(outcome.Limit)
	default:
		return
	}
	unix.PtraceSetRegs(tid, &regs)
}

// socket describes a descriptor of the process.
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

// address returns the IPv4 address of a socket's name, or the zero one, and whether it is that of a Unix socket.
func address(name unix.Sockaddr) (addr netip.AddrPort, isUnix bool) {
	switch name := name.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(name.Addr), uint16(name.Port)), false
	case *unix.SockaddrUnix:
		return netip.AddrPort{}, true
	}
	return netip.AddrPort{}, false
}

// mostPath bounds the paths that are read from a process.
const mostPath = 4096

// readPath reads a path of a stopped thread's process, as far as that can be done.
func readPath(tid int, at uintptr) string {
	path := make([]byte, mostPath)
	n, err := unix.PtracePeekData(tid, at, path)
	if err != nil && n <= 0 {
		return ""
	}
	text, _, _ := strings.Cut(string(path[:n]), "\x00")
	return text
}
