// Package exchange is an HTTP/1.1 client that tracks the exact state of its
// connections, which net/http's client does not expose: whether a request was
// written completely, whether a response belongs to it, and whether the connection
// has unread data afterwards. A connection is reused only if it has none, so that
// bytes after a response are never read as the next response.
package exchange
