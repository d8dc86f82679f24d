package message

import (
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// form is one of the encodings of a message; codec implements it.
type form[M any] interface {
	encode(m M) peer.Message
	decode(p peer.Message) (M, error)
	messageKind() uint8
}

// scopedCodec encodes a request about one job. Each form is known to hosts since a release of
// its own, so that a request has the oldest form that can hold its scope.
type scopedCodec[M any] struct {
	scope func(M) manifest.JobScope
	// anyQueue names no queue, queue a queue and no account, and account both.
	anyQueue, queue, account form[M]
}

func (c scopedCodec[M]) encode(m M) peer.Message {
	switch scope := c.scope(m); {
	case scope.HasAccounts:
		return c.account.encode(m)
	case scope.Queue == "":
		return c.anyQueue.encode(m)
	}
	return c.queue.encode(m)
}

// decode decodes a message of any of the forms.
func (c scopedCodec[M]) decode(p peer.Message) (M, error) {
	for _, f := range []form[M]{c.anyQueue, c.account} {
		if p.Kind == f.messageKind() {
			return f.decode(p)
		}
	}
	return c.queue.decode(p)
}
