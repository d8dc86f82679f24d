package wire

import "cicadabarrow.example/cicadabarrow/internal/platform"

// UpstreamStatus is the wire form of a platform.UpstreamStatus.
type UpstreamStatus struct {
	Running int
	Leaving bool
}

// FromUpstreamStatus converts a status to its wire form.
func FromUpstreamStatus(s platform.UpstreamStatus) UpstreamStatus {
	return UpstreamStatus{Running: s.Running, Leaving: s.Leaving}
}

// Domain converts a status from its wire form.
func (s UpstreamStatus) Domain() platform.UpstreamStatus {
	return platform.UpstreamStatus{Running: s.Running, Leaving: s.Leaving}
}
