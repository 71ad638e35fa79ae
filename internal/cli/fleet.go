package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/config"
)

// fleet asks the daemons that the operator named for the configuration in effect. It implements control.Fleet.
type fleet struct {
	daemons  []adminClient
	messages io.Writer

	mu     sync.Mutex
	warned map[string]bool // daemons that the operator was told about
}

var _ control.Fleet = (*fleet)(nil)

func newFleet(addresses []string, messages io.Writer) *fleet {
	f := &fleet{messages: messages, warned: make(map[string]bool)}
	for _, a := range addresses {
		f.daemons = append(f.daemons, adminClient{a})
	}
	return f
}

// daemonConfig is what one daemon has in effect.
type daemonConfig struct {
	address string
	version config.Version
	doc     *config.Document
	err     error
}

// readConfigs asks all daemons at once.
func (f *fleet) readConfigs(ctx context.Context) []daemonConfig {
	configs := make([]daemonConfig, len(f.daemons))
	var wg sync.WaitGroup
	for i, d := range f.daemons {
		wg.Go(func() {
			v, doc, err := d.config(ctx)
			configs[i] = daemonConfig{d.address, v, doc, err}
		})
	}
	wg.Wait()
	return configs
}

// InEffect implements control.Fleet. Daemons that don't answer are left out and reported to the operator once.
func (f *fleet) InEffect(ctx context.Context) (config.Version, *config.Document, error) {
	var highest daemonConfig
	answered := false
	var errs []error
	for _, c := range f.readConfigs(ctx) {
		if c.err != nil {
			f.warnOnce(c)
			errs = append(errs, c.err)
			continue
		}
		answered = true
		if highest.version.Less(c.version) {
			highest = c
		}
	}
	if !answered {
		return config.Version{}, nil, eris.Wrap(errors.Join(errs...), "no daemon answered")
	}
	return highest.version, highest.doc, nil
}

func (f *fleet) warnOnce(c daemonConfig) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.warned[c.address] {
		return
	}
	f.warned[c.address] = true
	fmt.Fprintf(f.messages, "warning: configuration in effect not read: %v\n", c.err)
}
