package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/standin/kvstore"
	"guavapoint.example/guavapoint/platform"
)

// Default rate limits in calls per second, those of the users' platform service.
const (
	defaultWriteRate = 300
	defaultReadRate  = 2000
)

func kvCommand() *cli.Command {
	return &cli.Command{
		Name:  "kv",
		Usage: "run a stand-in of the platform's key-value service until SIGTERM",
		Description: "Keeps everything in memory. Failures are injected over HTTP:\n\n" +
			"POST /_down?on=true     starts an outage: calls fail without effect\n" +
			"POST /_delay?time=200ms delays every call\n" +
			"POST /_lose?count=1     the next writes take effect, but get no response\n" +
			"GET  /_calls            returns the number of calls by path\n\n" +
			"Example:\n\nguavapoint-standin kv --listen 127.0.0.1:21001 --put guavapoint/config=examples/registry/config.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "loopback `IP:PORT` to listen on"},
			&cli.IntFlag{Name: "writes", Value: defaultWriteRate, Usage: "writes per second, 0 for no limit"},
			&cli.IntFlag{Name: "reads", Value: defaultReadRate, Usage: "reads per second, 0 for no limit"},
			&cli.StringSliceFlag{Name: "put", Usage: "`KEY=FILE` to write before the listening address is printed; repeatable"},
		},
		Action: runKV,
	}
}

func runKV(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	if cmd.Int("writes") < 0 || cmd.Int("reads") < 0 {
		return usagef("--writes and --reads can't be negative")
	}
	values, err := readKeyValues(cmd.StringSlice("put"))
	if err != nil {
		return err
	}
	listener, err := listenLoopback(cmd.String("listen"))
	if err != nil {
		return err
	}
	store := kvstore.New(time.Now, kvstore.Limits{Writes: cmd.Int("writes"), Reads: cmd.Int("reads")})
	server := &http.Server{Handler: kvHandler(store), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	defer server.Close() // not Shutdown, because pending watches don't end by themselves
	if err := putKeyValues(ctx, "http://"+listener.Addr().String(), values); err != nil && ctx.Err() == nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "key-value service listens on %s\n", listener.Addr())
	select {
	case err := <-serveErr:
		return fmt.Errorf("can't serve HTTP on %s: %w", listener.Addr(), err)
	case <-ctx.Done():
		return nil
	}
}

// keyValue is a key with its value.
type keyValue struct {
	key  string
	data []byte
}

// readKeyValues reads the files that the values of the put flag (KEY=FILE) name.
func readKeyValues(puts []string) ([]keyValue, error) {
	var values []keyValue
	for _, put := range puts {
		key, name, ok := strings.Cut(put, "=")
		if !ok || key == "" {
			return nil, usagef("--put is %q, allowed is KEY=FILE", put)
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, usagef("can't read the file of --put: %w", err)
		}
		values = append(values, keyValue{key, data})
	}
	return values, nil
}

// putKeyValues writes through the published interface of the service, so that the keys get revisions like any others.
// It fails if a key exists.
func putKeyValues(ctx context.Context, url string, values []keyValue) error {
	client, err := platform.NewClient([]string{url}, nil, 0)
	if err != nil {
		return err
	}
	for _, v := range values {
		if _, err := client.CompareAndSwap(ctx, v.key, 0, v.data, 0); err != nil {
			return fmt.Errorf("can't write %s: %w", v.key, err)
		}
	}
	return nil
}

// kvHandler serves the store and the paths that inject failures.
func kvHandler(store *kvstore.Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", store)
	mux.HandleFunc("POST /_down", queryParameter("on", func(s string) error {
		on, err := strconv.ParseBool(s)
		if err == nil {
			store.SetDown(on)
		}
		return err
	}))
	mux.HandleFunc("POST /_delay", queryParameter("time", func(s string) error {
		d, err := time.ParseDuration(s)
		if err == nil {
			store.SetDelay(d)
		}
		return err
	}))
	mux.HandleFunc("POST /_lose", queryParameter("count", func(s string) error {
		n, err := strconv.Atoi(s)
		if err == nil {
			store.LoseResponses(n)
		}
		return err
	}))
	mux.HandleFunc("GET /_calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(store.Calls()) // fails only if the caller has disconnected
	})
	return mux
}

// queryParameter returns a handler that calls apply with the named query parameter and responds with status 400 to an
// error of it.
func queryParameter(name string, apply func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := apply(r.URL.Query().Get(name)); err != nil {
			http.Error(w, fmt.Sprintf("%s: %v", name, err), http.StatusBadRequest)
		}
	}
}
