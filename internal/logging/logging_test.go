package logging

import (
	"bytes"
	"fmt"
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

// chunks is an output that keeps what each call wrote.
type chunks struct {
	started chan struct{}
	release chan struct{}
	written []string
}

func (c *chunks) Write(p []byte) (int, error) {
	c.written = append(c.written, string(p))
	if len(c.written) == 1 {
		close(c.started)
		<-c.release
	}
	return len(p), nil
}

func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	out := &chunks{started: make(chan struct{}), release: make(chan struct{})}
	log, closeLog := New(zapcore.InfoLevel, out)
	log.Info("first")
	<-out.started
	for i := range maxBatchLines + 1 {
		log.Info("later", zap.Int("Number", i))
	}
	close(out.release)
	closeLog()
	if len(out.written) != 3 || strings.Count(out.written[1], "\n") != maxBatchLines || strings.Count(out.written[2], "\n") != 1 {
		t.Errorf("%d calls wrote %q", len(out.written), out.written)
	}
	if !strings.Contains(out.written[2], fmt.Sprintf(`"Number":%d`, maxBatchLines)) {
		t.Errorf("the last line is %q", out.written[2])
	}
}
