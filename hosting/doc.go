// Package hosting is the client of jaylink's own hosting interface: the Object
// API, the host list, host orders, reclaim notices and the weight store. It
// speaks HTTP with JSON bodies. The users' platform has an interface of its own,
// which package platform translates.
package hosting
