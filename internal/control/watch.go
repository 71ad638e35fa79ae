package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavapoint.example/guavapoint/internal/store"
)

// WatchConfig reads the configuration from the store, watches it and applies every change, until the context or the
// watch ends. It returns the error that ended it, store.ErrCompacted if the store was restored.
func (r *Relay) WatchConfig(ctx context.Context) error {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.setWatch(cancel)
	err := r.watchConfig(watchCtx)
	if ctx.Err() == nil && watchCtx.Err() != nil {
		return context.Cause(watchCtx)
	}
	return err
}

// setWatch sets the function that ends the current watch.
func (r *Relay) setWatch(cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelWatch = cancel
}

// endWatch ends the current watch, if there is one, because the store was restored: the revision that it continues from
// may have been given out again.
func (r *Relay) endWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelWatch != nil {
		r.cancelWatch(store.ErrCompacted)
	}
}

// watchConfig is WatchConfig without the end at a restore.
func (r *Relay) watchConfig(ctx context.Context) error {
	key := r.configs.Key()
	kvs, rev, err := r.store.List(ctx, key)
	r.recordCall(r.now(), "read the configuration", err)
	if err != nil {
		return err
	}
	r.applyConfig(kvs, false)
	return r.store.Watch(ctx, key, rev+1, func(kvs []store.KV) error {
		r.applyConfig(kvs, false)
		return nil
	})
}

// watchesConfig reports whether this daemon watches the configuration in the store: it is one of the configWatchers
// members of its zone with the lowest ring positions. Its position counts only after it has looked for the zone's
// relays, because until then it knows no member that precedes it.
func (r *Relay) watchesConfig() bool {
	return r.leaseChecked.Load() && r.ringPosition() < configWatchers
}

// watchWhile opens a watch again whenever one has ended, until the context ends. The condition is checked only before a
// watch is opened; a watch continues when the condition no longer holds.
func (r *Relay) watchWhile(ctx context.Context, condition func() bool, watch func(context.Context) error) {
	for ctx.Err() == nil {
		wait := watchRetryInterval
		if condition() {
			err := watch(ctx)
			if ctx.Err() == nil {
				r.report(fmt.Errorf("watch the configuration: %w", err))
			}
			if errors.Is(err, store.ErrCompacted) {
				wait = compactedRetryInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}
