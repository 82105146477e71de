// Command rig3 plays the cases of the third review against real gateway processes. It exits with
// 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"leaving": playLeaving,
	"removed": playRemoved,
	"deadly":  playDeadly,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.file.Close()
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { f.stop(os.Getenv("KEEP_LOGS") != "") }()
	broken, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		fmt.Println("the rule was broken; see", path)
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
