// Package upstream has the clients for what answers requests: model engines
// with the usual completions form, and plain HTTP services.
//
// Each call is one attempt on one upstream and returns a Result that says how
// the attempt ended and what it proves about whether the request ran. The
// clients never repeat a call by themselves.
package upstream
