package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is an output whose writes block until release is closed.
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
	for range infoQueueLimit + 500 {
		log.Info("ordinary")
	}
	log.Warn("trouble")
	close(out.release)
	closeLog()
	text := out.buffer.String()
	if n := strings.Count(text, "ordinary"); n > infoQueueLimit+1 || n < infoQueueLimit-1 {
		t.Errorf("%d lines of the info level were written, want %d within 1", n, infoQueueLimit)
	}
	if !strings.Contains(text, "trouble") {
		t.Error("the warning was dropped before lines of the info level")
	}
}

func TestLinesBelowTheLevelAreNotLogged(t *testing.T) {
	var out bytes.Buffer
	log, closeLog := New(zapcore.WarnLevel, &out)
	log.Info("ordinary")
	log.With(zap.Int("Run", 1)).Warn("trouble")
	closeLog()
	if text := out.String(); strings.Contains(text, "ordinary") || !strings.Contains(text, `"Run":1`) {
		t.Errorf("log: %s; want the warning with its field and no line of the info level", text)
	}
}
