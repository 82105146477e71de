// Command testrun runs "go test" and prints the failures. It prints but does not count
// the failures that KNOWN-RED.txt lists. The last line is "N passed, N failed", and the
// exit status is 1 if a test failed that the file does not list, or if none passed.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// knownFailure is one line of KNOWN-RED.txt: test | command and seed | seen | issue.
type knownFailure struct {
	test string
	text string
}

func main() {
	file := flag.String("known", "KNOWN-RED.txt", "file with the known failures")
	flag.Parse()
	known, err := readKnown(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(1)
	}
	r := newRun(known)
	args := append([]string{"test", "-json"}, flag.Args()...)
	cmd := exec.Command("go", args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(1)
	}
	r.read(out)
	// The exit status only tells that some test failed; the events tell which one.
	_ = cmd.Wait()
	os.Exit(r.report())
}

func readKnown(file string) ([]knownFailure, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var list []knownFailure
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, _, _ := strings.Cut(line, "|")
		list = append(list, knownFailure{test: strings.TrimSpace(test), text: line})
	}
	return list, err
}

// run collects the results of all tests.
type run struct {
	known         []knownFailure
	output        map[string]*strings.Builder
	passed        int
	failed        []string
	knownFailed   map[string]bool // known failures that failed in this run
	hasFailedTest map[string]bool // tests with a failed subtest, and packages with a failed test
}

func newRun(known []knownFailure) *run {
	return &run{known: known, output: map[string]*strings.Builder{}, knownFailed: map[string]bool{}, hasFailedTest: map[string]bool{}}
}

func (r *run) read(out io.Reader) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var ev event
		if json.Unmarshal(scanner.Bytes(), &ev) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.handle(ev)
	}
}

func (r *run) handle(ev event) {
	name := ev.Package + "." + ev.Test
	switch ev.Action {
	case "output", "build-output":
		if r.output[name] == nil {
			r.output[name] = &strings.Builder{}
		}
		r.output[name].WriteString(ev.Output)
		if strings.HasPrefix(ev.Output, "guarantee=") || strings.HasPrefix(ev.Output, "figure ") {
			fmt.Print(ev.Output)
		}
	case "pass":
		if ev.Test != "" {
			r.passed++
		} else {
			fmt.Println("ok  ", ev.Package)
		}
		delete(r.output, name)
	case "fail", "build-fail":
		r.fail(ev, name)
	}
}

func (r *run) fail(ev event, name string) {
	if ev.Test == "" {
		// A package fails because one of its tests failed, or because its build failed.
		if !r.hasFailedTest[ev.Package] {
			r.failed = append(r.failed, name)
			fmt.Print(r.outputOf(name))
		}
		return
	}
	r.hasFailedTest[ev.Package] = true
	if parent, _, ok := splitSubtest(ev.Test); ok {
		r.hasFailedTest[ev.Package+"."+parent] = true
	}
	if r.hasFailedTest[name] && !r.isKnown(name) {
		return
	}
	if r.isKnown(name) {
		r.knownFailed[name] = true
		return
	}
	r.failed = append(r.failed, name)
	fmt.Print(r.outputOf(name))
}

func splitSubtest(test string) (string, string, bool) {
	i := strings.LastIndexByte(test, '/')
	if i < 0 {
		return test, "", false
	}
	return test[:i], test[i+1:], true
}

func (r *run) outputOf(name string) string {
	if b := r.output[name]; b != nil {
		return b.String()
	}
	return ""
}

func (r *run) isKnown(name string) bool {
	for _, e := range r.known {
		if e.test == name {
			return true
		}
	}
	return false
}

func (r *run) report() int {
	for _, e := range r.known {
		state := "known red, passed over"
		if !r.knownFailed[e.test] {
			state = "known red, but did not fail in this run"
		}
		fmt.Printf("%s: %s\n", state, e.text)
	}
	for _, name := range r.failed {
		fmt.Println("FAILED", name)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed))
	if len(r.failed) > 0 || r.passed == 0 {
		return 1
	}
	return 0
}
