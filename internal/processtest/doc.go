// Package processtest runs entry hosts as processes on loopback addresses, for tests that
// need whole processes.
package processtest

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"
)

const (
	// ConditionTimeout is the longest wait for a condition. It is not a time that the
	// product guarantees.
	ConditionTimeout = 60 * time.Second
	pollInterval     = 50 * time.Millisecond
)

// Await waits until a condition holds, and fails the test after ConditionTimeout. details
// tells what the failure shows besides; nil if nothing.
func Await(t *testing.T, what string, done func() bool, details func() string) {
	t.Helper()
	for end := time.Now().Add(ConditionTimeout); !done(); <-time.After(pollInterval) {
		if time.Now().Before(end) {
			continue
		}
		shown := ""
		if details != nil {
			shown = "; " + details()
		}
		t.Fatalf("timed out after %v waiting until %s%s", ConditionTimeout, what, shown)
	}
}

const (
	// firstPort and ports define a range below the ephemeral ports: the system could
	// give one of those to an outgoing connection after FreeAddr has found it free and
	// before the process listens on it.
	firstPort = 20000
	ports     = 12000
)

// nextPort is the offset of the last port that FreeAddr tried. It begins at an offset
// that depends on the process ID, so that processes seldom collide.
var nextPort = os.Getpid() * 97 % ports

// FreeAddr returns a loopback address on which nothing listens. Tests that call it do not
// run in parallel.
func FreeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	for range ports {
		nextPort = (nextPort + 1) % ports
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+nextPort))
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}
