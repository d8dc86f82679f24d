package pool

import "math/rand/v2"

// Policy selects how a pool chooses workers. All policies except PolicyBestFit
// exist only for comparison with it.
type Policy string

const (
	// PolicyBestFit packs batch work and spreads services.
	PolicyBestFit Policy = ""
	// PolicyFirstFit takes the first worker with enough free capacity.
	PolicyFirstFit Policy = "FirstFit"
	// PolicyRandom takes a random worker with enough free capacity.
	PolicyRandom Policy = "Random"
	// PolicyTwoRandom takes the emptier of two such random workers.
	PolicyTwoRandom Policy = "TwoRandom"
	// PolicyFIFO is first fit from a single queue, in which a task without
	// capacity blocks all tasks that came later.
	PolicyFIFO Policy = "FIFO"
)

// baselineSeed makes the random policies repeatable.
const baselineSeed = 1

// chooser chooses the worker of a task among the schedulable ones, or returns
// nil.
type chooser interface {
	choose(t *task, workers []*worker) *worker
}

func newChooser(policy Policy) chooser {
	switch policy {
	case PolicyFirstFit, PolicyFIFO:
		return firstFit{}
	case PolicyRandom:
		return &randomFit{random: rand.New(rand.NewPCG(baselineSeed, 0)), samples: 1}
	case PolicyTwoRandom:
		return &randomFit{random: rand.New(rand.NewPCG(baselineSeed, 0)), samples: 2}
	case PolicyBestFit:
	}
	return bestFit{}
}

type firstFit struct{}

func (firstFit) choose(t *task, workers []*worker) *worker {
	for _, w := range workers {
		if t.size.Fits(w.freeFor(t)) {
			return w
		}
	}
	return nil
}

// randomFit takes the emptiest of a few random workers with enough free
// capacity.
type randomFit struct {
	random     *rand.Rand
	samples    int
	candidates []*worker
}

func (r *randomFit) choose(t *task, workers []*worker) *worker {
	r.candidates = r.candidates[:0]
	for _, w := range workers {
		if t.size.Fits(w.freeFor(t)) {
			r.candidates = append(r.candidates, w)
		}
	}
	if len(r.candidates) == 0 {
		return nil
	}
	best := r.candidates[r.random.IntN(len(r.candidates))]
	for range r.samples - 1 {
		o := r.candidates[r.random.IntN(len(r.candidates))]
		if o.used.DominantShare(o.host.Capacity) < best.used.DominantShare(best.host.Capacity) {
			best = o
		}
	}
	return best
}
