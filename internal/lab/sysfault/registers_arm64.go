package sysfault

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// auditArch is the architecture of the system call numbers that the filter compares.
const auditArch = unix.AUDIT_ARCH_AARCH64

// noCall is the number of no system call: the kernel executes nothing and returns what the result register holds.
const noCall int32 = -1

// registers hold the number and the arguments of the system call that a stopped thread is about to make.
type registers struct {
	tid   int
	saved unix.PtraceRegsArm64
}

// readRegisters reads the registers of a stopped thread.
func readRegisters(tid int) (*registers, error) {
	r := &registers{tid: tid}
	return r, unix.PtraceGetRegSetArm64(tid, unix.NT_PRSTATUS, &r.saved)
}

func (r *registers) call() Call { return Call(r.saved.Regs[8]) }

func (r *registers) argument0() uint64 { return r.saved.Regs[0] }
func (r *registers) argument1() uint64 { return r.saved.Regs[1] }
func (r *registers) argument2() uint64 { return r.saved.Regs[2] }

// setArgument2 changes the third argument of the call.
func (r *registers) setArgument2(value uint64) error {
	r.saved.Regs[2] = value
	return unix.PtraceSetRegSetArm64(r.tid, unix.NT_PRSTATUS, &r.saved)
}

// fail makes the call fail with an error without being executed.
func (r *registers) fail(errno syscall.Errno) error {
	if err := setCallNumber(r.tid, noCall); err != nil {
		return err
	}
	r.saved.Regs[0] = -uint64(errno)
	return unix.PtraceSetRegSetArm64(r.tid, unix.NT_PRSTATUS, &r.saved)
}

// setCallNumber changes which system call a stopped thread is about to make. On this architecture the kernel keeps the number apart from
// the general registers. golang.org/x/sys has no function for that set.
func setCallNumber(tid int, number int32) error {
	set := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(tid), unix.NT_ARM_SYSTEM_CALL, uintptr(unsafe.Pointer(&set)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
