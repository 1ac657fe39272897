package ingress

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	// reservedDescriptors and reservedShare are what is kept for upstreams, the store and
	// control connections: a number of descriptors, or a fraction, as a divisor, of all.
	reservedDescriptors = 64
	reservedShare       = 4
	// connectionsShare is the fraction of the memory, as a divisor, that connections without
	// a request may take.
	connectionsShare = 2
	minConnections   = 16
	// defaultMemory is used where the memory of the machine can't be read.
	defaultMemory = 512 * state.MiB
)

// HostMemory returns the memory that the process may use: the limit of its control group or,
// without one, the memory of the machine.
func HostMemory() state.Bytes {
	memory := machineMemory()
	if data, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64); err == nil && limit > 0 {
			memory = min(memory, state.Bytes(limit))
		}
	}
	return memory
}

func machineMemory() state.Bytes {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return defaultMemory
	}
	_, rest, _ := strings.Cut(string(data), "MemTotal:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return defaultMemory
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil || kib <= 0 {
		return defaultMemory
	}
	return state.Bytes(kib) * state.KiB
}

// HostDescriptors returns how many descriptors the process may open.
func HostDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // The usual soft limit.
	}
	return int(min(limit.Cur, 1<<20))
}

// MaxConnections returns how many connections a listener may have: few enough that they
// leave descriptors for other purposes, and memory for requests.
func MaxConnections(descriptors int, memory state.Bytes) int {
	left := descriptors - max(reservedDescriptors, descriptors/reservedShare)
	byMemory := int(memory / connectionsShare / connectionCost)
	return max(min(left, byMemory), minConnections)
}
