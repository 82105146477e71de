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

type fakeComponent struct {
	name     string
	calls    *[]string
	startErr error
}

func (p fakeComponent) Provision() error {
	*p.calls = append(*p.calls, "provision "+p.name)
	return nil
}
func (p fakeComponent) Validate() error { *p.calls = append(*p.calls, "validate "+p.name); return nil }
func (p fakeComponent) Start(context.Context) error {
	*p.calls = append(*p.calls, "start "+p.name)
	return p.startErr
}
func (p fakeComponent) Stop(context.Context) error {
	*p.calls = append(*p.calls, "stop "+p.name)
	return nil
}

func TestAppStopsInReverseOrder(t *testing.T) {
	var calls []string
	var app App
	app.Add("a", fakeComponent{name: "a", calls: &calls})
	app.Add("b", fakeComponent{name: "b", calls: &calls})
	require.NoError(t, app.Start(t.Context()))
	require.NoError(t, app.Stop(t.Context()))
	require.Equal(t, []string{
		"provision a", "provision b", "validate a", "validate b",
		"start a", "start b", "stop b", "stop a",
	}, calls)
}

func TestAppStopsStartedComponentsAfterStartError(t *testing.T) {
	var calls []string
	var app App
	app.Add("a", fakeComponent{name: "a", calls: &calls})
	app.Add("b", fakeComponent{name: "b", calls: &calls, startErr: errors.New("port taken")})
	err := app.Start(t.Context())
	require.ErrorContains(t, err, "b: start: port taken")
	require.Equal(t, "stop a", calls[len(calls)-1])
}
