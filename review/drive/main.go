// Command drive plays the review's cases: it starts gateway processes as the deploy file
// does, on loopback addresses, with stand-ins of the platform, the runners and the
// clients. It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
)

// cases maps the name of a case to the function that plays it. The function reports
// whether the rule was broken.
var cases = map[string]func(*world) bool{}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) == 4 && os.Args[1] == "runner" {
		born, err := strconv.ParseInt(os.Args[3], 10, 64)
		must(err)
		serveUntilTerminated(os.Args[2], born)
		return exitHeld
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: drive CASE FOLDER; cases:", names)
		return exitNotRun
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer func() {
		if cause := recover(); cause != nil {
			w.logf("the case could not run: %v", cause)
			code = exitNotRun
		}
	}()
	if cases[os.Args[1]](w) {
		w.logf("BROKEN")
		return exitBroken
	}
	w.logf("held")
	return exitHeld
}
