package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// endOfAttempt is one way in which an attempt of work that may run once ends at an upstream that
// has read it.
type endOfAttempt struct {
	// answer writes what the upstream sends; the connection is closed afterwards.
	answer func(c net.Conn, req *http.Request)
	// deadline is how long the caller waits; 0 means the usual time.
	deadline time.Duration
	// status is what the caller gets; 0 means a closed connection.
	status int
	// isShared is set if the ends of streams have to be tested, too.
	isShared bool
	// longBody has the request sent with a body that the upstream does not read before it answers.
	longBody bool
}

// routes returns the routes on which the end is tested.
func (c endOfAttempt) routes() []string {
	if c.isShared {
		return []string{"order", "once"}
	}
	return []string{"order"}
}

// refusalWith returns a refusal with a status line and further headers.
func refusalWith(status, headers string) string {
	return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n"
}

func requestID(req *http.Request) string {
	return "Request-Id: " + req.Header.Get("Request-Id") + "\r\n"
}

// writes returns an upstream that writes a text, in which ID stands for the header with the
// request's ID and SEAL for the beginning of the head of a sealed answer.
func writes(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, req *http.Request) {
		_, _ = io.WriteString(c, strings.NewReplacer("ID\r\n", requestID(req), "SEAL\r\n", sealedHead(req)).Replace(text))
	}
}

// resets is writes with a reset in place of the close.
func resets(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, req *http.Request) {
		writes(text)(c, req)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// silent is an upstream that writes a text and then waits until the entry has left.
func silent(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, req *http.Request) {
		writes(text)(c, req)
		_, _ = io.Copy(io.Discard, c)
	}
}

// shortDeadline is the time of callers whose deadline passes while an attempt is in flight.
const shortDeadline = 2 * time.Second

// endsAfterARun are ends of attempts that may have run at the upstream.
func endsAfterARun() map[string]endOfAttempt {
	const other, none = "Request-Id: other\r\n", "Not-Executed: 1\r\n"
	cases := map[string]endOfAttempt{
		"closed":                             {isShared: true, answer: writes(""), status: 502},
		"reset":                              {answer: resets(""), status: 502},
		"status line cut":                    {answer: writes("HTTP/1.1 50"), status: 502},
		"head cut, closed":                   {answer: writes("HTTP/1.1 503 Busy\r\nID\r\n" + none), status: 502},
		"head cut, reset":                    {answer: resets("HTTP/1.1 503 Busy\r\nID\r\n" + none), status: 502},
		"no HTTP":                            {answer: writes("\x00\x01\x02\r\n\r\n"), status: 502},
		"interim answer, closed":             {answer: writes("HTTP/1.1 103 Early Hints\r\nID\r\n" + none + "\r\n"), status: 502},
		"silent":                             {isShared: true, answer: silent(""), deadline: shortDeadline, status: 504},
		"interim answer, silent":             {answer: silent("HTTP/1.1 100 Continue\r\n\r\n"), deadline: shortDeadline, status: 504},
		"body silent":                        {isShared: true, answer: silent("HTTP/1.1 200 OK\r\nSEAL\r\nContent-Length: 9\r\n\r\nx"), deadline: shortDeadline, status: 504},
		"body cut":                           {isShared: true, answer: writes("HTTP/1.1 200 OK\r\nSEAL\r\nContent-Length: 9\r\n\r\nx"), status: 502},
		"chunk cut":                          {isShared: true, answer: resets("HTTP/1.1 200 OK\r\nSEAL\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx"), status: 502},
		"without a seal":                     {answer: writes("HTTP/1.1 200 OK\r\nID\r\nContent-Length: 0\r\n\r\n"), status: 502},
		"success with the statement":         {answer: writes("HTTP/1.1 200 OK\r\nID\r\n" + none + "Content-Length: 0\r\n\r\n"), status: 502},
		"switch of protocols":                {answer: writes("HTTP/1.1 101 Switching\r\nID\r\n" + none + "\r\n"), status: 502},
		"statement in the trailer":           {answer: writes("HTTP/1.1 503 Busy\r\nID\r\nTransfer-Encoding: chunked\r\nTrailer: Not-Executed\r\n\r\n0\r\n" + none + "\r\n"), status: 502},
		"statement in the body":              {answer: writes("HTTP/1.1 503 Busy\r\nID\r\nContent-Length: 17\r\n\r\n" + none), status: 502},
		"refusal of another":                 {answer: writes(refusalWith("503 Busy", other+none)), status: 502},
		"misdirected, of another":            {answer: writes(refusalWith("421 Misdirected Request", other)), status: 502},
		"refusals of others, silent":         {answer: silent(strings.Repeat(refusalWith("503 Busy", other+none), 2)), deadline: shortDeadline, status: 504},
		"unnamed refusal":                    {isShared: true, answer: writes(refusalWith("503 Busy", none)), status: 502},
		"unnamed refusal after an interim":   {answer: writes("HTTP/1.1 103 Early Hints\r\n\r\n" + refusalWith("503 Busy", none)), status: 502},
		"misdirected, unnamed":               {answer: writes(refusalWith("421 Misdirected Request", "")), status: 502},
		"unnamed refusal, request unread":    {answer: writes(refusalWith("503 Busy", none)), status: 502, longBody: true},
		"reset, request unread":              {isShared: true, answer: resets(""), status: 502, longBody: true},
		"refusal of another, request unread": {answer: resets(refusalWith("503 Busy", other+none)), status: 502, longBody: true},
		"silent, request read late":          {answer: silent(""), deadline: shortDeadline, status: 504, longBody: true},
	}
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		cases[status+" without the statement"] = endOfAttempt{answer: writes(refusalWith(status, "SEAL\r\n")), status: 502}
		cases[status+" with an empty statement"] = endOfAttempt{answer: writes(refusalWith(status, "ID\r\nNot-Executed:\r\n")), status: 502}
	}
	return cases
}

