// Command play2 runs one case of the second review: it starts gateway processes on loopback
// addresses, plays the platform, the servers and the clients, and judges what they have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// playLimit is how long a play may take.
const playLimit = 115 * time.Second

// cases maps the number of a case to its play. A play returns the violations that it saw.
var cases = map[string]func(*world) ([]string, error){}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case in args: its number and its folder.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play2 CASE FOLDER")
		return exitCannot
	}
	w, err := newWorld(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer w.close()
	defer time.AfterFunc(playLimit, func() {
		w.note("the play takes too long")
		w.close()
		os.Exit(exitCannot)
	}).Stop()
	broken, err := cases[args[0]](w)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	for _, line := range broken {
		w.note("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
