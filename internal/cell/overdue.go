package cell

// StartOverdue records that a worker has not answered a start in time, or not at all.
// Other starts would wait as well, and their tasks can run elsewhere, so the worker
// gets none until it answers a call.
func (c *Cell) StartOverdue(id WorkerID) {
	if w, known := c.workers[id]; known {
		w.startOverdue = true
	}
}

// answered records that a worker has answered a call.
func (c *Cell) answered(w *worker) {
	if w.startOverdue {
		w.startOverdue = false
		c.capacityFreed(w)
	}
}