// An attempt of work that may run once has ended after the upstream may have run it. The caller
// must not be promised that it has not run, and no other upstream may get it.
func TestEndOfAnAttemptPromisesThatTheRequestHasNotRun(t *testing.T) {
	for name, c := range endsAfterARun() {
		for _, route := range c.routes() {
			t.Run(name+", "+route, func(t *testing.T) {
				d := newDeployment(t)
				d.onceAttempts, d.maxBody = 3, 1<<20
				d.configure()
				call, service := plainCall(route, "r-1"), counterService
				if route == "once" {
					call, service = streamCall(route, "r-1"), engineService
				}
				if c.longBody {
					call.Body = strings.Repeat("x", 1<<20)
				}
				if c.deadline > 0 {
					call.Deadline = c.deadline
				}
				first := d.rawUpstream("i-1", service, c.answer)
				second := d.upstreamIn("zone-b", "i-2", service)
				a := d.startEntry("entry-1").send(t, call)
				require.EqualValues(t, 1, first.requests.Load())
				require.Zero(t, len(second.Runs()), "runs at another upstream")
				require.Equal(t, c.status, a.status, "%v %v", a.header, a.err)
				require.False(t, promisesNotRun(a.status))
			})
		}
	}
}

// A request that was refused at one upstream and may have run at the next is not refused.
func TestRefusalBeforeARunPromisesThatTheRequestHasNotRun(t *testing.T) {
	const refused = "503 Busy"
	for name, c := range map[string]endOfAttempt{
		"closed":         {answer: writes(""), status: 502},
		"silent":         {answer: silent(""), deadline: shortDeadline, status: 504},
		"failed as busy": {answer: writes(refusalWith(refused, "SEAL\r\n")), status: 502},
		"refused too":    {answer: writes(refusalWith(refused, "ID\r\nNot-Executed: 1\r\n")), status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.onceAttempts = 3
			d.configure()
			first := d.upstream("i-1", counterService)
			first.SetFault(upstream.Decline)
			second := d.rawUpstream("i-2", counterService, c.answer)
			d.store.PutUpstream("i-2", counterService, second.listener.Addr().String(), "zone-b", "ready")
			e := d.startEntry("entry-1")
			call := plainCall("order", "r-1")
			if c.deadline > 0 {
				call.Deadline = c.deadline
			}
			a := e.send(t, call)
			require.NoError(t, a.err)
			require.Len(t, first.Arrivals(), 1)
			require.EqualValues(t, 1, second.requests.Load())
			require.Equal(t, c.status, a.status)
		})
	}
}
