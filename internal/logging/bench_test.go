package logging

import (
	"os"
	"runtime"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// BenchmarkLines logs groups of lines like those of a decision. A call to the output
// costs less here than on a pipe.
func BenchmarkLines(b *testing.B) {
	const group = 13
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	w := newWriter(out)
	defer func() {
		w.close()
		_ = out.Close()
	}()
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, zapcore.InfoLevel))
	b.ReportAllocs()
	for range b.N {
		for range group {
			log.Info("starting", zap.String("Job", "3c938d252aebf614"), zap.String("Task", "3c938d252aebf614.0.0.12"), zap.Int("Run", 1))
		}
		for w.waiting() > 0 {
			runtime.Gosched()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/group, "ns/line")
}
