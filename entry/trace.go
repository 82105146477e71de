package entry

import (
	"io"
	"time"

	"jaylink/plugin/standard"
	"jaylink/trace"
)

// RecordTrace records the events of the decision core to a file until Stop. It
// must be called before Start. The trace contains the names of the modules in the
// chain but not their options.
func (e *Entry) RecordTrace(file io.WriteCloser) error {
	h := trace.Header{Start: time.Now(), Zone: e.settings.AvailabilityZone, Region: e.settings.Region, Recovery: e.settings.Recovery.rates()}
	for _, p := range e.settings.Plugins {
		h.Modules = append(h.Modules, p.ID)
	}
	if len(h.Modules) == 0 {
		for _, id := range standard.Order {
			h.Modules = append(h.Modules, string(id))
		}
	}
	recorder, err := trace.NewRecorder(file, h)
	e.driver.trace = recorder
	return err
}

// closeTrace closes the trace, if one is being recorded.
func (e *Entry) closeTrace() {
	if e.driver.trace == nil {
		return
	}
	if err := e.driver.trace.Close(); err != nil {
		e.log.Warn("the trace is incomplete", "step", "trace", "err", err)
	}
}
