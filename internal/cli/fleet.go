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
	daemons  []admin
	messages io.Writer

	mu     sync.Mutex
	silent map[string]bool // daemons that the operator was told about
}

var _ control.Fleet = (*fleet)(nil)

func newFleet(addresses []string, messages io.Writer) *fleet {
	f := &fleet{messages: messages, silent: make(map[string]bool)}
	for _, a := range addresses {
		f.daemons = append(f.daemons, admin{a})
	}
	return f
}

// reply is what one daemon has in effect.
type reply struct {
	address string
	version config.Version
	doc     *config.Document
	err     error
}

// ask asks all daemons at once.
func (f *fleet) ask(ctx context.Context) []reply {
	replies := make([]reply, len(f.daemons))
	var wg sync.WaitGroup
	for i, d := range f.daemons {
		wg.Go(func() {
			v, doc, err := d.config(ctx)
			replies[i] = reply{d.address, v, doc, err}
		})
	}
	wg.Wait()
	return replies
}

// InEffect implements control.Fleet. Daemons that don't answer are left out and reported to the operator once.
func (f *fleet) InEffect(ctx context.Context) (config.Version, *config.Document, error) {
	var best reply
	answered := false
	var errs []error
	for _, r := range f.ask(ctx) {
		if r.err != nil {
			f.report(r)
			errs = append(errs, r.err)
			continue
		}
		answered = true
		if best.version.Less(r.version) {
			best = r
		}
	}
	if !answered {
		return config.Version{}, nil, eris.Wrap(errors.Join(errs...), "no daemon answered")
	}
	return best.version, best.doc, nil
}

func (f *fleet) report(r reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[r.address] {
		return
	}
	f.silent[r.address] = true
	fmt.Fprintf(f.messages, "warning: configuration in effect not read: %v\n", r.err)
}
