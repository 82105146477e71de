// Package control measures what a node spends on control: processor time,
// traffic with peers, memory, calls of the platform, and the time until a change
// is in force everywhere, at several sizes of the fleet.
package control
