package answer

import (
	"net/http"
	"slices"
)

// StatusKind is what a head with a status is.
type StatusKind int

const (
	// InvalidStatus: no response has that status. Neither the head nor what follows it is one.
	InvalidStatus StatusKind = iota
	// InterimStatus: the response follows.
	InterimStatus
	// FinalStatus: it is the head of the response.
	FinalStatus
)

// KindOf returns what a head with a status is. A switch of protocols is invalid, because no
// request asks for it.
func KindOf(status int) StatusKind {
	switch {
	case status == http.StatusSwitchingProtocols, status < http.StatusContinue, status > 599:
		return InvalidStatus
	case status < http.StatusOK:
		return InterimStatus
	}
	return FinalStatus
}

// StatesBody reports whether the header of an interim response states a body. It has none, so
// that the body would be read as the next head.
func StatesBody(h http.Header) bool {
	return len(h["Transfer-Encoding"]) > 0 || slices.ContainsFunc(h["Content-Length"], func(v string) bool { return v != "0" })
}
