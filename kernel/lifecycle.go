package kernel

import (
	"context"
	"errors"
	"fmt"
)

// Provisioner is implemented by modules and components that initialize internal
// state after their options are set and before they are validated.
type Provisioner interface {
	Provision() error
}

// Validator is implemented by modules and components that check their options.
// Validate must not modify the receiver.
type Validator interface {
	Validate() error
}

// Starter is implemented by components that run in the background. Start returns
// as soon as the component is ready; it must not block until the component ends.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by components that must be stopped. Stop returns when the
// component has stopped or ctx is done.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Component is a named part of a process.
type Component struct {
	// Name appears in errors and logs.
	Name string
	// Value implements any of the lifecycle interfaces.
	Value any
}

// App manages the lifecycle of components: all are provisioned, then all validated,
// then all started in order; they are stopped in reverse order.
type App struct {
	components []Component
	started    int
}

// Add appends a component. It must not be called after Start.
func (a *App) Add(name string, value any) {
	a.components = append(a.components, Component{Name: name, Value: value})
}

// Start provisions, validates and starts the components. If a component fails to
// start, the ones already started are stopped.
func (a *App) Start(ctx context.Context) error {
	if err := a.prepare(); err != nil {
		return err
	}
	for i, c := range a.components {
		if s, ok := c.Value.(Starter); ok {
			if err := s.Start(ctx); err != nil {
				err = fmt.Errorf("%s: start: %w", c.Name, err)
				return errors.Join(err, a.Stop(ctx))
			}
		}
		a.started = i + 1
	}
	return nil
}

func (a *App) prepare() error {
	for _, c := range a.components {
		if p, ok := c.Value.(Provisioner); ok {
			if err := p.Provision(); err != nil {
				return fmt.Errorf("%s: provision: %w", c.Name, err)
			}
		}
	}
	for _, c := range a.components {
		if v, ok := c.Value.(Validator); ok {
			if err := v.Validate(); err != nil {
				return fmt.Errorf("%s: validate: %w", c.Name, err)
			}
		}
	}
	return nil
}

// Stop stops the started components in reverse order and joins their errors.
func (a *App) Stop(ctx context.Context) error {
	var errs []error
	for a.started > 0 {
		a.started--
		c := a.components[a.started]
		s, ok := c.Value.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: stop: %w", c.Name, err))
		}
	}
	return errors.Join(errs...)
}
