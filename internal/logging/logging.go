// Package logging makes the structured log of a process.
//
// A line is written by a goroutine of its own, from a bounded queue, so that
// nothing waits for the reader of the log. When lines come faster than they
// can be written, or faster than the allowed rate, the ones about ordinary work
// are left out first, and the number left out is logged.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 8192
	// maxQueuedInfoLines is how many may wait before lines below a warning are
	// left out.
	maxQueuedInfoLines = maxQueuedLines / 2
	// infoLinesPerSecond and ordinaryBurst bound the lines below a warning.
	infoLinesPerSecond = 3000
	infoLineBurst      = 6000
	// warningsPerSecond and troubleBurst bound warnings and errors.
	warningsPerSecond = 1000
	warningBurst      = 3000
	// reportInterval is the period at which the number of lines left out is
	// logged.
	reportInterval = 5 * time.Second
)

// New returns a logger that writes JSON lines to out, and a function that
// writes what waits and ends it.
func New(level zapcore.Level, out io.Writer) (*zap.Logger, func()) {
	writer := newWriter(out)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	inner := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, level)
	bounds := &limiter{
		writer:   writer,
		info:     rate.NewLimiter(infoLinesPerSecond, infoLineBurst),
		warnings: rate.NewLimiter(warningsPerSecond, warningBurst),
	}
	log := zap.New(&core{Core: inner, limiter: bounds})
	go writer.reportDropped(log)
	return log, writer.close
}

// limiter decides which lines are left out.
type limiter struct {
	writer   *writer
	info     *rate.Limiter
	warnings *rate.Limiter
}

func (b *limiter) allow(level zapcore.Level) bool {
	waiting := len(b.writer.queue)
	if level >= zapcore.WarnLevel {
		return waiting < maxQueuedLines && b.warnings.Allow()
	}
	return waiting < maxQueuedInfoLines && b.info.Allow()
}

// core is a zapcore.Core that leaves lines out before they are encoded.
type core struct {
	zapcore.Core
	limiter *limiter
}

// With returns a core with more fields on each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check adds this core to a line that is to be written.
func (c *core) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if !c.limiter.allow(entry.Level) {
		c.limiter.writer.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}

// writer hands lines to a goroutine.
type writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

func newWriter(out io.Writer) *writer {
	w := &writer{
		out: out, queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(w.done)
		w.run()
	}()
	return w
}

// Write queues a line, and leaves it out when the queue is full.
func (w *writer) Write(line []byte) (int, error) {
	// The encoder uses the buffer again.
	lineCopy := append([]byte(nil), line...)
	select {
	case w.queue <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (w *writer) Sync() error { return nil }

func (w *writer) run() {
	for {
		select {
		case line := <-w.queue:
			w.write(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *writer) flush() {
	for {
		select {
		case line := <-w.queue:
			w.write(line)
		default:
			return
		}
	}
}

func (w *writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		// There is nowhere else to say so.
		w.dropped.Add(1)
	}
}

// reportDropped logs now and then how many lines were left out.
func (w *writer) reportDropped(log *zap.Logger) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if n := w.dropped.Swap(0); n > 0 {
				log.Warn("log lines were left out", zap.Int64("Count", n))
			}
		case <-w.stop:
			return
		}
	}
}

func (w *writer) close() {
	close(w.stop)
	<-w.done
}
