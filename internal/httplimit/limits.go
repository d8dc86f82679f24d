package httplimit

import "syscall"

const (
	megabyte = 1 << 20
	// connectionShare, bodyShare and decodedShare are the shares of the memory of the
	// process for connections, for headers and bodies, and for decoded requests. Their
	// sum leaves more than half of the memory limit of the garbage collector (0.7 of
	// MemoryMB) to what the host keeps, so that it does not collect all the time.
	connectionShare = 0.15
	bodyShare       = 0.08
	decodedShare    = 0.08
	// connectionBytes is the memory of a connection besides its header and its body: in
	// net/http a goroutine, two buffers of 4 KB and the connection itself, which are
	// 16 to 20 KB, the entries of this package, and a full receive buffer.
	connectionBytes = 24<<10 + 2*receiveBuffer
	// reservedFiles is the number of descriptors for files.
	reservedFiles = 200
	// clientShare is the share of the other descriptors that clients may use. The rest is
	// for the store, peers and workers: an owner has about four for each of 350 workers.
	clientShare = 0.5
	// unknownFiles applies if the limit of the process cannot be read.
	unknownFiles = 1024
	minConns     = 16
)

// Limits are the sizes of what clients may use together.
type Limits struct {
	// Connections is the number of connections.
	Connections int
	// BodyBytes is the number of bytes of headers and bodies, and DecodedBytes that of
	// decoded requests.
	BodyBytes    int64
	DecodedBytes int64
}

// NewLimits returns the limits of a process that may use some megabytes of memory and
// have a number of descriptors open, which is 0 if it is not set.
func NewLimits(memoryMB, files int) Limits {
	memory := float64(memoryMB) * megabyte
	byMemory := int(memory * connectionShare / connectionBytes)
	byFiles := int(float64(Sockets(files)) * clientShare)
	return Limits{
		Connections:  max(min(byMemory, byFiles), minConns),
		BodyBytes:    int64(memory * bodyShare),
		DecodedBytes: int64(memory * decodedShare),
	}
}

// Sockets returns the number of descriptors for connections of a process that may have
// some descriptors open.
func Sockets(files int) int {
	if files == 0 {
		files = processFiles()
	}
	return max(files-reservedFiles, 0)
}

// processFiles returns how many descriptors the process may have open.
func processFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownFiles
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}
