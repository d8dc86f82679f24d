// Package upstream decides which upstream instance gets which request. It
// performs no I/O.
//
// A Group tracks the slots of a group of instances for their owner. It decides to
// send a request only to an instance with a free slot, queues others in a bounded
// queue, and refuses at once a request that cannot meet its deadline.
//
// A request is lost if its outcome is unknown and it may still be running. It
// occupies a lost slot until the instance's status or the time shows that it has
// ended.
package upstream
