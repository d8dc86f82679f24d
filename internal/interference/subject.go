package interference

import (
	"math"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	// minLoss and maxLoss limit the loss of one observation.
	minLoss = -1
	maxLoss = 3
	// maxSizes limits the sizes of a class of which the typical progress is kept.
	maxSizes = 4
	// typicalAfter is the number of measurements after which the typical progress is used,
	// and typicalMemory the number over which it is averaged.
	typicalAfter  = 5
	typicalMemory = 200
	// fullEvidence is the number of recent observations of a pair after which it has its
	// full loss.
	fullEvidence = 16
	// minPresence is the presence below which an observation is no evidence of a pair.
	minPresence = 0.05
)

// subject is what was learned about one class.
type subject struct {
	class  Class
	seenAt time.Time
	// typical has the typical progress of each size of a class that does not serve.
	typical []typicalProgress
	// knownPairs counts the known pairs in which the class suffers or causes loss.
	knownPairs int

	// neighbours holds the classes seen beside this one. Their places are the indexes of
	// the sums. A nil place is free.
	neighbours []*neighbour
	// full is set if no place could be freed since the last refresh.
	full bool
	// The sums over the weighted observations: of the weights, the losses and their
	// squares, and for each neighbour of its presence, of the presence times the loss, and
	// of the products with the presences of all.
	weight, loss, lossSquares float64
	presence, presenceLoss    [maxNeighbours]float64
	// products is nil until the class has a neighbour, since most of the memory is here.
	products *square
	solvedAt time.Time
	// observed is set while there are observations since then.
	observed bool
}

// typicalProgress is the mean progress per second of tasks of one size.
type typicalProgress struct {
	size   job.Size
	rate   float64
	n      float64
	seenAt time.Time
}

// neighbour is a class that was seen beside a subject.
type neighbour struct {
	subject *subject
	// evidence counts the recent observations of the pair, as of seenAt.
	evidence float64
	seenAt   time.Time
	// workers holds the first two workers on which the pair was seen.
	workers [2]string
	// coefficient is the loss per task of the neighbour, as of the last solution.
	coefficient float64
	known       bool
}

// evidenceAt returns the evidence, decayed to a time.
func (n *neighbour) evidenceAt(now time.Time) float64 {
	return n.evidence * decay(now.Sub(n.seenAt))
}

// lossAt returns the loss per task of the neighbour. It grows with the evidence, and decays
// with it once the pair is no longer seen together.
func (n *neighbour) lossAt(now time.Time) float64 {
	return n.coefficient * min(n.evidenceAt(now)/fullEvidence, 1)
}

// lossOf returns the loss of a measured task, and false while it is not known what is
// typical of its class and size.
func (s *subject) lossOf(now time.Time, e *Measurement) (float64, bool) {
	if e.Class.Serving {
		return min(e.Value, maxLoss), true
	}
	t := s.typicalOf(now, e.Size)
	typical, known := t.rate, t.n >= typicalAfter && t.rate > 0
	t.seenAt = now
	t.n = min(t.n+1, typicalMemory)
	t.rate += (e.Value - t.rate) / t.n
	if !known {
		return 0, false
	}
	return max(1-e.Value/typical, minLoss), true
}

// typicalOf returns the typical progress of a size. That of a new size takes the place of
// the one that was not seen for longest.
func (s *subject) typicalOf(now time.Time, size job.Size) *typicalProgress {
	oldest := 0
	for i := range s.typical {
		if s.typical[i].size == size {
			return &s.typical[i]
		}
		if s.typical[i].seenAt.Before(s.typical[oldest].seenAt) {
			oldest = i
		}
	}
	fresh := typicalProgress{size: size, seenAt: now}
	if len(s.typical) < maxSizes {
		s.typical = append(s.typical, fresh)
		return &s.typical[len(s.typical)-1]
	}
	s.typical[oldest] = fresh
	return &s.typical[oldest]
}

// observe adds an observation of the class on a worker, with the classes present there. own
// is the part of its own presence that a task is not beside of.
func (s *subject) observe(now time.Time, weight float64, worker string, present []presentSubject, loss, own float64) {
	var places [maxNeighbours]int
	var tasks [maxNeighbours]float64
	count := 0
	for _, p := range present {
		beside := p.tasks
		if p.subject == s {
			beside -= own
		}
		if beside <= 0 {
			continue
		}
		place := s.place(now, p.subject, places[:count])
		if place < 0 {
			continue
		}
		if beside >= minPresence {
			s.neighbours[place].note(now, worker, beside)
		}
		places[count], tasks[count] = place, beside
		count++
		if count == maxNeighbours {
			break
		}
	}
	s.observed = true
	s.weight += weight
	s.loss += weight * loss
	s.lossSquares += weight * loss * loss
	for a, i := range places[:count] {
		x := weight * tasks[a]
		s.presence[i] += x
		s.presenceLoss[i] += x * loss
		for b, j := range places[:count] {
			s.products[i][j] += x * tasks[b]
		}
	}
}

