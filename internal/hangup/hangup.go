// Package hangup catches SIGHUP for an entry on the hosting platform from the earliest moment of
// the process that Go allows: the platform may send it right after the start, and its default is
// to end the process. The package imports next to nothing so that it is initialized before all
// other packages that could be; importing more would delay it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Command is the command whose processes don't end at SIGHUP.
const Command = "gateway"

// Received gets SIGHUP if the process runs Command, and nothing otherwise.
var Received = catch(os.Args)

func catch(args []string) <-chan os.Signal {
	// One that waits stands for all: the settings are read after it has been taken.
	received := make(chan os.Signal, 1)
	if len(args) > 1 && args[1] == Command {
		signal.Notify(received, syscall.SIGHUP)
	}
	return received
}
