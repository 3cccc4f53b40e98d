package ingress

import (
	"bytes"
	"math"
	"os"
	"path"
	"strconv"
	"strings"
)

const (
	meminfoFile   = "/proc/meminfo"
	ownGroupsFile = "/proc/self/cgroup"
	groupsDir     = "/sys/fs/cgroup"
)

// AllowedMegabytes returns how much memory the machine and the control group allow the process, or zero if that is unknown.
func AllowedMegabytes() int64 {
	return allowedBytes(os.ReadFile) >> 20
}

// allowedBytes is AllowedMegabytes in bytes, with the function that reads a file.
func allowedBytes(read func(name string) ([]byte, error)) int64 {
	least := int64(math.MaxInt64)
	for _, n := range append(groupLimits(read), machineBytes(read)) {
		if n > 0 {
			least = min(least, n)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}

	return least
}

// machineBytes returns the memory of the machine, or zero if it is unknown.
func machineBytes(read func(name string) ([]byte, error)) int64 {
	data, err := read(meminfoFile)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "MemTotal:" && fields[2] == "kB" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0
			}

			return kilobytes << 10
		}
	}

	return 0
}

// groupLimits returns the limits of the process's control group and of all groups above it.
func groupLimits(read func(name string) ([]byte, error)) []int64 {
	data, err := read(ownGroupsFile)
	if err != nil {
		return nil
	}
	var limits []int64
	for line := range strings.Lines(string(data)) {
		fields := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(fields) != 3 {
			continue
		}
		dir, file := "", "memory.max"
		switch {
		case fields[0] == "0" && fields[1] == "":
		case strings.Contains(","+fields[1]+",", ",memory,"):
			dir, file = "memory", "memory.limit_in_bytes"
		default:
			continue
		}
		for group := path.Clean("/" + fields[2]); ; group = path.Dir(group) {
			limits = append(limits, fileNumber(read, path.Join(groupsDir, dir, group, file)))
			if group == "/" {
				break
			}
		}
	}

	return limits
}

// fileNumber returns the number in a file, or zero if there is none.
func fileNumber(read func(name string) ([]byte, error), name string) int64 {
	data, err := read(name)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64)
	if err != nil {
		return 0
	}

	return n
}
