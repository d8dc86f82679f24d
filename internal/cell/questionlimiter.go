package cell

// questionLimiter limits the open urgent questions for advice, or the open
// questions that are not urgent. More of them would only wait at the hosts that
// ask, while the cluster state that they ask about changes.
type questionLimiter struct {
	open  int
	limit int
	// lastNamed has the last worker that the last question has named, by service.
	lastNamed map[string]WorkerID
	// waiting holds the steps that wait until another question is closed.
	waiting classifiedSteps
}

func newQuestionLimiter(limit int) questionLimiter {
	return questionLimiter{limit: limit, lastNamed: make(map[string]WorkerID)}
}

// available returns how many more questions may be asked now.
func (l *questionLimiter) available() int { return l.limit - l.open }

// ready reports whether a waiting step may ask now.
func (l *questionLimiter) ready() bool { return l.available() > 0 && l.waiting.len() > 0 }

// begin returns the index of the first worker, of those of a service sorted by ID, that
// the next question should name.
func (l *questionLimiter) begin(service string, workers []*worker) int {
	if l.open == 0 {
		return 0
	}
	at, found := findWorker(workers, l.lastNamed[service])
	if found {
		at++
	}
	return at
}

// acquire counts a question about workers of a service. last is the last worker that it
// names; empty if it only renews tickets.
func (l *questionLimiter) acquire(service string, last WorkerID) {
	l.open++
	if last != "" {
		l.lastNamed[service] = last
	}
}

// release uncounts a question that was answered or timed out.
func (l *questionLimiter) release() { l.open-- }

// urgentPerHost is how many urgent questions may be open per host. With two,
// the next question is already there when one is answered.
const urgentPerHost = 2

// questionLimiters returns both limiters, the urgent one first.
func (c *Cell) questionLimiters() []*questionLimiter {
	return []*questionLimiter{&c.urgentQuestions, &c.longQuestions}
}

// limiterFor returns the limiter for the questions of a step.
func (c *Cell) limiterFor(s *stepState) *questionLimiter {
	if c.asksUrgently(s) {
		return &c.urgentQuestions
	}
	return &c.longQuestions
}

// asksUrgently reports whether the questions of a step are urgent.
func (c *Cell) asksUrgently(s *stepState) bool {
	return c.queueOf(s.job).Priority == 0 && s.key.rank.class != classOverShare
}

// SetAdviceHosts sets how many hosts can ask the advice service. The questions
// of a host are answered one at a time. The number of open long questions is
// therefore limited to the number of hosts that may ask them, and some hosts
// are reserved for urgent questions.
func (c *Cell) SetAdviceHosts(hosts int) {
	long, urgent := max(hosts-UrgentAdviceHosts(hosts), 1), max(hosts, 1)*urgentPerHost
	c.placementPending = c.placementPending || long > c.longQuestions.limit || urgent > c.urgentQuestions.limit
	c.longQuestions.limit, c.urgentQuestions.limit = long, urgent
}

// urgentHostDivisor is the divisor of the number of hosts that gives how many
// are reserved for urgent questions.
const urgentHostDivisor = 3

// UrgentAdviceHosts returns how many of the given number of hosts are reserved
// for urgent questions.
func UrgentAdviceHosts(hosts int) int {
	if hosts < 2 {
		return 0
	}
	return (hosts + urgentHostDivisor - 1) / urgentHostDivisor
}
