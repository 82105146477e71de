// Command demo demonstrates jaylink on loopback with separate processes: a
// platform, model engines in three availability zones, a plain service and two
// entries. It prints each step and exits with status 1 if a step fails.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"jaylink/decision/reason"
	"jaylink/hosting"
	"jaylink/internal/procs"
	"jaylink/standin/engine"
	"jaylink/standin/service"
	"jaylink/upstream"
)

// Addresses used in the example files.
const (
	platformAddress = "127.0.0.1:20000"
	callerA         = "http://127.0.0.1:20100"
	operatorA       = "127.0.0.1:20101"
	callerB         = "http://127.0.0.1:20110"
	operatorB       = "127.0.0.1:20111"
	serviceAddress  = "127.0.0.1:22101"
)

var engines = map[string]string{
	"caption-lm-01": "127.0.0.1:21001", // surat-a
	"caption-lm-07": "127.0.0.1:21007", // surat-b
	"caption-lm-13": "127.0.0.1:21013", // mehsana-a
}

const (
	stopTimeout   = 30 * time.Second
	captionTokens = 120
	captionPrompt = "શ્રદ્ધાંજલિ કાર્ડ માટે લાંબી કવિતા લખો"
)

func main() {
	binary := flag.String("binary", "bin/jaylink", "path of the jaylink binary")
	examples := flag.String("examples", "examples", "directory of the example files")
	flag.Parse()
	d := &demo{group: procs.NewGroup(*binary), examples: *examples}
	err := d.run()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	fmt.Println("demo: stopping every process")
	if err = errors.Join(err, d.group.Stop(ctx)); err != nil {
		fmt.Println("demo: FAILED:", err)
		os.Exit(1)
	}
	fmt.Printf("demo: ok answered=%d booked=%d in_force=%d\n", d.answered, d.booked, d.inForce.Milliseconds())
}

type demo struct {
	group    *procs.Group
	examples string
	answered int
	booked   int
	inForce  time.Duration
}

