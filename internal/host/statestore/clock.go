package statestore

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/decide/learned"
)

// Clock reads the wall clock and the time since boot, which advances while the machine sleeps and cannot be set. Where
// the system provides no boot id or no time since boot, only the wall clock is returned.
func Clock() learned.Clock {
	now := learned.Clock{Wall: time.Duration(time.Now().UnixNano())}
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	var since unix.Timespec
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &since) != nil {
		return now
	}
	now.Boot, now.BootID = time.Duration(since.Nano()), strings.TrimSpace(string(id[:min(len(id), 64)]))
	return now
}
