package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// Streams of the runner processes: pieces and the time between two of them.
const (
	leavingEvents = 48
	leavingPause  = 120 * time.Millisecond
)

// serveUntilTerminated is a runner in a process of its own. Its answers have neither a
// length nor chunks and end with their channel. It prints its address, and exits at SIGTERM.
func serveUntilTerminated(id string, born int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &runner{id: id, listener: l, born: born, conns: map[net.Conn]bool{}}
	r.answer = func(c net.Conn, req *http.Request, _ []byte) bool {
		first := 0
		if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		_, err := io.WriteString(c, r.head(req, "Content-Type: text/event-stream\r\nConnection: close\r\n"))
		for n := first; n < leavingEvents && err == nil; n++ {
			time.Sleep(leavingPause)
			_, err = io.WriteString(c, event(n))
		}
		return false
	}
	go r.accept()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	fmt.Println(l.Addr())
	<-stop
}

// runnerProcess is a runner that runs as a process.
type runnerProcess struct {
	runner
	address string
	cmd     *exec.Cmd
}

func (w *world) startRunnerProcess(id, service, zone string) *runnerProcess {
	p := &runnerProcess{runner: runner{id: id, service: service, zone: zone, born: time.Now().UnixMilli()}}
	p.cmd = exec.Command(os.Args[0], "runner", id, strconv.FormatInt(p.born, 10))
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	must(err)
	must(p.cmd.Start())
	w.closers = append(w.closers, func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	p.address, err = bufio.NewReader(out).ReadString('\n')
	must(err)
	p.address = strings.TrimSpace(p.address)
	return p
}

// playLeaving: one of two runners is replaced as planned while it writes streams without a
// length.
func playLeaving(w *world) bool {
	const drain = 2500 * time.Millisecond
	leaving := w.startRunnerProcess("i-0001", "caption", "zone-a")
	w.listAt(&leaving.runner, leaving.address, "ready")
	other := w.startRunnerProcess("i-0002", "caption", "zone-a")
	w.listAt(&other.runner, other.address, "ready")
	w.configure([]route{{name: "draft", kind: "streaming", service: "caption", attempts: 2, resumable: true, timeout: 10 * time.Second}},
		[]service{{name: "caption", engine: true}})
	w.startGateways(2, "zone-a")
	var group sync.WaitGroup
	var mu sync.Mutex
	served, spoilt := 0, 0
	const streams = 16
	for i := range streams {
		group.Go(func() {
			client, g := newClient(), w.gateways[i%len(w.gateways)]
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			prefix := fmt.Sprintf("5c1e07a2:300,%x:100", 0x1000+i)
			out := call(client, g.front(), http.MethodPost, "/draft/1", newID(), "prompt", 10*time.Second, "400,160", prefix)
			whole := bytes.Equal(out.body, stream(leavingEvents))
			w.logf("client sent %s to %s and got status %d, sealed: %v, %d of %d pieces, complete: %v (%v), whole stream: %v",
				out.id, g.name, out.status, out.sealed, bytes.Count(out.body, []byte("\n\n")), leavingEvents, out.err == nil, out.err, whole)
			mu.Lock()
			defer mu.Unlock()
			if whole && out.err == nil {
				served++
			}
			if out.status == http.StatusOK && out.err == nil && !whole {
				w.logf("ORDER: %s ends as complete before its last piece", out.id)
				spoilt++
			}
		})
	}
	if w.trouble {
		time.Sleep(2500 * time.Millisecond)
		next := w.startRunnerProcess("i-0003", "caption", "zone-a")
		w.listAt(&next.runner, next.address, "ready")
		time.Sleep(500 * time.Millisecond)
		w.listAt(&leaving.runner, leaving.address, "draining")
		time.Sleep(drain + 300*time.Millisecond)
		w.logf("runner %s exits", leaving.id)
		must(leaving.cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(100 * time.Millisecond)
		w.store.Delete("servers", leaving.id)
	}
	group.Wait()
	w.logf("of %d streams %d were served whole, %d ended early as complete", streams, served, spoilt)
	if !w.trouble && served != streams {
		panic("a sound stream was not served")
	}
	return spoilt > 0
}
