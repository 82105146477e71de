// Command jaylink is the single binary of the serving system. It has the entry
// process, the operator commands and the stand-ins for tests and demonstrations.
//
// Exit codes of every command: 0 success; 1 failure, or the entry can't be reached;
// 2 bad input: a file, flag, object or setting is invalid or does not exist;
// 3 conflict: another operator changed the object first, nothing was written; 4 the
// platform did not answer, so the write may or may not have taken effect: retry it.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
)

// version is set by the linker.
var version = "dev"

// Exit codes of the commands.
const (
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
	exitUnknown  = 4
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func main() {
	app := kingpin.New(filepath.Base(os.Args[0]), "Serving system for reclaimable hosts.")
	app.Version(version)
	app.HelpFlag.Short('h')
	addEntry(app)
	addGateway(app)
	addApply(app)
	addGet(app)
	addDelete(app)
	addLabel(app)
	addStatus(app)
	addExplain(app)
	addWatch(app)
	addDrain(app)
	addSnapshot(app)
	addRestore(app)
	addReport(app)
	addCredential(app)
	addCalibrate(app)
	addCheck(app)
	addVersion(app)
	addLoad(app)
	addReplay(app)
	addSoak(app)
	addStandin(app)
	parsed := false
	app.Action(func(*kingpin.ParseContext) error { parsed = true; return nil })
	_, err := app.Parse(os.Args[1:])
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "jaylink: %v\n", err)
	var exit *exitError
	if errors.As(err, &exit) {
		os.Exit(exit.code)
	}
	if !parsed {
		os.Exit(exitBadInput)
	}
	os.Exit(exitFailed)
}

func addVersion(app *kingpin.Application) {
	app.Command("version", "Print the version.").Action(func(*kingpin.ParseContext) error {
		fmt.Println("jaylink", version)
		return nil
	})
}
