package host

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The outcomes of a call with a key: the name of the account, or one of these.
const (
	refused     = "401"
	unconfirmed = "503"
)

// authorize returns the outcome of a call with a key.
func authorize(t *testing.T, h *fakeHost, key string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	client, err := h.host.Authorize(ctx, keyedQueue, key)
	switch {
	case err == nil && client.HasAccounts:
		return client.Account.Name
	case fault.Is(err, KindUnauthorized):
		return refused
	case fault.Is(err, KindNotDone):
		return unconfirmed
	}
	t.Errorf("a call with key %q gives %+v, %v", key, client, err)
	return ""
}

func expectKeys(t *testing.T, when string, h *fakeHost, want map[string]string) {
	t.Helper()
	for key, outcome := range want {
		if got := authorize(t, h, key); got != outcome {
			t.Errorf("%s, %s: key %q gives %q, want %q", when, h.name, key, got, outcome)
		}
	}
}

func TestCallsNeedAKeyOfTheManifestInForce(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		for _, h := range w.order {
			expectKeys(t, "at first", h, map[string]string{"a1": "a", "b1": "b", "c1": refused, "": refused})
			for _, key := range []string{"", "a1", "c1"} {
				client, err := h.host.Authorize(t.Context(), publicQueue, key)
				if err != nil || client.Account != (manifest.Terms{}) || !client.HasAccounts {
					t.Errorf("a call of a public queue with key %q gives %+v, %v", key, client, err)
				}
			}
		}
		w.putManifest(5, map[string][]string{"a": {"a2"}, "c": {"c1"}})
		time.Sleep(time.Second)
		for _, h := range w.order {
			expectKeys(t, "with new keys", h, map[string]string{"a1": refused, "a2": "a", "b1": refused, "c1": "c"})
		}
		w.putManifest(9, nil)
		time.Sleep(time.Second)
		expectKeys(t, "without accounts", w.order[0], map[string]string{"a2": refused, "": refused})
	})
}

// While the store does not answer, hosts serve by the manifest in force. They must not call
// a key unknown that may have been added meanwhile.
func TestKeysDuringAnOutageOfTheStore(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		for _, h := range w.order {
			w.setCut(h, true, storeName)
		}
		w.putManifest(2, map[string][]string{"a": {"a1", "a2"}})
		time.Sleep(recentWithin + time.Second)
		for _, h := range w.order {
			expectKeys(t, "in the outage", h, map[string]string{"a1": "a", "b1": "b", "a2": unconfirmed, "c1": unconfirmed, "": refused})
		}
		w.healAll()
		time.Sleep(3 * time.Second)
		for _, h := range w.order {
			expectKeys(t, "after it", h, map[string]string{"a1": "a", "b1": refused, "a2": "a", "c1": refused})
		}
	})
}

// A host that the store rejects learns from the other hosts that its manifest is recent.
func TestKeysOnAHostThatReachesOnlyOtherHosts(t *testing.T) {
	withAccounts(t, 2*time.Second, func(t *testing.T, w *fakeCluster) {
		for i := range w.order {
			h := w.order[i]
			w.setCut(h, true, storeName)
			time.Sleep(5 * time.Second)
			expectKeys(t, "cut from the store", h, map[string]string{"a1": "a", "c1": refused})
			w.stop(h)
			w.start(h)
			time.Sleep(3 * time.Second)
			expectKeys(t, "restarted", h, map[string]string{"a1": "a", "c1": refused})
			w.healAll()
			time.Sleep(2 * time.Second)
		}
	})
}

// With strict revocation, a host that cannot confirm its manifest in time refuses all calls
// that need a key. Without it, such a host serves what it can.
func TestKeysOnAHostThatIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		revokeWithin time.Duration
		a1, none     string
	}{
		"strict":     {2 * time.Second, unconfirmed, unconfirmed},
		"not strict": {0, "a", refused},
	} {
		t.Run(name, func(t *testing.T) {
			withAccounts(t, c.revokeWithin, func(t *testing.T, w *fakeCluster) {
				h := w.order[1]
				w.cutOff(h)
				w.putManifest(2, map[string][]string{"b": {"b1"}})
				time.Sleep(2*time.Second + time.Millisecond)
				expectKeys(t, "cut off", h, map[string]string{"a1": c.a1, "": c.none})
				if _, err := h.host.Authorize(t.Context(), publicQueue, ""); err != nil {
					t.Errorf("a call of a public queue gives %v", err)
				}
				w.healAll()
				time.Sleep(3 * time.Second)
				expectKeys(t, "healed", h, map[string]string{"a1": refused, "b1": "b"})
			})
		})
	}
}

