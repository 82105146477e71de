package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// outcome is what a client has received.
type outcome struct {
	id     string
	sentAt time.Time
	status int
	seal   string
	body   []byte
	// err is set if there is no answer, or if it is incomplete.
	err error
}

var nextID atomic.Int64

// newID returns a request ID that was not used before.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+nextID.Add(1)) }

// call sends one request and reads its answer.
func call(client *http.Client, front, method, target, id, body string, deadline time.Duration, header map[string]string) outcome {
	// The client reads on for a while after its time budget, to see a late answer.
	ctx, cancel := context.WithTimeout(context.Background(), deadline+3*time.Second)
	defer cancel()
	out := outcome{id: id, sentAt: time.Now()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+target, strings.NewReader(body))
	must(err)
	req.Host = host
	req.Header.Set("Request-Id", out.id)
	req.Header.Set("Key", key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	out.body, out.err = io.ReadAll(resp.Body)
	return out
}

// newClient returns a client with channels of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
}