func (d *demo) run() error {
	steps := []struct {
		name string
		run  func() error
	}{
		{"start a platform, three engines, a plain service and two entries", d.startProcesses},
		{"apply the examples of both deployments", d.applyExamples},
		{"stream a Gujarati caption", d.streamCaption},
		{"look up the status of an order", d.lookUpOrder},
		{"send a booking twice with the same idempotency key", d.bookTwice},
		{"change a label and wait until it is in force on both entries", d.changeLabel},
	}
	for _, s := range steps {
		fmt.Println("demo:", s.name)
		if err := s.run(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func (d *demo) startProcesses() error {
	if _, err := d.group.Start("platform", "standin", "platform", "--listen", platformAddress); err != nil {
		return err
	}
	for name, address := range engines {
		if _, err := d.group.Start(name, "standin", "engine", "--name", name, "--listen", address); err != nil {
			return err
		}
	}
	if _, err := d.group.Start("service", "standin", "service", "--listen", serviceAddress); err != nil {
		return err
	}
	if err := d.setHosts(); err != nil {
		return err
	}
	for _, name := range []string{"surat-a", "surat-b"} {
		file := filepath.Join(d.examples, "parikh-smriti", "entry-"+name+".yaml")
		if _, err := d.group.Start("entry-"+name, "entry", "--settings", file); err != nil {
			return err
		}
	}
	return errors.Join(procs.AwaitHTTP(callerA+"/healthz/ready"), procs.AwaitHTTP(callerB+"/healthz/ready"))
}

// setHosts sets the upstream hosts that the platform lists as live.
func (d *demo) setHosts() error {
	if err := procs.AwaitHTTP("http://" + platformAddress + "/v1/hosts"); err != nil {
		return err
	}
	list := hosting.HostList{Hosts: []hosting.Host{{Name: "workshop-desk-1", Role: hosting.RoleUpstream, State: hosting.HostLive}}}
	for name, address := range engines {
		list.Hosts = append(list.Hosts, hosting.Host{Name: name, Role: hosting.RoleUpstream, Address: address, State: hosting.HostLive})
		if err := procs.AwaitHTTP("http://" + address + "/load"); err != nil {
			return err
		}
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+platformAddress+"/v1/hosts", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (d *demo) applyExamples() error {
	out, err := d.group.Run("apply", "--entry", operatorA,
		"-f", filepath.Join(d.examples, "parikh-smriti"), "-f", filepath.Join(d.examples, "forbund"))
	if err != nil {
		return fmt.Errorf("%w\n%s", err, out)
	}
	fmt.Printf("demo:   %d objects accepted\n", strings.Count(out, " accepted "))
	// Entries read the host list after they learn of the upstreams. Until then
	// they may select hosts that do not exist, which costs a retry.
	return procs.Await("the objects on the other entry", func() bool {
		list, err := d.group.Run("get", "--entry", operatorB)
		return err == nil && strings.Count(list, "\n") > 55
	})
}

func (d *demo) streamCaption() error {
	body, err := json.Marshal(upstream.Completion{Model: "caption-lm", Prompt: captionPrompt, MaxTokens: captionTokens, Stream: true})
	if err != nil {
		return err
	}
	resp, err := send(http.MethodPost, callerA+"/v1/completions", "captions", "desai-parivar", "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var text strings.Builder
	complete := false
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return err
		}
		if event.Data == upstream.StreamEnd {
			complete = true
			break
		}
		var chunk upstream.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return fmt.Errorf("unexpected event %q", event.Data)
		}
		text.WriteString(chunk.Choices[0].Text)
	}
	if !complete || text.String() != engine.Text(captionPrompt, captionTokens) {
		return fmt.Errorf("the caption is incomplete or wrong: %d bytes", text.Len())
	}
	d.answered++
	fmt.Printf("demo:   %d bytes, %.60s...\n", text.Len(), text.String())
	return nil
}

func (d *demo) lookUpOrder() error {
	_, err := d.callDesk(http.MethodGet, callerB+"/orders/1017", "", nil, http.StatusOK)
	return err
}

// callDesk sends a request to the workshop desk service, checks the status of the
// answer and returns its body.
func (d *demo) callDesk(method, url, key string, body []byte, want int) (string, error) {
	resp, err := send(method, url, "desk", "vasteras-falg", key, body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != want {
		return "", fmt.Errorf("%s %s: status %d, want %d: %s", method, url, resp.StatusCode, want, data)
	}
	d.answered++
	fmt.Printf("demo:   %d %s", resp.StatusCode, data)
	return string(data), nil
}

func (d *demo) bookTwice() error {
	body := []byte(`{"wheel":"kerb rash, front left","day":"2026-12-07"}`)
	first, err := d.callDesk(http.MethodPost, callerA+"/bookings", "slot-7", body, http.StatusCreated)
	if err != nil {
		return err
	}
	// An answer does not wait until its outcome is stored; a repeat on another entry
	// is refused until then.
	var second string
	awaited := procs.Await("the outcome of the first booking", func() bool {
		second, err = d.callDesk(http.MethodPost, callerB+"/bookings", "slot-7", body, http.StatusCreated)
		var r *refusal
		return !errors.As(err, &r) || r.reason != reason.KeyInProgress
	})
	if err = errors.Join(awaited, err); err != nil {
		return err
	}
	if first != second {
		return fmt.Errorf("the second answer differs: %s and %s", first, second)
	}
	resp, err := http.Get("http://" + serviceAddress + "/runs")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var runs []service.Run
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		return err
	}
	for _, r := range runs {
		if r.Path == "/bookings" {
			d.booked++
		}
	}
	if d.booked != 1 {
		return fmt.Errorf("the booking ran %d times", d.booked)
	}
	return nil
}

func (d *demo) changeLabel() error {
	begin := time.Now()
	out, err := d.group.Run("label", "--entry", operatorA, "service", "caption-lm", "season=shraddha")
	if err != nil {
		return fmt.Errorf("%w\n%s", err, out)
	}
	for _, address := range []string{operatorA, operatorB} {
		err := procs.Await("the label on "+address, func() bool {
			out, err := d.group.Run("get", "--entry", address, "service", "caption-lm")
			return err == nil && strings.Contains(out, "season=shraddha")
		})
		if err != nil {
			return err
		}
	}
	d.inForce = time.Since(begin)
	return nil
}

// refusal is an answer with a status of 400 or more.
type refusal struct {
	reason reason.Reason
	text   string
}

func (r *refusal) Error() string { return r.text }

// send sends a request to an entry with a customer's credentials. It returns an
// error for a status of 400 or more.
func send(method, url, app, customer, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+customer+"-demo-token")
	req.Header.Set("Jaylink-Label-App", app)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		var problem struct {
			Reason reason.Reason `json:"reason"`
		}
		// Only refusals have a body of this form; the error has the body of any.
		_ = json.Unmarshal(data, &problem)
		return nil, &refusal{problem.Reason, fmt.Sprintf("%s %s: status %d: %s", method, url, resp.StatusCode, data)}
	}
	return resp, nil
}
