package killer

import "golang.org/x/sys/unix"

// rename(2) exists on amd64 besides renameat(2).
func init() { operations[unix.SYS_RENAME] = "rename" }
