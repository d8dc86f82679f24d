package election

import "time"

// Capacity is the processor and network capacity of a host.
type Capacity struct {
	// Cores is the host's processor share, and LinkMbps the bandwidth of its link
	// in Mbit/s. 0 means unknown.
	Cores    float64
	LinkMbps float64
}

const (
	// referenceWork (processor time) and referenceMbit (transfer) are the workload
	// by which hosts are compared: about what reading all rows takes.
	referenceWork = 100 * time.Millisecond
	referenceMbit = 5.0
	// unknownDelay replaces the part of the delay whose capacity is unknown.
	unknownDelay = 75 * time.Millisecond
	// maxTakeoverDelay is the upper limit of the takeover delay.
	maxTakeoverDelay = 450 * time.Millisecond
)

// TakeoverDelay returns how long a host waits before it takes over, so that hosts
// with more capacity go first. It is the additional time that this host needs for
// a fixed amount of work and transfer, compared with a host that has a full core
// and unlimited bandwidth.
func (c Capacity) TakeoverDelay() time.Duration {
	work, transfer := unknownDelay.Seconds(), unknownDelay.Seconds()
	if c.Cores > 0 {
		work = max(referenceWork.Seconds()/c.Cores-referenceWork.Seconds(), 0)
	}
	if c.LinkMbps > 0 {
		transfer = referenceMbit / c.LinkMbps
	}
	return time.Duration(min(work+transfer, maxTakeoverDelay.Seconds()) * float64(time.Second))
}

const (
	// mbpsPerRead is the bandwidth in Mbit/s that one read of the store uses.
	mbpsPerRead = 5
	minReads    = 2
	maxReads    = 64
)

// MaxReads returns the limit of concurrent reads of the store. It keeps responses
// to renewals and pings from being queued behind those to the reads.
func (c Capacity) MaxReads() int {
	if c.LinkMbps <= 0 {
		return maxReads
	}
	return int(min(max(c.LinkMbps/mbpsPerRead, minReads), maxReads))
}
