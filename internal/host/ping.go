package host

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

const (
	// lateAnswerTimeout is how long after its ping an answer of the owner still
	// counts as a sign of life.
	lateAnswerTimeout = 1200 * time.Millisecond
	// maxOpenPings limits the pings to the owner that have no answer yet, so that a
	// busy owner gets no more work from them.
	maxOpenPings = 4
)

// pinger sends pings to the owner. An answer is also used if it arrives after the
// caller has ceased to wait for it.
type pinger struct {
	// to is the owner that was last pinged, and open holds an element for each ping
	// to it without an answer.
	to      ownerRef
	open    chan struct{}
	answers chan answer
}

func newPinger() pinger { return pinger{answers: make(chan answer, maxOpenPings)} }

// answer is the outcome of a ping to the owner.
type answer struct {
	owner    ownerRef
	from     peer.Host
	pong     message.OwnerPong
	err      error
	pingTime time.Duration
}

// healthy reports whether the owner answers as a healthy one.
func (a *answer) healthy() bool {
	return a.err == nil && a.from.Incarnation == a.owner.incarnation && a.pong.Owning && a.pong.SinceRenewal <= staleAfter
}

// sendPing pings the owner in a goroutine of its own, unless too many pings have no
// answer yet.
func (h *Host) sendPing(known ownerRef) {
	if h.pinger.to != known {
		h.pinger.to, h.pinger.open = known, make(chan struct{}, maxOpenPings)
	}
	open := h.pinger.open
	select {
	case open <- struct{}{}:
	default:
		return
	}
	begin := h.timers.Now()
	h.background.Go(func() {
		a := answer{owner: known}
		a.from, a.pong, a.err = h.ping(known.addr, 0, lateAnswerTimeout)
		a.pingTime = h.timers.Now().Sub(begin)
		<-open
		if errors.Is(a.err, context.DeadlineExceeded) {
			return // that there is no answer is known already
		}
		select {
		case h.pinger.answers <- a:
		case <-h.ctx.Done():
		}
	})
}

// awaitAnswer waits for an answer of the owner to any ping, and returns the latest. It
// returns false if there is none in time.
func (h *Host) awaitAnswer(known ownerRef, timeout time.Duration) (answer, bool) {
	due := h.timers.Now().Add(timeout)
	expired := h.timers.After(timeout)
	defer expired.Stop()
	for {
		select {
		case a := <-h.pinger.answers:
			if a.owner == known {
				h.observeAnswer(&a)
				latest, later := h.latestAnswer(known)
				if later {
					a = latest
				}
				return a, true
			}
		case <-expired.C:
			h.observeDelay(due)
			return h.latestAnswer(known)
		case <-h.ctx.Done():
			return answer{}, false
		}
	}
}

// latestAnswer returns the last answer of an owner that has arrived, if there is one.
func (h *Host) latestAnswer(known ownerRef) (latest answer, ok bool) {
	for {
		select {
		case a := <-h.pinger.answers:
			if a.owner == known {
				h.observeAnswer(&a)
				latest, ok = a, true
			}
		default:
			return latest, ok
		}
	}
}

// observeAnswer records what an answer tells of the owner.
func (h *Host) observeAnswer(a *answer) {
	if a.err != nil || !a.pong.Owning || a.from.Incarnation != a.owner.incarnation {
		return
	}
	h.contact.observe(h.timers.Now(), a.owner.epoch, a.pingTime)
	h.metrics.ping.RecordDuration(a.pingTime)
}

// pingOwner pings the owner and reports whether it is healthy. If it is not, the
// reason is kept in h.suspicion.
func (h *Host) pingOwner(timeout time.Duration) bool {
	known := h.knownOwner()
	h.suspicion = suspicion{epoch: known.epoch}
	if !known.addr.IsValid() {
		h.suspicion.reason = "no owner is known"
		return false
	}
	h.sendPing(known)
	a, ok := h.awaitAnswer(known, timeout)
	switch {
	case !ok:
		h.suspicion.reason = "the owner does not answer"
	case errors.Is(a.err, syscall.ECONNREFUSED):
		h.markOwnerExited(known.incarnation)
		h.suspicion.reason = "the owner refuses connections"
	case a.err != nil:
		h.suspicion.reason = "the call to the owner failed"
	case a.from.Incarnation != known.incarnation:
		h.markOwnerExited(known.incarnation)
		h.suspicion.reason = "another process answers at the address of the owner"
	case !a.pong.Owning:
		h.suspicion.reason = "the owner reports that it does not own the cell"
	case !a.healthy():
		h.suspicion.reason = "the owner cannot renew its row"
		h.suspicion.sinceRenewal, h.suspicion.rowVersion = a.pong.SinceRenewal, a.pong.RowVersion
	default:
		h.detector.Reset()
		h.markOwnerHealthy(known.epoch)
		return true
	}
	return false
}

// ping asks a host what it knows of the owner, the other hosts and the manifest,
// and applies the answer. epoch is the epoch in which this host owns the cell, or
// 0 if this host does not own it.
func (h *Host) ping(to netip.AddrPort, epoch uint64, timeout time.Duration) (peer.Host, message.OwnerPong, error) {
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	ping := message.EncodeHostPing(message.HostPing{
		Addr: h.config.Addr, OwnEpoch: epoch, Incarnation: h.config.Self.Incarnation, Manifest: h.manifestVersion(),
		KnownEpoch: max(epoch, h.knownOwner().epoch),
		Relays:     h.mayRelay(), DataCentre: h.config.Self.DataCentre, Cores: h.config.Capacity.Cores,
		HostsSum: h.knownHostsSum(), Refused: h.accountRefusals.list(), FetchesManifest: true,
	})
	sent := h.moment()
	from, reply, err := h.peers.Ask(ctx, to, ping)
	if err != nil {
		return from, message.OwnerPong{}, err
	}
	pong, err := message.DecodeOwnerPong(reply)
	if err != nil {
		return from, message.OwnerPong{}, err
	}
	if len(pong.NewerManifest) > 0 {
		h.adopt(pong.NewerManifest, from.Name)
	}
	h.confirmPong(pong, sent)
	h.noteManifest(pong.Manifest, to, from.DataCentre, h.timers.Now().Sub(sent.monotonic))
	h.applyPong(pong)
	h.applyPermission(pong, sent.latest)
	return from, pong, nil
}
