package election

import "time"

// Capacity is what a host can give to the cell.
type Capacity struct {
	// Cores is in cores, and Link in Mbit/s; 0 is unknown.
	Cores    float64
	LinkMbps float64
}

const (
	// referenceWork is the processor time and transferMbit the transfer by which hosts
	// are compared: about what the reading of all rows takes.
	referenceWork = 100 * time.Millisecond
	referenceMbit = 5.0
	// unknownDelay is the deference for a figure that is not known.
	unknownDelay = 75 * time.Millisecond
	// maxTakeoverDelay bounds the deference.
	maxTakeoverDelay = 450 * time.Millisecond
)

// TakeoverDelay returns how long a host waits before it takes over, so that hosts
// which can carry the cell better go first. It is how much longer this host takes
// for a fixed piece of work and of transfer than one with a whole core and an
// endless link.
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
	// mbpsPerRead is the part of a link that one reader of the store fills.
	mbpsPerRead = 5
	minReads    = 2
	maxReads    = 64
)

// MaxReads returns how many reads of the store may run at the same time, so that
// the answers to renewals and pings do not wait behind those to the reads.
func (c Capacity) MaxReads() int {
	if c.LinkMbps <= 0 {
		return maxReads
	}
	return int(min(max(c.LinkMbps/mbpsPerRead, minReads), maxReads))
}