// With strict revocation, one call for changes without an answer must not make a host
// refuse calls.
func TestStrictHostServesWhileOneAnswerIsLost(t *testing.T) {
	withAccounts(t, 2*time.Second, func(t *testing.T, w *fakeCluster) {
		w.stallFeeds(true)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range w.order {
				expectKeys(t, "while answers are lost", h, map[string]string{"a1": "a"})
			}
		}
	})
}

// A restarted host that cannot read the store may get an old manifest from a host that was
// cut off before a key was withdrawn. The key must not work again.
func TestRestartedHostAcceptsNoWithdrawnKey(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		behind, restarted := w.order[0], w.order[1]
		w.cutOff(behind)
		w.putManifest(2, map[string][]string{"b": {"b1"}})
		time.Sleep(2 * time.Second)
		expectKeys(t, "before the restart", restarted, map[string]string{"a1": refused, "b1": "b"})
		w.stop(restarted)
		w.cutOff(restarted, behind)
		w.start(restarted)
		time.Sleep(3 * time.Second)
		if m := restarted.host.Manifest(); m == nil || m.Version != 1 {
			t.Fatalf("the restarted host has manifest %+v", m)
		}
		expectKeys(t, "after the restart", restarted, map[string]string{"a1": unconfirmed, "b1": unconfirmed, "": refused})
		expectKeys(t, "cut off", behind, map[string]string{"a1": "a"})
		w.healAll()
		time.Sleep(3 * time.Second)
		for _, h := range w.order {
			expectKeys(t, "healed", h, map[string]string{"a1": refused, "b1": "b"})
		}
	})
}

// A manifest that cannot be used leaves the last one in force. A host that has not seen that
// one must not take an older one, of a host that was cut off, for the newest.
func TestKeysWhileTheManifestCannotBeUsed(t *testing.T) {
	withAccounts(t, 2*time.Second, func(t *testing.T, w *fakeCluster) {
		behind := w.order[0]
		w.cutOff(behind)
		w.putManifest(2, map[string][]string{"b": {"b1"}})
		time.Sleep(time.Second)
		w.putManifestRow([]byte("odd"))
		time.Sleep(5 * time.Second)
		expectKeys(t, "with an unusable manifest", w.order[1], map[string]string{"a1": refused, "b1": "b", "c1": refused})
		w.setCut(behind, false, storeName)
		time.Sleep(5 * time.Second)
		expectKeys(t, "after reading only the unusable manifest", behind, map[string]string{"a1": unconfirmed, "b1": unconfirmed})
		w.healAll()
		time.Sleep(5 * time.Second)
		expectKeys(t, "with the manifest of another host", behind, map[string]string{"a1": refused, "b1": "b", "c1": refused})
	})
}

// A new key must work although the call that would tell of it got no answer.
func TestNewKeyWorksAlthoughTheFeedIsStalled(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		w.stallFeeds(true)
		w.putManifest(2, map[string][]string{"a": {"a2"}})
		time.Sleep(recentWithin + 10*time.Millisecond)
		for _, h := range w.order {
			expectKeys(t, "while the feed is stalled", h, map[string]string{"a2": "a", "a1": refused})
		}
	})
}

// flood makes calls with unknown keys for a duration, many at a time, and returns how many
// reads of the manifest were made for them.
func flood(w *fakeCluster, h *fakeHost, during time.Duration) int {
	before := w.confirmationCount()
	ctx, cancel := context.WithTimeout(context.Background(), during)
	defer cancel()
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			for ctx.Err() == nil {
				_, _ = h.host.Authorize(ctx, keyedQueue, "wrong-key")
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return w.confirmationCount() - before
}

// A flood of unknown keys must neither flood the store with reads nor the log with lines,
// and the lines must not contain the key.
func TestFloodOfUnknownKeysMakesFewReads(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		const seconds = 10
		core, logged := observer.New(zapcore.DebugLevel)
		w.stopAll()
		w.logs = core
		for _, h := range w.order {
			w.start(h)
		}
		time.Sleep(3 * time.Second)
		h := w.order[2]
		if n := flood(w, h, seconds*time.Second); n > 0 {
			t.Errorf("%d reads while the feed answers", n)
		}
		w.setCut(h, true, storeName)
		for _, other := range w.order[:2] {
			w.setCut(h, true, other.name)
		}
		const most = seconds*int(time.Second/confirmInterval) + 1
		if n := flood(w, h, seconds*time.Second); n == 0 || n > most {
			t.Errorf("%d reads in %d s while the store does not answer", n, seconds)
		}
		w.setCut(h, false, storeName)
		w.stallFeeds(true)
		w.setManifestReads(0, func(rowstore.Range) bool { return true })
		if n := flood(w, h, seconds*time.Second); n == 0 || n > most {
			t.Errorf("%d reads in %d s while the store rejects them", n, seconds)
		}
		lines := logged.FilterMessage("call refused for its key").All()
		if len(lines) == 0 || len(lines) > 3*2*seconds*int(time.Second/keyLogInterval) {
			t.Errorf("%d lines in three floods of %d s", len(lines), seconds)
		}
		for _, line := range logged.All() {
			if text := line.Message + line.LoggerName; strings.Contains(text, "wrong-key") {
				t.Errorf("line %v names the key", line)
			}
			for _, field := range line.Context {
				if strings.Contains(field.String, "wrong-key") {
					t.Errorf("line %v names the key", line)
				}
			}
		}
		fields := lines[0].ContextMap()
		if fields["Host"] != h.name || fields["Queue"] != "keyed" || fields["Reason"] != "unknown" || fields["Manifest"] != uint64(1) || fields["ManifestAge"] == nil {
			t.Errorf("a refusal is logged with %v", fields)
		}
	})
}

