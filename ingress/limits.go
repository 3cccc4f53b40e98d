package ingress

import (
	"golang.org/x/sys/unix"
)

// ProgramBytes is what the pages of the program's file take.
const ProgramBytes = 23 << 20

const (
	// budgetShare is the part of the memory beside the program that requests may take: an eighth, because the garbage collector may let the heap
	// grow to twice what is in use, and the rest of the process needs its part.
	budgetShare = 8
	// connectionShare is the part of that memory that callers' connections may take, connectionBytes what one is assumed to take:
	// its buffers, its goroutine and the request in progress.
	connectionShare = 4
	connectionBytes = 32 << 10
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// streamMegabytes is the memory of a host for which it may have one stream between hosts: a frame takes up to 8 MiB, three times
	// that while it is read, and the garbage collector may double it. An owner needs one stream, and its predecessor's may be open still.
	streamMegabytes = 48
	minStreams      = 2
	// socketShare is the part of the memory that the kernel's buffers of callers' connections may take in each direction; it doubles what
	// is asked for. One below minSocketBuffer would make ordinary bodies slow, and from maxSocketBuffer on the kernel's default is as good.
	socketShare     = 16
	minSocketBuffer = 16 << 10
	maxSocketBuffer = 128 << 10
)

// Limits are the limits of a process that follow from its memory and its descriptors. Zero means no limit.
type Limits struct {
	// BudgetBytes bounds the memory of requests.
	BudgetBytes int64
	// Callers, Peers and Probes bound the connections on the address for callers, between hosts, and on each of the others.
	Callers int
	Peers   int
	Probes  int
	// Streams bounds the streams between hosts.
	Streams int
	// SocketBuffer is the size of the kernel's buffers of a connection in bytes.
	SocketBuffer int
}

// LimitsFor returns the limits of a process with the given memory and descriptors; zero means unknown. A third of the descriptors
// is left for connections to the store, to workers and to peers.
func LimitsFor(megabytes int64, descriptors int) Limits {
	memory := beside(megabytes << 20)
	l := Limits{BudgetBytes: memory / budgetShare}
	if n := connectionsFor(memory, descriptors); n > 0 {
		l.Callers, l.Probes = n, max(1, n/32)
	}
	if n := connectionsFor(megabytes<<20, descriptors); n > 0 {
		l.Peers = max(1, n/4)
	}
	if megabytes > 0 && l.Callers > 0 {
		size := max(minSocketBuffer, megabytes<<20/socketShare/int64(l.Callers))
		if size < maxSocketBuffer {
			l.SocketBuffer = int(size)
		}
	}
	if megabytes > 0 {
		l.Streams = int(max(minStreams, megabytes/streamMegabytes))
	}

	return l
}

// connectionsFor returns how many connections of callers fit into the given memory in bytes and half of the descriptors; zero means unknown.
func connectionsFor(memory int64, descriptors int) int {
	connections := memory / connectionShare / connectionBytes
	if descriptors > 0 {
		sockets := int64(max(descriptors-reservedFiles, descriptors/2))
		if half := sockets / 2; connections == 0 || half < connections {
			connections = half
		}
	}

	return int(connections)
}

// beside returns what the pages of the program leave of a process's memory in bytes: half of it at least, since they can be read again.
func beside(memory int64) int64 {
	return max(memory/2, memory-ProgramBytes)
}

// OpenFileLimit returns how many descriptors the process may open, or zero if that is unknown.
func OpenFileLimit() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<30 {
		return 0
	}

	return int(l.Cur)
}
