package host

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestTakeoverLogsWhatWasKnownOfTheOwner guards against a takeover whose log does not
// tell a failed owner from a slow one.
func TestTakeoverLogsWhatWasKnownOfTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeCluster(3, 1)
		core, logs := observer.New(zapcore.InfoLevel)
		w.logs = core
		defer w.stopAll()
		for _, h := range w.order {
			w.start(h)
		}
		time.Sleep(2 * time.Second)
		first := w.owners()[0]
		w.setCut(first, true, append(w.otherHosts(first), storeName)...)
		time.Sleep(takeoverLimit)
		if n := logs.FilterMessage("the owner is suspected").Len(); n < 2 {
			t.Errorf("%d hosts logged that they suspect the owner", n)
		}
		takeovers := logs.FilterMessage("becoming the owner").All()
		known := takeovers[len(takeovers)-1].ContextMap()
		for key, least := range map[string]time.Duration{
			"SincePong": pingTimeout, "PingTime": peerLatency, "RowUnchanged": suspectPollInterval,
			"RowWritten": fakeOwnerTimeout, "ReadLatency": storeLatency, "HostDelay": 0,
		} {
			if got, ok := known[key].(time.Duration); !ok || got < least || got > takeoverLimit {
				t.Errorf("%s is %v; want at least %v", key, known[key], least)
			}
		}
	})
}
