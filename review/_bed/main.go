// Command bed plays one case of the review: it starts hosts as separate processes with
// stand-ins around them, writes record.txt to the folder of the case, and exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
//
//	bed CASE FOLDER
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*bed){
		"cutoff":  cutoff,
		"foreign": foreign,
		"kinds":   kinds,
		"twice":   twice,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE FOLDER")
		os.Exit(statusImpossible)
	}
	b := newBed(os.Args[2])
	cases[os.Args[1]](b)
	os.Exit(b.finish())
}
