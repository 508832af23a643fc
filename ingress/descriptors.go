package ingress

import "golang.org/x/sys/unix"

const (
	// ConnectionBytes is about the memory that a connection takes besides large requests: its
	// buffers and a goroutine, and the first [FreeBytes] of a request.
	ConnectionBytes = 32 << 10
	// defaultMaxDescriptors is the number of descriptors that a process uses at most if neither
	// its settings nor the operating system allow fewer.
	defaultMaxDescriptors = 4096
	// reservedDescriptors is the number of descriptors that are left for files, or a fifth of
	// all where there are few.
	reservedDescriptors = 200
)

// Sockets returns how many sockets a process may use, given the number of descriptors that its
// settings allow, which is 0 if they set none.
func Sockets(maxDescriptors int) float64 {
	if maxDescriptors <= 0 {
		maxDescriptors = systemDescriptors()
	}
	return float64(maxDescriptors - min(reservedDescriptors, maxDescriptors/5))
}

// systemDescriptors returns the limit of the operating system, but at most
// defaultMaxDescriptors.
func systemDescriptors() int {
	var allowed unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &allowed); err != nil || allowed.Cur > defaultMaxDescriptors {
		return defaultMaxDescriptors
	}
	return int(allowed.Cur)
}