// kindOf returns the kind of an error of this package, or "".
func kindOf(err error) Kind {
	var hostErr *Error
	if errors.As(err, &hostErr) {
		return hostErr.Kind
	}
	return ""
}

// Calls with unknown keys must share one read, and all of them must get its result.
func TestCallsWithUnknownKeysShareOneRead(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		w.stallFeeds(true)
		// The loop that follows the manifest does not learn of the new key first.
		w.setManifestReads(500*time.Millisecond, func(r rowstore.Range) bool { return r.Limit != 1 })
		w.putManifest(2, map[string][]string{"a": {"a2"}})
		time.Sleep(recentWithin + 10*time.Millisecond)
		before := w.confirmationCount()
		h := w.order[1]
		var calls sync.WaitGroup
		for i := range 40 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				expectKeys(t, "while the feed is stalled", h, map[string]string{"a2": "a"})
			})
		}
		calls.Wait()
		if n := w.confirmationCount() - before; n != 1 {
			t.Errorf("%d reads", n)
		}
	})
}

// A pong that tells of a newer manifest, which this host does not have yet, must not confirm
// the one that it has.
func TestPongConfirmsOnlyTheManifestThatItNames(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	h := &Host{
		platform: Platform{Manifests: sizedManifests{}}, log: zap.NewNop(), manifests: manifest.NewHolder(), timers: timers,
		recency: recency{begin: timers.Now()},
	}
	h.adopt([]byte("ab"), "store")
	timers.Advance(10 * time.Second)
	sent := h.moment()
	for _, c := range []struct {
		pong  message.OwnerPong
		known bool
		age   time.Duration
		since bool
	}{
		{message.OwnerPong{Manifest: 3, ManifestAge: 1}, false, 0, false},
		{message.OwnerPong{Manifest: 2}, false, 0, false},
		{message.OwnerPong{Manifest: 2, ManifestAge: 11 * time.Second}, true, 11 * time.Second, false},
		{message.OwnerPong{Manifest: 1, ManifestAge: 4 * time.Second}, true, 4 * time.Second, true},
		{message.OwnerPong{Manifest: 2, ManifestAge: 12 * time.Second}, true, 4 * time.Second, true},
	} {
		h.confirmPong(c.pong, sent)
		if got := h.manifestRecency(); got.known != c.known || got.known && got.age != c.age || got.sinceBegin != c.since {
			t.Errorf("after %+v: %+v", c.pong, got)
		}
	}
}

// A suspension of the process counts for the age of the manifest, but not as time since the
// process began: an old manifest must become neither recent nor newer than the process.
func TestSuspensionMakesTheManifestOlder(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	h := &Host{
		platform: Platform{Manifests: sizedManifests{}}, log: zap.NewNop(), manifests: manifest.NewHolder(), timers: timers,
		recency: recency{begin: timers.Now()},
	}
	h.adopt([]byte("a"), "store")
	timers.AdvanceWallClock(time.Hour)
	h.confirmPong(message.OwnerPong{Manifest: 1, ManifestAge: time.Minute}, h.moment())
	timers.AdvanceWallClock(time.Hour)
	if got := h.manifestRecency(); got.sinceBegin || got.age != time.Hour+time.Minute {
		t.Errorf("got %+v", got)
	}
}

