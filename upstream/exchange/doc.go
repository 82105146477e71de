// Package exchange sends HTTP/1.1 requests over connections whose state it
// knows exactly, which net/http's client does not tell: how much of a request
// was written, whether the answer belongs to it, and whether the connection is
// clean afterwards. A connection is used again only after a clean exchange, so
// bytes that follow an answer can never be taken for the next one.
package exchange
