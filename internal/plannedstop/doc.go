// Package plannedstop has the process-level tests of planned stops: gateways as processes
// that get no processor time while requests arrive.
package plannedstop
