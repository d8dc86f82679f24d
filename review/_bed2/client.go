package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// timeBudget is how long a client waits for an answer.
const timeBudget = 3 * time.Second

// answer is what a client got for a call; its status is 0 without an answer.
type answer struct {
	status  int
	state   string
	pending int
}

// call makes a call of a client to a host, and notes the answer.
func (b *bed) call(h *entryHost, method, id string, body []byte) answer {
	return b.callWithin(timeBudget, h, method, id, body)
}

// callWithin makes a call of a client that leaves after a time.
func (b *bed) callWithin(patience time.Duration, h *entryHost, method, id string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	b.note("client: %s %s to %s", method, id, h.name)
	var a answer
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.clientAddr.String()+prefix+id, bytes.NewReader(body))
	if err != nil {
		return a
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/msgpack")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(timeBudget.Milliseconds(), 10))
	resp, err := b.client.Do(r)
	if err != nil {
		b.note("client: %s %s to %s: no answer (%v)", method, id, h.name, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.status = resp.StatusCode
	if len(content) > 0 {
		var w struct {
			State   string `msgpack:"state"`
			Pending int    `msgpack:"pending"`
		}
		if err := msgpack.Unmarshal(content, &w); err == nil {
			a.state, a.pending = w.State, w.Pending
		}
	}
	b.note("client: %s %s to %s: %d %s", method, id, h.name, a.status, a.state)
	return a
}

// step is a step of a job, with the fields that are not 0.
type step map[string]any

func jobBody(spec string, steps ...step) []byte {
	return marshal(map[string]any{"spec": spec, "steps": steps})
}
