package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Size  int
	ready bool
}

func (*sample) ModuleInfo() ModuleInfo {
	return ModuleInfo{ID: "test.sample", New: func() Module { return &sample{Size: 3} }}
}

func (s *sample) Provision() error { s.ready = true; return nil }

func (s *sample) Validate() error {
	if s.Size < 1 || !s.ready {
		return errors.New("size must be at least 1")
	}
	return nil
}

func TestLoadRunsStepsInOrder(t *testing.T) {
	Register(&sample{})
	require.Panics(t, func() { Register(&sample{}) })
	m, err := Load("test.sample", nil)
	require.NoError(t, err)
	require.Equal(t, 3, m.(*sample).Size)
	_, err = Load("test.sample", func(m Module) error { m.(*sample).Size = 0; return nil })
	require.ErrorContains(t, err, "test.sample: validate: size must be at least 1")
	_, err = Load("test.other", nil)
	require.ErrorContains(t, err, "[test.sample]")
}

type part struct {
	name  string
	trace *[]string
	fail  error
}

func (p part) Provision() error { *p.trace = append(*p.trace, "provision "+p.name); return nil }
func (p part) Validate() error  { *p.trace = append(*p.trace, "validate "+p.name); return nil }
func (p part) Start(context.Context) error {
	*p.trace = append(*p.trace, "start "+p.name)
	return p.fail
}
func (p part) Stop(context.Context) error { *p.trace = append(*p.trace, "stop "+p.name); return nil }

func TestAppStopsInReverseOrder(t *testing.T) {
	var trace []string
	var app App
	app.Add("a", part{name: "a", trace: &trace})
	app.Add("b", part{name: "b", trace: &trace})
	require.NoError(t, app.Start(t.Context()))
	require.NoError(t, app.Stop(t.Context()))
	require.Equal(t, []string{
		"provision a", "provision b", "validate a", "validate b",
		"start a", "start b", "stop b", "stop a",
	}, trace)
}

func TestAppStopsWhatHasStartedAfterAFailure(t *testing.T) {
	var trace []string
	var app App
	app.Add("a", part{name: "a", trace: &trace})
	app.Add("b", part{name: "b", trace: &trace, fail: errors.New("port taken")})
	err := app.Start(t.Context())
	require.ErrorContains(t, err, "b: start: port taken")
	require.Equal(t, "stop a", trace[len(trace)-1])
}
