package sysfault

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// auditArch is the architecture of the system call numbers that the filter compares.
const auditArch = unix.AUDIT_ARCH_X86_64

// noCall is the number of no system call: the kernel executes nothing and returns what the result register holds.
const noCall = ^uint64(0)

// registers hold the number and the arguments of the system call that a stopped thread is about to make.
type registers struct {
	tid   int
	saved unix.PtraceRegs
}

// readRegisters reads the registers of a stopped thread.
func readRegisters(tid int) (*registers, error) {
	r := &registers{tid: tid}
	return r, unix.PtraceGetRegs(tid, &r.saved)
}

func (r *registers) call() Call { return Call(r.saved.Orig_rax) }

func (r *registers) argument0() uint64 { return r.saved.Rdi }
func (r *registers) argument1() uint64 { return r.saved.Rsi }
func (r *registers) argument2() uint64 { return r.saved.Rdx }

// setArgument2 changes the third argument of the call.
func (r *registers) setArgument2(value uint64) error {
	r.saved.Rdx = value
	return unix.PtraceSetRegs(r.tid, &r.saved)
}

// fail makes the call fail with an error without being executed.
func (r *registers) fail(errno syscall.Errno) error {
	r.saved.Orig_rax = noCall
	r.saved.Rax = -uint64(errno)
	return unix.PtraceSetRegs(r.tid, &r.saved)
}
