// Package hosting is a client for jaylink's own hosting API: the Object API, the
// host list, host orders, reclaim notices and the weight store. The API uses HTTP
// with JSON bodies. The users' platform has a different API, which package platform
// translates.
package hosting
