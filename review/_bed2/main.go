// Command review-bed-2 plays the scripted cases of the second review: it starts the system's
// own processes beside stand-ins for the platform, its workers and its clients, and checks
// what these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not be played.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the outcome of a case.
type verdict int

const (
	held verdict = iota
	broken
	notPlayed
)

// cases has the scripted cases by name. A case plays its disruption if trouble is set.
var cases = map[string]struct {
	hosts, workers int
	play           func(b *bed, trouble bool) verdict
}{
	"lasting": {3, 6, playLasting},
	"cancel":  {3, 6, playCancel},
	"reborn":  {3, 8, playReborn},
}

func main() {
	os.Exit(int(run()))
}

func run() verdict {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-bed-2 CASE RECORD")
		return notPlayed
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		return notPlayed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	b, err := newBed(dir, os.Args[2], c.hosts, c.workers)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	time.Sleep(3 * time.Second) // until the owner has heard all workers
	v := c.play(b, os.Getenv("TROUBLE") != "0")
	text := map[verdict]string{held: "the rule held", broken: "the rule was broken", notPlayed: "the case could not be played"}[v]
	b.note("%s", text)
	fmt.Println(text)
	return v
}
