// Package upstream decides which upstream instance gets which request. It
// performs no I/O.
//
// Group is the state that the owner of a group of instances keeps. It sends a
// request only to a free slot, queues others in a bounded queue, and refuses
// at once a request that cannot meet its deadline.
package upstream
