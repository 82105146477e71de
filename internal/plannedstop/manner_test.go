package plannedstop

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// manner is how a caller sends a request.
type manner int

const (
	atOnce manner = iota
	// inPieces sends the head and the body in pieces, with pauses of pieceGap.
	inPieces
	// inChunks sends the body without a length.
	inChunks
	// expecting waits for the status 100 before it sends the body.
	expecting
	// closing uses the connection for one request.
	closing
	// old speaks HTTP/1.0.
	old
	manners
)

func (m manner) String() string {
	return [...]string{"at once", "in pieces", "in chunks", "expecting 100", "closing", "HTTP/1.0"}[m]
}

const (
	pieces   = 4
	pieceGap = 15 * time.Millisecond
)

// sendAs sends a request.
func (c *connection) sendAs(m manner, req *http.Request) error {
	c.last = req
	switch m {
	case inChunks:
		if req.Body != http.NoBody {
			req.ContentLength, req.TransferEncoding = -1, []string{"chunked"}
		}
	case expecting:
		req.Header.Set("Expect", "100-continue")
	case closing:
		req.Close = true
	}
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return err
	}
	switch m {
	case inPieces:
		return c.writePieces(b.Bytes())
	case expecting:
		return c.writeExpecting(b.Bytes())
	case old:
		text := strings.Replace(b.String(), " HTTP/1.1\r\n", " HTTP/1.0\r\n", 1)
		b.Reset()
		b.WriteString(text)
	}
	_, err := c.Write(b.Bytes())
	return err
}

func (c *connection) writePieces(data []byte) error {
	for n := range pieces {
		if _, err := c.Write(data[len(data)*n/pieces : len(data)*(n+1)/pieces]); err != nil {
			return err
		}
		if n < pieces-1 {
			time.Sleep(pieceGap)
		}
	}
	return nil
}

// writeExpecting sends the body after the status 100, and no body after any other.
func (c *connection) writeExpecting(data []byte) error {
	head, body, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	if _, err := fmt.Fprintf(c, "%s\r\n\r\n", head); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	resp, err := http.ReadResponse(c.reader, c.last)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusContinue:
		c.early = resp
		return nil
	}
	_, err = c.Write(body)
	return err
}
