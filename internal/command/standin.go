package command

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

func standinCommand(signals *Signals) *cli.Command {
	return &cli.Command{
		Name:        "standin",
		Usage:       "serves a stand-in platform on a loopback address, for trying out entry hosts",
		Description: example("cicadabarrow standin --settings examples/local/standin.json"),
		Flags:       settingsFlags(),
		Before:      restoreDefaults(signals.hangups),
		Action:      serveAction(signals, serveStandIn),
	}
}

func serveStandIn(ctx context.Context, file string) error {
	s, err := settings.LoadStandIn(file)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	d, err := newStandIn(s)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	listen, err := net.Listen("tcp", s.Addr.String())
	if err != nil {
		return fmt.Errorf("address of the stand-in: %w", err)
	}
	log, err := newLog(zapcore.InfoLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	server := standin.NewServer(d, listen, log)
	log.Named("standin").Info("stand-in platform started", zap.Stringer("Addr", s.Addr))
	select {
	case <-ctx.Done():
		server.Close()
	case <-server.Done():
	}
	return server.Err()
}

// newStandIn builds the stand-in deployment that the settings describe.
func newStandIn(s settings.StandIn) (*standin.Deployment, error) {
	d, err := standin.NewDeployment(standin.DeploymentConfig{
		Name: s.Deployment, Workers: s.Workers, Upstreams: s.Upstreams, Seed: s.Seed, HostLag: s.HostLag,
	}, timer.NewSystem())
	if err != nil {
		return nil, err
	}
	var hosts []platform.Host
	for _, h := range s.EntryHosts {
		hosts = append(hosts, platform.Host{Name: h.Name, DataCentre: h.DataCentre, Addr: h.PeerAddr})
	}
	if err := d.SetEntryHosts(hosts); err != nil {
		return nil, err
	}
	d.SetServerAddr(s.Addr)
	return d, nil
}
