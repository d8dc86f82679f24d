package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is a reader of the log that takes nothing until it is let go.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, closeLog := New(zapcore.InfoLevel, out)
	for range maxQueuedInfoLines + 500 {
		log.Info("ordinary")
	}
	log.Warn("trouble")
	close(out.release)
	closeLog()
	text := out.buffer.String()
	if n := strings.Count(text, "ordinary"); n > maxQueuedInfoLines+1 || n < maxQueuedInfoLines-1 {
		t.Errorf("%d ordinary lines were written; %d may wait", n, maxQueuedInfoLines)
	}
	if !strings.Contains(text, "trouble") {
		t.Error("the warning was left out before ordinary lines")
	}
}

func TestLinesBelowTheLevelAreDropped(t *testing.T) {
	var out bytes.Buffer
	log, closeLog := New(zapcore.WarnLevel, &out)
	log.Info("ordinary")
	log.With(zap.Int("Run", 1)).Warn("trouble")
	closeLog()
	if text := out.String(); strings.Contains(text, "ordinary") || !strings.Contains(text, `"Run":1`) {
		t.Errorf("written: %s", text)
	}
}
