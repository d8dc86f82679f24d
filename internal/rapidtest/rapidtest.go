// Package rapidtest sets the seed and other flags of the property-based testing
// library rapid, so that randomized tests give the same result in every CI run.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main is the body of a package's TestMain. It sets the given rapid flags unless
// the command line sets them. The flags are named without the prefix "rapid.":
// seed, checks, steps.
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
