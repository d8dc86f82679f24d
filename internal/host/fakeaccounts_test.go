package host

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// accountManifests decodes rows that putManifest has written. A row with any other content
// cannot be used.
type accountManifests struct{ fakeManifests }

// accountManifest is the content of such a row: the keys of each account.
type accountManifest struct {
	Version  uint64
	Accounts map[string][]string
}

func (accountManifests) Decode(value []byte) (*manifest.Manifest, error) {
	var content accountManifest
	if err := json.Unmarshal(value, &content); err != nil || content.Version == 0 {
		return nil, errors.Join(errors.New("unusable manifest"), err)
	}
	m := &manifest.Manifest{
		Version: content.Version, HasAccounts: true,
		Queues: []manifest.Queue{{Name: "keyed", Service: "s"}, {Name: "public", Service: "s", Public: true}},
	}
	for name, keys := range content.Accounts {
		account := manifest.Account{Terms: manifest.Terms{Name: name, Weight: 1}}
		for _, key := range keys {
			account.KeyHashes = append(account.KeyHashes, manifest.HashKey(key))
		}
		m.Accounts = append(m.Accounts, account)
	}
	return m, nil
}

var (
	keyedQueue  = &manifest.Queue{Name: "keyed", Service: "s"}
	publicQueue = &manifest.Queue{Name: "public", Service: "s", Public: true}
)

func (w *fakeCluster) decoder() Manifests {
	if w.manifests == nil {
		return fakeManifests{}
	}
	return w.manifests
}

// countManifestRead counts the reads of the row of the manifest alone, which hosts make for
// unknown keys.
func (w *fakeCluster) countManifestRead(r rowstore.Range) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Table == (fakeManifests{}).Table() && r.Limit == 1 {
		w.confirmations++
	}
}

func (w *fakeCluster) confirmationCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmations
}

func (w *fakeCluster) stalls(table string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalledFeeds && table == (fakeManifests{}).Table()
}

func (w *fakeCluster) stallFeeds(stalled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalledFeeds = stalled
}

// setManifestReads sets how long a read of the operator's rows takes, and which fail.
func (w *fakeCluster) setManifestReads(took time.Duration, rejects func(rowstore.Range) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manifestReadTime, w.rejectsRead = took, rejects
}

// rejectsManifestRead reports whether a read fails. The caller holds the lock.
func (w *fakeCluster) rejectsManifestRead(r rowstore.Range) bool {
	return w.rejectsRead != nil && r.Table == (fakeManifests{}).Table() && w.rejectsRead(r)
}

// putManifest writes a manifest as the operator does.
func (w *fakeCluster) putManifest(version uint64, accounts map[string][]string) {
	value, err := json.Marshal(accountManifest{Version: version, Accounts: accounts})
	if err != nil {
		panic(err)
	}
	w.putManifestRow(value)
}

func (w *fakeCluster) putManifestRow(value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := rowstore.Key{Table: (fakeManifests{}).Table(), Name: (fakeManifests{}).Name()}
	w.version++
	w.rows[key] = rowstore.Row{Key: key, Value: value, Version: w.version}
	w.manifestRows = append(w.manifestRows, w.rows[key])
	w.record("manifest %s", value)
	close(w.changed)
	w.changed = make(chan struct{})
}

// manifestsAfter returns the rows of the manifest after a version. The caller holds the
// lock.
func (w *fakeCluster) manifestsAfter(version uint64) []rowstore.Row {
	i := slices.IndexFunc(w.manifestRows, func(r rowstore.Row) bool { return r.Version > version })
	if i < 0 {
		return nil
	}
	return slices.Clone(w.manifestRows[i:])
}

// withAccounts runs a test on hosts whose manifest has the accounts a, with the key a1, and
// b, with the key b1. All hosts are seeds. revokeWithin is 0 without strict revocation.
func withAccounts(t *testing.T, revokeWithin time.Duration, test func(t *testing.T, w *fakeCluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeCluster(3, 1)
		defer w.stopAll()
		w.manifests, w.revokeWithin = accountManifests{}, revokeWithin
		for _, h := range w.order {
			w.seeds = append(w.seeds, h.addr)
		}
		w.putManifest(1, map[string][]string{"a": {"a1"}, "b": {"b1"}})
		for _, h := range w.order {
			w.start(h)
		}
		time.Sleep(2 * time.Second)
		test(t, w)
	})
}

// cutOff cuts a host from the store and from all hosts except some, and restores its links
// to these.
func (w *fakeCluster) cutOff(h *fakeHost, except ...*fakeHost) {
	w.setCut(h, true, storeName)
	for _, other := range w.order {
		if other != h {
			w.setCut(h, !slices.Contains(except, other), other.name)
		}
	}
}