// note records that the pair was seen.
func (n *neighbour) note(now time.Time, worker string, tasks float64) {
	n.evidence = min(n.evidenceAt(now)+min(tasks, 1), fullEvidence)
	n.seenAt = now
	if !slices.Contains(n.workers[:], worker) {
		if n.workers[0] == "" {
			n.workers[0] = worker
		} else if n.workers[1] == "" {
			n.workers[1] = worker
		}
	}
}

// place returns the place of a neighbour, which it gets if it has none, or -1 if there is
// no free place. A neighbour with too little evidence to matter loses its place, unless it
// is one of those in use.
func (s *subject) place(now time.Time, other *subject, used []int) int {
	free := -1
	for i, n := range s.neighbours {
		switch {
		case n == nil:
			free = i
		case n.subject == other:
			return i
		}
	}
	if free < 0 && len(s.neighbours) < maxNeighbours {
		s.neighbours = append(s.neighbours, nil)
		free = len(s.neighbours) - 1
	}
	for i := 0; free < 0 && !s.full && i < len(s.neighbours); i++ {
		if n := s.neighbours[i]; !n.known && n.evidenceAt(now) < 1 && !slices.Contains(used, i) {
			s.clear(i)
			free = i
		}
	}
	if free < 0 {
		s.full = true
		return -1
	}
	if s.products == nil {
		s.products = new(square)
	}
	s.neighbours[free] = &neighbour{subject: other}
	return free
}

// clear frees the place of a neighbour that is not known.
func (s *subject) clear(i int) {
	s.neighbours[i] = nil
	s.presence[i], s.presenceLoss[i] = 0, 0
	for j := range s.products {
		s.products[i][j], s.products[j][i] = 0, 0
	}
}

// scale multiplies all sums.
func (s *subject) scale(factor float64) {
	s.weight *= factor
	s.loss *= factor
	s.lossSquares *= factor
	for i := range s.neighbours {
		s.presence[i] *= factor
		s.presenceLoss[i] *= factor
		for j := range s.neighbours {
			s.products[i][j] *= factor
		}
	}
}

// find returns the neighbour of another class, or nil.
func (s *subject) find(other *subject) *neighbour {
	for _, n := range s.neighbours {
		if n != nil && n.subject == other {
			return n
		}
	}
	return nil
}

const (
	// knownLoss is the loss per task above which a pair becomes known, and forgetLoss the
	// one below which it is forgotten.
	knownLoss  = 0.05
	forgetLoss = knownLoss / 2
)

const (
	// ridge is the weight of the assumption that there is no interference, in observations
	// of one task.
	ridge = 2
	// minObservations is the weight of the observations that a solution needs.
	minObservations = 8
	// similarity is how many observations count as one in the standard error: consecutive
	// observations of the same tasks resemble each other.
	similarity = 3
	// significance is how many standard errors the coefficient of a pair has to exceed to
	// become known.
	significance = 2
	// minVariance is the least variance of the losses, for the standard error.
	minVariance = 1e-4
)

// solve computes the coefficients of the neighbours seen since the last solution. weight is
// that of an observation made now. It returns the standard errors by place, which are
// infinite where nothing was computed.
func (s *subject) solve(now time.Time, weight float64) (errors [maxNeighbours]float64) {
	for i := range errors {
		errors[i] = math.Inf(1)
	}
	if !s.observed {
		return errors
	}
	s.observed = false
	n := s.weight / weight
	if n < minObservations || s.products == nil {
		return errors
	}
	var places [maxNeighbours]int
	count := 0
	for i, other := range s.neighbours {
		if other != nil && s.presence[i]/weight > minPresence {
			places[count] = i
			count++
		}
	}
	// The centred products and, with them, the normal equations.
	var matrix square
	var right [maxNeighbours]float64
	for a, i := range places[:count] {
		for b, j := range places[:count] {
			matrix[a][b] = (s.products[i][j] - s.presence[i]*s.presence[j]/s.weight) / weight
		}
		matrix[a][a] += ridge
		right[a] = (s.presenceLoss[i] - s.presence[i]*s.loss/s.weight) / weight
	}
	if !matrix.invert(count) {
		return errors
	}
	explained := 0.0
	var coefficients [maxNeighbours]float64
	for a := range count {
		for b := range count {
			coefficients[a] += matrix[a][b] * right[b]
		}
		explained += coefficients[a] * right[a]
	}
	total := (s.lossSquares - s.loss*s.loss/s.weight) / weight
	variance := max((total-explained)/n, minVariance)
	for a, i := range places[:count] {
		errors[i] = math.Sqrt(similarity * variance * max(matrix[a][a], 0))
		// Without new observations only the evidence decays, so that the loss of a pair
		// that is no longer seen halves with each half-life.
		if s.neighbours[i].seenAt.After(s.solvedAt) {
			s.neighbours[i].coefficient = min(max(coefficients[a], minLoss), maxLoss)
		}
	}
	s.solvedAt = now
	return errors
}
