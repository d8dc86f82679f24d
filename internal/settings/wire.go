package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"
)

// wire is the JSON form of Settings. Optional durations and numbers are
// pointers, so that an explicit zero differs from an omitted field.
type wire struct {
	Name          string `validate:"name"`
	Region        string `validate:"name"`
	DataCentre    string `validate:"name"`
	PeerAddr      string `validate:"address"`
	HTTPAddr      string `validate:"address"`
	Advertise     string `validate:"omitempty,address"`
	Platform      wirePlatform
	Peers         []string `validate:"dive,address"`
	KeysFile      string   `validate:"required"`
	TLS           wireTLS
	Limits        wireLimits
	Lease         wireLease
	BalancerGrace *string `validate:"omitnil,duration=0s:1m"`
	LogLevel      string  `validate:"omitempty,oneof=debug info warn error"`
}

type wirePlatform struct {
	TableURL   string `validate:"baseurl"`
	ObjectsURL string `validate:"baseurl"`
	HostsURL   string `validate:"baseurl"`
}

type wireTLS struct {
	CertFile string
	KeyFile  string
}

type wireLimits struct {
	MaxBody         *int64  `validate:"omitnil,number=1:67108864"`
	MaxDeadline     *string `validate:"omitnil,duration=10ms:10m"`
	DefaultDeadline *string `validate:"omitnil,duration=10ms:10m"`
	Queue           *int    `validate:"omitnil,number=1:1000000"`
}

type wireLease struct {
	HostTTL     *string `validate:"omitnil,duration=200ms:1m"`
	RenewEvery  *string `validate:"omitnil,duration=50ms:20s"`
	PromiseFor  *string `validate:"omitnil,duration=150ms:1m"`
	TaskLease   *string `validate:"omitnil,duration=500ms:5m"`
	ReportEvery *string `validate:"omitnil,duration=100ms:1m"`
}

// settings converts the JSON form to Settings. A malformed value becomes zero;
// validation has already reported it.
func (w *wire) settings() Settings {
	s := Settings{
		Name:          w.Name,
		Region:        w.Region,
		DataCentre:    w.DataCentre,
		PeerAddr:      parseAddress(w.PeerAddr),
		HTTPAddr:      parseAddress(w.HTTPAddr),
		Advertise:     parseAddress(w.Advertise),
		Platform:      Platform(w.Platform),
		KeysFile:      w.KeysFile,
		TLS:           TLS(w.TLS),
		Limits:        w.Limits.limits(),
		Lease:         w.Lease.lease(),
		BalancerGrace: durationOr(w.BalancerGrace, DefaultBalancerGrace),
		LogLevel:      parseLogLevel(w.LogLevel),
	}
	if w.Advertise == "" {
		s.Advertise = s.PeerAddr
	}
	for _, peer := range w.Peers {
		s.Peers = append(s.Peers, parseAddress(peer))
	}
	return s
}

func (w *wireLimits) limits() Limits {
	return Limits{
		MaxBody:         numberOr(w.MaxBody, DefaultMaxBody),
		MaxDeadline:     durationOr(w.MaxDeadline, DefaultMaxDeadline),
		DefaultDeadline: durationOr(w.DefaultDeadline, DefaultDeadline),
		Queue:           numberOr(w.Queue, DefaultQueueLength),
	}
}

func (w *wireLease) lease() Lease {
	return Lease{
		HostTTL:     durationOr(w.HostTTL, DefaultHostTTL),
		RenewEvery:  durationOr(w.RenewEvery, DefaultRenewEvery),
		PromiseFor:  durationOr(w.PromiseFor, DefaultPromiseFor),
		TaskLease:   durationOr(w.TaskLease, DefaultTaskLease),
		ReportEvery: durationOr(w.ReportEvery, DefaultReportEvery),
	}
}

func parseAddress(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}

func durationOr(text *string, fallback time.Duration) time.Duration {
	if text == nil {
		return fallback
	}
	value, err := time.ParseDuration(*text)
	if err != nil {
		return 0
	}
	return value
}

func numberOr[T int | int64 | float64](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

func parseLogLevel(text string) zapcore.Level {
	value, err := zapcore.ParseLevel(text)
	if err != nil {
		return zapcore.InfoLevel
	}
	return value
}
