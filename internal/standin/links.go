package standin

import "sync"

// Platform names the remote end of the link from an entry host to the table
// service, the object store and the host list. The remote ends of all other links
// are data centres.
const Platform = "platform"

// Loss is what a cut link loses.
type Loss string

const (
	// LossNone loses nothing.
	LossNone Loss = ""
	// LossRequests loses requests before they take effect.
	LossRequests Loss = "Requests"
	// LossAnswers loses responses, after the requests have taken effect.
	LossAnswers Loss = "Answers"
)

// Links holds the cut links between entry hosts and stand-ins.
type Links struct {
	mu   sync.Mutex
	cuts map[link]Loss
}

type link struct{ from, to string }

// NewLinks returns links of which none is cut.
func NewLinks() *Links { return &Links{cuts: make(map[link]Loss)} }

// Set cuts or heals the link from an entry host to a data centre's workers and
// upstreams, or to Platform.
func (l *Links) Set(from, to string, loss Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if loss == LossNone {
		delete(l.cuts, link{from, to})
		return
	}
	l.cuts[link{from, to}] = loss
}

// Heal heals every link.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
}

func (l *Links) loss(from, to string) Loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[link{from, to}]
}

// callOverLink makes a call over a link that may be cut.
func callOverLink[T any](l *Links, op, from, to string, call func() (T, error)) (T, error) {
	var none T
	switch l.loss(from, to) {
	case LossRequests:
		return none, unknown(op, "the link from %q to %q loses requests", from, to)
	case LossAnswers:
		_, _ = call() // The link loses the response.
		return none, unknown(op, "the link from %q to %q loses answers", from, to)
	default:
		return call()
	}
}

// doOverLink makes a call that returns only an error over a link that may be cut.
func doOverLink(l *Links, op, from, to string, call func() error) error {
	_, err := callOverLink(l, op, from, to, func() (struct{}, error) { return struct{}{}, call() })
	return err
}
