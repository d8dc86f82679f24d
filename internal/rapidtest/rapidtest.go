// Package rapidtest fixes the chance of stateful tests, so that CI gives the same
// verdict each time.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main is the body of a package's TestMain. It sets flags of rapid that the
// command line leaves open, by their names without the prefix: seed, checks,
// steps.
func Main(m *testing.M, flags map[string]string) {
	flag.Parse()
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range flags {
		name = "rapid." + name
		if setFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
