package accountant

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// BootClock returns the time since this machine booted, for packages that depend on a clock
// which goes on in suspend.
func BootClock() time.Duration { return bootClock() }

// bootClock returns the time since this machine booted. It includes time in suspend
// and is never stepped.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// bootID returns the ID of the current boot. Without it a successor has to count
// all tokens granted to this process as spent.
func bootID() (string, error) {
	data, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", fmt.Errorf("read boot id: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
