package cell

import (
	"slices"
	"time"
)

// superseded reports whether a worker's process has certainly ended, because a
// later worker has answered from its machine. A worker that answers still runs.
func (c *Cell) superseded(now time.Time, w *worker) bool {
	return w.laterOnMachine && !c.inContact(now, w)
}

// noteLaterWorkers records on which workers of a machine a later one has followed.
func (c *Cell) noteLaterWorkers(machine string) {
	for _, w := range c.onMachine[machine] {
		if w.registration.Incarnation == 0 {
			continue
		}
		known := w.laterOnMachine
		at := slices.IndexFunc(c.onMachine[machine], func(later *worker) bool { return later.follows(w) })
		w.laterOnMachine = at >= 0
		if w.laterOnMachine && !known {
			w.cordonedBy = nil
			later := c.onMachine[machine][at]
			w.maintenanceBeforeLater = c.maintenanceOrdered(machine)
			if later.registeredAt.After(w.registeredAt) {
				w.maintenanceBeforeLater = later.maintenanceBefore
			}
		}
	}
}

// follows reports whether a worker has certainly followed another on their machine. Its
// registration does not show that alone: the entry may have another writer, and its
// incarnation is a time of day, which may jump. So the worker must have answered as the
// incarnation that is registered, and must not have been registered before the earlier one.
func (w *worker) follows(earlier *worker) bool {
	return w.reported && w.registered() && w.incarnation > earlier.registration.Incarnation &&
		!w.registeredAt.Before(earlier.registeredAt)
}

// setRegistration sets the registration of a worker and keeps the index of the
// workers by machine.
func (c *Cell) setRegistration(w *worker, r Registration) {
	if w.registration.Machine != r.Machine {
		c.removeFromMachine(w)
		if r.Machine != "" {
			c.onMachine[r.Machine] = append(c.onMachine[r.Machine], w)
		}
	}
	if r.Addr.IsValid() && r.Addr != w.registration.Addr {
		c.newAddrs = append(c.newAddrs, w.id)
	}
	w.registration = r
}

func (c *Cell) removeFromMachine(w *worker) {
	machine := w.registration.Machine
	left := slices.DeleteFunc(c.onMachine[machine], func(o *worker) bool { return o == w })
	if len(left) == 0 {
		delete(c.onMachine, machine)
		return
	}
	c.onMachine[machine] = left
}

// endedAsOrdered reports whether a worker may have ended because it was told to,
// so that its end is no crash. A worker that is only drained for maintenance was
// not told to.
//
// An order to leave ends only the incarnation that was given it, and not an earlier
// one under the same ID. ended is the incarnation in question, or 0 if it is unknown.
func (c *Cell) endedAsOrdered(w *worker, ended Incarnation) bool {
	leaving := w.registration.Leaving && (ended == 0 || ended >= w.registration.Incarnation)
	return leaving || c.endedForMaintenance(w)
}

func (c *Cell) endedForMaintenance(w *worker) bool {
	if w.laterOnMachine {
		return w.maintenanceBeforeLater
	}
	return c.maintenanceOrdered(w.registration.Machine)
}

// noteMachineCrash records that a worker has crashed on the machine of w.
func (c *Cell) noteMachineCrash(now time.Time, w *worker) {
	w.machineCrashedAt = now
	for _, other := range c.onMachine[w.registration.Machine] {
		other.machineCrashedAt = now
	}
}