// The jobs of an account must not exist for the clients of others, on any host, and after a
// takeover; another key of the same account has the same jobs.
func TestAccountsDoNotSeeEachOthersJobs(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		const id, missing = workload.JobID("00000000000000a1"), workload.JobID("00000000000000ff")
		own := manifest.Client{Account: manifest.Terms{Name: "a"}, HasAccounts: true}
		public := manifest.Client{HasAccounts: true}
		submit := func(h *fakeHost, client manifest.Client) error {
			j := testJob(id, false)
			j.Queue = "keyed"
			return h.host.Submit(t.Context(), keyedQueue, client, j)
		}
		if err := submit(w.order[0], own); err != nil {
			t.Fatal(err)
		}
		check := func(when string) {
			t.Helper()
			for _, h := range w.order {
				if h.host == nil {
					continue
				}
				for _, client := range []manifest.Client{{Account: manifest.Terms{Name: "b"}, HasAccounts: true}, public} {
					_, err := h.host.Status(t.Context(), "keyed", client, id)
					_, want := h.host.Status(t.Context(), "keyed", client, missing)
					if kind := kindOf(err); kind != kindOf(want) || kind != KindNoJob && when != "through the owner" || kind == "" {
						t.Errorf("%s, %s: the state of a job of another account gives %v, that of no job %v", when, h.name, err, want)
					}
					if err := h.host.Cancel(t.Context(), "keyed", client, id); !fault.Is(err, KindNoJob) {
						t.Errorf("%s, %s: the cancel of a job of another account gives %v", when, h.name, err)
					}
					if err := submit(h, client); !fault.Is(err, KindInvalid) {
						t.Errorf("%s, %s: a submission under the ID of a job of another account gives %v", when, h.name, err)
					}
				}
				if _, err := h.host.Status(t.Context(), "keyed", own, id); err != nil {
					t.Errorf("%s, %s: the state of a job of the same account gives %v", when, h.name, err)
				}
				if err := submit(h, own); err != nil {
					t.Errorf("%s, %s: a repeated submission gives %v", when, h.name, err)
				}
			}
		}
		check("at first")
		// A host that does not reach the store asks the owner to write for it.
		for _, h := range w.order {
			if h.host.runningOwner() == nil {
				w.setCut(h, true, storeName)
			}
		}
		check("through the owner")
		w.healAll()
		owner := w.owners()[0]
		w.stop(owner)
		time.Sleep(10 * time.Second)
		check("after a takeover")
		if err := w.owners()[0].host.Cancel(t.Context(), "keyed", own, id); err != nil {
			t.Errorf("the cancel of a job of the same account gives %v", err)
		}
	})
}

// Hosts of earlier releases send no accounts, and such jobs have none: all clients of their
// queue have them.
func TestJobsWithoutAnAccountAreThoseOfTheirQueue(t *testing.T) {
	withAccounts(t, 0, func(t *testing.T, w *fakeCluster) {
		const id = workload.JobID("00000000000000a1")
		j := testJob(id, false)
		j.Queue = "keyed"
		if err := w.order[0].host.Submit(t.Context(), keyedQueue, manifest.Client{}, j); err != nil {
			t.Fatal(err)
		}
		client := manifest.Client{Account: manifest.Terms{Name: "b"}, HasAccounts: true}
		if err := w.order[1].host.Submit(t.Context(), keyedQueue, client, j); err != nil {
			t.Errorf("a repeated submission gives %v", err)
		}
		if _, err := w.order[1].host.Status(t.Context(), "keyed", client, id); err != nil {
			t.Errorf("the state gives %v", err)
		}
		owner := w.owners()[0].host
		for _, queue := range []string{"", "keyed"} {
			m := message.EncodeJobLookup(message.JobLookup{ID: id, Scope: manifest.JobScope{Queue: queue}})
			reply, err := owner.Handle(t.Context(), owner.config.Self, m)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := message.DecodeJobLookupReply(reply); err != nil || !got.Known {
				t.Errorf("a lookup of an earlier release gives %+v, %v", got, err)
			}
		}
	})
}

// An answer that arrives late tells what the store had when the call was made at the
// earliest, so a key that was withdrawn since must not count as confirmed from then on.
func TestLateAnswerConfirmsTheTimeOfItsCall(t *testing.T) {
	const revokeWithin = 2 * time.Second
	withAccounts(t, revokeWithin, func(t *testing.T, w *fakeCluster) {
		h := w.order[1]
		w.stop(h)
		w.cutOff(h)
		w.setCut(h, false, storeName)
		w.setBusy(h, busyness{response: 1400 * time.Millisecond})
		w.stallFeeds(true)
		w.start(h)
		time.Sleep(10 * time.Millisecond)
		w.putManifest(2, map[string][]string{"b": {"b1"}})
		w.setManifestReads(0, func(rowstore.Range) bool { return true })
		time.Sleep(1600 * time.Millisecond)
		expectKeys(t, "after the late answer", h, map[string]string{"a1": "a"})
		time.Sleep(600 * time.Millisecond)
		expectKeys(t, "after the time in which a key is withdrawn", h, map[string]string{"a1": unconfirmed})
	})
}
