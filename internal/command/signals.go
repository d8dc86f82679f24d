package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Signals receives the signals that servers handle, from the start of the process
// on. Commands that run no server give them back their default effect.
type Signals struct {
	// stops receives SIGTERM and SIGINT, and hangups SIGHUP.
	stops, hangups chan os.Signal
}

// NotifySignals begins to receive the signals of the process. The main function
// calls it first, since a signal that comes earlier ends the process, and the
// platform may stop a host, or announce new settings, as soon as it has started it.
func NotifySignals() *Signals {
	s := &Signals{stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
	return s
}

// stopContext returns a context that ends with the first SIGTERM or SIGINT, also
// with one that was received before the call. The second one has its default
// effect and ends the process immediately.
func (s *Signals) stopContext(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		defer signal.Stop(s.stops)
		select {
		case <-s.stops:
		case <-ctx.Done():
		}
	}()
	return ctx
}

// restoreDefaults returns a hook for before a command, which gives the signals of
// some channels their default effect again. One that was already received has this
// effect then.
func restoreDefaults(channels ...chan os.Signal) cli.BeforeFunc {
	return func(ctx context.Context, _ *cli.Command) (context.Context, error) {
		for _, received := range channels {
			signal.Stop(received)
			select {
			case s := <-received:
				if err := raise(s); err != nil {
					return ctx, err
				}
			default:
			}
		}
		return ctx, nil
	}
}

// raise sends a signal to this process.
func raise(s os.Signal) error {
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		return err
	}
	return self.Signal(s)
}
