package accountant

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// bootClock returns the time since the boot of this machine. It counts
// suspension and is never stepped.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// bootID returns the id of this boot. Without it a successor counts all that this
// process may spend as spent.
func bootID() (string, error) {
	data, err := os.ReadFile(bootIDPath)
	if err != nil {
		return "", fmt.Errorf("read boot id: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
