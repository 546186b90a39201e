package acceptor

import "syscall"

const (
	// fileDescriptors are kept for files. The users' sheets name 200.
	fileDescriptors = 200
	// minDescriptors are used where the limit leaves fewer.
	minDescriptors = 64
)

// Descriptors returns how many of a limit are for connections. Without a limit, it is that of
// the process.
func Descriptors(limit int) int {
	if limit == 0 {
		var r syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
			return 0 // not bounded here
		}
		limit = int(min(r.Cur, 1<<20))
	}
	return max(minDescriptors, limit-fileDescriptors)
}

// MachineMemory returns the memory of the machine in bytes, 0 if it is not known.
func MachineMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
