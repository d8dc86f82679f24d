package httplimit

import "time"

// reclaimGrace is how long a connection may hold bytes without progress while others wait
// for bytes. At 4 KB in this time a body of 256 KB takes 16 s, far longer than a call may.
const reclaimGrace = 250 * time.Millisecond

// reclaim refuses requests that hold bytes, those longest without progress first, until
// they hold as many as needed or only those remain that have made progress lately.
func (g *Guard) reclaim(needed int64) {
	now := g.timers.Now()
	g.mu.Lock()
	var stalled []*Conn
	for e := g.holders.Front(); e != nil && needed > 0; e = e.Next() {
		c, _ := e.Value.(*Conn)
		if now.Sub(c.progressAt) < reclaimGrace {
			break
		}
		needed -= c.held
		if !c.stalled {
			c.stalled = true
			g.refusals.add(now, c, reasonStalled)
			stalled = append(stalled, c)
		}
	}
	g.mu.Unlock()
	for _, c := range stalled {
		c.interrupt()
	}
}

// hold records that a connection has reserved bytes of headers and bodies.
func (g *Guard) hold(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.held += bytes
	if c.element != nil && c.holder == nil && c.held > 0 {
		c.holder = g.holders.PushBack(c)
	}
}
