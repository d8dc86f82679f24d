// Package logging provides the structured logger of a process.
//
// A dedicated goroutine writes the lines from a bounded queue, so that a caller
// never blocks when the output is slow or blocked. When lines arrive faster than
// they can be written, or faster than the rate limit, lines below the level of a
// warning are dropped first, and the number of dropped lines is logged.
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
	// maxQueuedLines is the capacity of the queue of lines to be written.
	maxQueuedLines = 8192
	// infoQueueLimit is the queue length from which lines below the level of a
	// warning are dropped. All queued lines count, of any level. The rest of the
	// queue is reserved for warnings and errors.
	infoQueueLimit = maxQueuedLines / 2
	// infoLinesPerSecond and infoLineBurst limit the rate of lines below the
	// level of a warning.
	infoLinesPerSecond = 3000
	infoLineBurst      = 6000
	// warningsPerSecond and warningBurst limit the rate of warnings and errors.
	warningsPerSecond = 1000
	warningBurst      = 3000
	// maxBatchLines limits the lines that are written at once.
	maxBatchLines = 64
	// reportInterval is the interval at which the number of dropped lines is
	// logged.
	reportInterval = 5 * time.Second
)

// New returns a logger that writes JSON lines to out, and a function that
// flushes the queued lines and stops the logger.
func New(level zapcore.Level, out io.Writer) (*zap.Logger, func()) {
	writer := newWriter(out)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	inner := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, level)
	limits := &limiter{
		writer:   writer,
		info:     rate.NewLimiter(infoLinesPerSecond, infoLineBurst),
		warnings: rate.NewLimiter(warningsPerSecond, warningBurst),
	}
	log := zap.New(&core{Core: inner, limiter: limits})
	go writer.reportDropped(log)
	return log, writer.close
}

// limiter drops lines beyond the rate limit, or if the queue is too long. Write
// drops a line only if the queue has become full since.
type limiter struct {
	writer   *writer
	info     *rate.Limiter
	warnings *rate.Limiter
}

func (l *limiter) allow(level zapcore.Level) bool {
	waiting := l.writer.waiting()
	if level >= zapcore.WarnLevel {
		return waiting < maxQueuedLines && l.warnings.Allow()
	}
	return waiting < infoQueueLimit && l.info.Allow()
}

// core is a zapcore.Core that drops lines before they are encoded.
type core struct {
	zapcore.Core
	limiter *limiter
}

// With returns a core that adds the fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check adds this core to the checked entry unless the line is below the level
// of the log or is dropped.
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

// writer queues lines for the goroutine that writes them to out.
type writer struct {
	out   io.Writer
	queue chan []byte
	// batch has the lines that are being written, and batchLines their number. Lines
	// that are queued together are written together, since a call costs more than a line.
	batch      []byte
	batchLines atomic.Int64
	dropped    atomic.Int64
	stop       chan struct{}
	done       chan struct{}
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

// Write queues a line, or drops it when the queue is full.
func (w *writer) Write(line []byte) (int, error) {
	// The encoder reuses the buffer.
	lineCopy := append([]byte(nil), line...)
	select {
	case w.queue <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the writing goroutine writes lines as they arrive.
func (w *writer) Sync() error { return nil }

// waiting returns the number of lines that are queued or being written.
func (w *writer) waiting() int { return len(w.queue) + int(w.batchLines.Load()) }

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

// write writes a line, together with the next ones that are queued already.
func (w *writer) write(line []byte) {
	w.batch = append(w.batch[:0], line...)
	w.batchLines.Store(1)
	for w.batchLines.Load() < maxBatchLines && w.addQueued() {
		continue
	}
	if _, err := w.out.Write(w.batch); err != nil {
		// There is no other place to report the write error.
		w.dropped.Add(w.batchLines.Load())
	}
	w.batchLines.Store(0)
}

// addQueued adds a queued line to the batch, if there is one.
func (w *writer) addQueued() bool {
	select {
	case line := <-w.queue:
		w.batch = append(w.batch, line...)
		w.batchLines.Add(1)
		return true
	default:
		return false
	}
}

// reportDropped periodically logs how many lines were dropped. Package logtrace
// matches the message.
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
