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

// fleet reads the configuration in effect from the daemons that the operator named. It implements control.Fleet and is
// safe for concurrent use.
type fleet struct {
	daemons  []adminClient
	messages io.Writer // receives warnings

	mu     sync.Mutex      // guards warned
	warned map[string]bool // addresses of daemons that a warning was written for
}

var _ control.Fleet = (*fleet)(nil)

func newFleet(addresses []string, messages io.Writer) *fleet {
	f := &fleet{messages: messages, warned: make(map[string]bool)}
	for _, a := range addresses {
		f.daemons = append(f.daemons, adminClient{a})
	}
	return f
}

// daemonConfig is the configuration that one daemon has in effect, or the error of reading it.
type daemonConfig struct {
	address string
	version config.Version
	doc     *config.Document
	err     error
}

// readConfigs queries all daemons concurrently and returns the results in the order of the daemons.
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

// InEffect implements control.Fleet. Daemons whose configuration can't be read are skipped, with one warning each.
func (f *fleet) InEffect(ctx context.Context) (config.Version, *config.Document, error) {
	var highest daemonConfig
	responded := false
	var errs []error
	for _, c := range f.readConfigs(ctx) {
		if c.err != nil {
			f.warnOnce(c)
			errs = append(errs, c.err)
			continue
		}
		responded = true
		if highest.version.Less(c.version) {
			highest = c
		}
	}
	if !responded {
		return config.Version{}, nil, eris.Wrap(errors.Join(errs...), "read the configuration in effect: no daemon responded")
	}
	return highest.version, highest.doc, nil
}

// warnOnce writes the error of a daemon unless a warning was written for that daemon before.
func (f *fleet) warnOnce(c daemonConfig) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.warned[c.address] {
		return
	}
	f.warned[c.address] = true
	fmt.Fprintf(f.messages, "warning: can't read the configuration in effect: %v\n", c.err)
}
