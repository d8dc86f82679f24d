package check

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

const (
	// shortestJob is the duration of the shortest jobs: the users' urgent tasks take 0.64
	// to 0.8 s.
	shortestJob = 640 * time.Millisecond
	// shortestCall is what a job takes at least besides its duration: a transaction of the
	// store, of 8 ms, and the call that starts a task, of up to 2 ms within a data centre.
	shortestCall = 10 * time.Millisecond
	// maxWorkersAsked is the largest number of workers that a question for advice names
	// (maxWorkersAsked of package cell).
	maxWorkersAsked = 100
	// ticketMargin is how long before its expiry a ticket is no longer used (ticketMargin
	// of package cell).
	ticketMargin = 150 * time.Millisecond
	// admissionTime is how long a host may look for an earlier submission before it refuses
	// a job (repeatLookupTimeout of package host), and responseMargin what it keeps of the
	// timeout for the response (responseMargin of package platform).
	admissionTime  = 500 * time.Millisecond
	responseMargin = 60 * time.Millisecond
)

// checkObjective reports a latency objective that jobs of a queue cannot meet, even on an
// empty cell.
func (c *checker) checkObjective(q *manifest.Queue) {
	subject := queueSubject(q)
	if q.SlackFactor == 0 && q.TargetLatency == 0 {
		c.add(SeverityWarning, KindObjective, subject, "slack factor and target latency are 0: every job is late when it is accepted, and is ranked after all others")
		return
	}
	objective := time.Duration(q.SlackFactor*float64(shortestJob)) + q.TargetLatency
	const parts = "slack factor %v and target latency %v give a job of %v an objective of %v; "
	switch needed, most := shortestJob+shortestCall, q.Advice.Cost(maxWorkersAsked); {
	case objective < needed:
		c.add(SeverityWarning, KindObjective, subject, parts+"with its calls it takes at least %v", q.SlackFactor, q.TargetLatency, shortestJob, objective, needed)
	case objective < needed+q.Advice.Cost(1):
		c.add(SeverityWarning, KindObjective, subject, parts+"with its calls and an advice call on one worker, of %v, it takes at least %v",
			q.SlackFactor, q.TargetLatency, shortestJob, objective, q.Advice.Cost(1), needed+q.Advice.Cost(1))
	case objective < needed+most:
		c.add(SeverityNote, KindObjective, subject, parts+"with its calls and an advice call on %d workers, of %v, it takes %v",
			q.SlackFactor, q.TargetLatency, shortestJob, objective, maxWorkersAsked, most, needed+most)
	}
	if q.SlackFactor > 0 && q.SlackFactor < 1 {
		longest := time.Duration(min(float64(q.TargetLatency)/(1-q.SlackFactor), float64(maxDuration))).Round(time.Millisecond)
		c.add(SeverityWarning, KindObjective, subject, "the slack factor %v is below 1: jobs of more than %v take longer than their objective, even if they start at once", q.SlackFactor, longest)
	}
}

// maxDuration limits a duration that is computed, so that its conversion does not overflow.
const maxDuration = 100 * 365 * 24 * time.Hour

// checkTicket reports tickets that expire before they can be used. The answer of the advice
// service may give another validity.
func (c *checker) checkTicket(q *manifest.Queue) {
	if !q.Advice.Needed() {
		return
	}
	valid, cost := q.Advice.ValidFor, q.Advice.Cost(maxWorkersAsked)
	const unless = "unless the advice service's answers give another validity"
	switch {
	case valid <= ticketMargin:
		c.add(SeverityWarning, KindTicket, queueSubject(q), "tickets are valid for %v, and are not used within %v of their expiry: no task starts, %s", valid, ticketMargin, unless)
	case valid < cost:
		c.add(SeverityWarning, KindTicket, queueSubject(q), "tickets are valid for %v, and an advice call takes up to %v (%d workers): they expire before the next call can renew them, %s",
			valid, cost, maxWorkersAsked, unless)
	}
}

// checkTimeout reports a timeout that is too short for a submission.
func (c *checker) checkTimeout(q *manifest.Queue) {
	// Hosts use a default of 3 s for a timeout of 0.
	if q.Timeout > 0 && q.Timeout < admissionTime+responseMargin {
		c.add(SeverityWarning, KindTimeout, queueSubject(q), "the timeout %v is below %v: before a host refuses a job it looks for an earlier submission, for up to %v, and %v are kept for the response",
			q.Timeout, admissionTime+responseMargin, admissionTime, responseMargin)
	}
}

// The names of the limits in findings.
const (
	limitHeaderBytes   = "header bytes"
	limitBodyBytes     = "body bytes"
	limitHeaderTimeout = "header timeout"
	limitIdleTimeout   = "idle timeout"
)

const (
	// minHeaderBytes is what an ordinary request needs: a path, a key and a few headers.
	minHeaderBytes = 1 << 10
	// maxHeaderBytes is the largest header limit at which 1,000 connections with unfinished
	// headers stay below the 184 MB of a small host.
	maxHeaderBytes = 128 << 10
	// minBodyBytes is the size of a job with the longest text that is allowed (4,000 bytes)
	// and a few steps.
	minBodyBytes = 8 << 10
	// maxBodyBytes is 16 times the limit in practice; a host of 184 MB has memory for 46
	// such bodies.
	maxBodyBytes = 4 << 20
	// minTimeout is several round trips between regions, of 40 ms each.
	minTimeout = 200 * time.Millisecond
	// maxTimeout is 20 times the header timeout in practice. A small host has 3,900
	// descriptors for all connections.
	maxTimeout = time.Minute
)

// checkLimits reports limits on requests that are missing or out of proportion.
func (c *checker) checkLimits() {
	l := c.next.Limits
	c.checkBytes(limitHeaderBytes, int64(l.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.checkBytes(limitBodyBytes, l.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	c.checkDuration(limitHeaderTimeout, l.HeaderTimeout)
	c.checkDuration(limitIdleTimeout, l.IdleTimeout)
}

const missingLimit = "the limit is missing or 0: hosts use their default"

func (c *checker) checkBytes(name string, limit, least, most int64) {
	switch {
	case limit == 0:
		c.add(SeverityWarning, KindLimit, limitSubject(name), missingLimit)
	case limit < least:
		c.add(SeverityWarning, KindLimit, limitSubject(name), "the limit of %d bytes refuses ordinary requests; %d to %d are sensible", limit, least, most)
	case limit > most:
		c.add(SeverityWarning, KindLimit, limitSubject(name), "the limit of %d bytes lets a few clients fill the memory of a small host; %d to %d are sensible", limit, least, most)
	}
}

func (c *checker) checkDuration(name string, limit time.Duration) {
	switch {
	case limit == 0:
		c.add(SeverityWarning, KindLimit, limitSubject(name), missingLimit)
	case limit < minTimeout:
		c.add(SeverityWarning, KindLimit, limitSubject(name), "the limit of %v closes connections of distant clients; %v to %v are sensible", limit, minTimeout, maxTimeout)
	case limit > maxTimeout:
		c.add(SeverityWarning, KindLimit, limitSubject(name), "the limit of %v lets idle clients keep the connections of a small host; %v to %v are sensible", limit, minTimeout, maxTimeout)
	}
}
