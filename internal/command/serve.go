package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/daemon"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const flagSettings = "settings"

// settingsFlags returns the flags of the commands that run a server.
func settingsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` in JSON", Required: true},
		formatFlag(),
	}
}

// serveCommand runs an entry host of package entry, which uses the platform's
// table service, object store and host list. hostCommand runs one of package
// host, which schedules the cell of the users' platform.
func serveCommand(signals *Signals) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "runs an entry host until SIGTERM or SIGINT; a second signal ends it at once",
		Description: example("cicadabarrow serve --settings examples/local/kita-hakata-1.json") +
			"\nThe log goes to standard error, one JSON object a line.",
		Flags:  settingsFlags(),
		Before: restoreDefaults(signals.hangups),
		Action: serveAction(signals, serve),
	}
}

// serveAction returns the action of a command that runs a server until SIGTERM or
// SIGINT.
func serveAction(signals *Signals, run func(ctx context.Context, file string) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return usageError(cmd, "%d arguments given; allowed is 0", cmd.Args().Len())
		}
		if err := run(signals.stopContext(ctx), cmd.String(flagSettings)); err != nil {
			return &failure{err: err, format: cmd.String(flagFormat)}
		}
		return nil
	}
}

func serve(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	log, err := newLog(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	d, err := daemon.New(s, timer.NewSystem(), log)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		d.Stop()
	case <-d.Done():
	}
	<-d.Done()
	return d.Err()
}

func newLog(level zapcore.Level) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.DisableStacktrace = true
	config.Sampling = nil
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	return config.Build()
}
