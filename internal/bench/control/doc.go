// Package control measures the cost of the control plane at several fleet sizes: CPU
// time, traffic between peers, memory, calls to the platform, and the time until a
// configuration change is in effect on all entries.
package control
