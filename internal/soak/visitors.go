package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// longestStay bounds how long a caller that leaves waits for its answer.
	longestStay = 120 * time.Millisecond
	// visitPause is the time between two requests of a visitor.
	visitPause = 40 * time.Millisecond
	// shortestLongBody and longestLongBody bound the long bodies, in bytes. They are sent in
	// bodyPieces pieces, with pauses of up to longestBodyPause.
	shortestLongBody, longestLongBody = 10_000, maxBody - 1000
	bodyPieces                        = 5
	longestBodyPause                  = 60 * time.Millisecond
	// maxPipelined is the most requests that are sent at once on a connection.
	maxPipelined = 4
	// guestTime is how long a key is in force before it is withdrawn.
	guestTime = time.Second
)

// visitors run concurrently with the other series, beside planned work, too: callers that behave
// unlike the others.
var visitors = []fault{
	{"callers_leave", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		return f.visit(rng, hold, func(c *client, e *entry, id string) []observation {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.Int64N(int64(longestStay))))
			defer cancel()
			return []observation{c.call(ctx, e, routes[rng.IntN(len(routes))], id, f.key())}
		})
	}},
	{"bodies_long", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		return f.visit(rng, hold, func(c *client, e *entry, id string) []observation {
			body := id + strings.Repeat(" "+id, (shortestLongBody+rng.IntN(longestLongBody-shortestLongBody))/(len(id)+1))
			return c.converse(e, bodyPieces, request{[]string{"stream", "once", "order"}[rng.IntN(3)], id, body})
		})
	}},
	{"requests_pipelined", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		return f.visit(rng, hold, func(c *client, e *entry, id string) []observation {
			var list []request
			for i := range 2 + rng.IntN(maxPipelined-1) {
				list = append(list, request{routes[rng.IntN(len(routes))], fmt.Sprintf("%s-%d", id, i), "prompt of " + id})
			}
			return c.converse(e, 1, list...)
		})
	}},
	{"key_withdrawn", func(f *fleet, rng *rand.Rand, hold time.Duration) string { return f.withdrawKey(rng, hold) }},
}

// visit sends requests to random entries for the hold time and keeps what came of them.
func (f *fleet) visit(rng *rand.Rand, hold time.Duration, send func(c *client, e *entry, id string) []observation) string {
	c := &client{fleet: f, rng: rng, http: &http.Client{Transport: &http.Transport{}}}
	defer c.http.CloseIdleConnections()
	visitor, sent := rng.Uint64(), 0
	for end := time.Now().Add(hold); time.Now().Before(end); sent++ {
		list := send(c, anyEntry(f, rng), fmt.Sprintf("visit-%x-%d", visitor, sent))
		f.mu.Lock()
		f.visits = append(f.visits, list...)
		f.mu.Unlock()
		time.Sleep(visitPause)
	}
	return fmt.Sprintf("visit-%x, %d times", visitor, sent)
}

// request is a request of a conversation.
type request struct{ route, id, body string }

// converse sends requests on a connection of their own, all at once or in pieces with pauses, and
// reads the answers.
func (c *client) converse(e *entry, pieces int, list ...request) []observation {
	var text bytes.Buffer
	var sent []*http.Request
	out := make([]observation, len(list))
	for i, r := range list {
		call := c.compose(r.route, r.id, c.fleet.key(), r.id, r.body)
		out[i] = observation{id: r.id, route: r.route, entry: e.name, target: call.Target, body: call.Body, kept: i > 0, started: time.Now()}
		c.fleet.recordSender(r.id, e)
		req, err := call.Request(context.Background(), e.callerAddress())
		if err == nil {
			err = req.Write(&text)
		}
		if err != nil {
			out[i].problem = err.Error()
		}
		sent = append(sent, req)
	}
	conn, err := net.DialTimeout("tcp", e.callerAddress(), callTimeout)
	if err != nil {
		end(out, time.Now())
		return out
	}
	defer conn.Close()
	// An error shows in the answers, and a connection whose time is over ends them.
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	at := c.write(conn, text.Bytes(), pieces)
	answers := bufio.NewReader(conn)
	for i := range out {
		// The entry can't begin with a request before it has answered the one before.
		out[i].sent = at
		resp, err := http.ReadResponse(answers, sent[i])
		if err != nil {
			end(out[i:], time.Now())
			return out
		}
		out[i].read(resp, out[i].target)
		at = time.Now()
		out[i].ended = at
	}
	return out
}

// end marks requests that got no answer.
func end(list []observation, at time.Time) {
	for i := range list {
		list[i].ended = at
	}
}

// write writes bytes in pieces and returns when the last one was written, or the zero value.
func (c *client) write(conn net.Conn, text []byte, pieces int) time.Time {
	for size := len(text)/pieces + 1; len(text) > 0; {
		n := min(size, len(text))
		if _, err := conn.Write(text[:n]); err != nil {
			return time.Time{}
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(longestBodyPause))))
		}
	}
	return time.Now()
}

// lateUse is a request with a key after the store confirmed that it was withdrawn.
type lateUse struct {
	observation
	withdrawn time.Time
}

// withdrawKey puts a key into force, withdraws it and goes on using it.
func (f *fleet) withdrawKey(rng *rand.Rand, hold time.Duration) string {
	key := fmt.Sprintf("guest-%x", rng.Uint64())
	f.setGuestKey(key)
	c := &client{fleet: f, rng: rng, http: &http.Client{Transport: &http.Transport{}}}
	defer c.http.CloseIdleConnections()
	use := func(limit time.Duration, withdrawn time.Time) (sent int) {
		for end := time.Now().Add(limit); time.Now().Before(end); sent++ {
			v := c.call(context.Background(), anyEntry(f, rng), "status", fmt.Sprintf("%s-%d-%d", key, withdrawn.UnixMilli(), sent), key)
			if !withdrawn.IsZero() {
				f.mu.Lock()
				f.lateUses = append(f.lateUses, lateUse{v, withdrawn})
				f.mu.Unlock()
			}
			time.Sleep(visitPause)
		}
		return sent
	}
	use(guestTime, time.Time{})
	f.setGuestKey("")
	return fmt.Sprintf("%s, %d times", key, use(applyBound+hold, time.Now()))
}

// setGuestKey puts a version of the configuration into force that has a further key, or none.
func (f *fleet) setGuestKey(key string) {
	f.mu.Lock()
	f.guestKey = key
	f.mu.Unlock()
	f.configure()
}
