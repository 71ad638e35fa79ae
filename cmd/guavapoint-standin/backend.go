package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"guavapoint.example/guavapoint/internal/standin/backend"
)

// Timeouts of the HTTP server. They free the connections of clients that stopped sending, and are far longer than any
// request of a trial.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a stand-in backend server until SIGTERM, then drain it",
		Description: "Flags override the configuration file. Example:\n\n" +
			"guavapoint-standin backend --config examples/registry/backends/lookup.json \\\n" +
			"  --name lookup-1 --listen 127.0.0.1:21114 --daemon 127.0.0.1:21112\n\n" +
			"The process exits with code 3 when a request makes it crash.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "loopback `IP:PORT` to listen on"},
			&cli.StringFlag{Name: "config", Usage: "JSON configuration `FILE`"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of this server"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "daemon", Usage: "call address `IP:PORT` of the daemon for child calls"},
			&cli.IntFlag{Name: "slots", Usage: "requests that may run at once"},
			&cli.IntFlag{Name: "waiting", Usage: "requests that may wait for a slot; further ones get status 503"},
			&cli.IntFlag{Name: "connections", Usage: "connections that may be open at once, 0 for no limit"},
			&cli.DurationFlag{Name: "service-time", Usage: "`TIME` that a request takes, not counting its child calls"},
			&cli.StringFlag{Name: "run-log", Usage: "`FILE` to which the key of each run is appended"},
			&cli.DurationFlag{Name: "drain-limit", Value: 30 * time.Second, Usage: "maximum `TIME` for draining"},
		},
		Action: runBackend,
	}
}

func runBackend(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	cfg, err := backendConfig(cmd)
	if err != nil {
		return err
	}
	options := backend.Options{Crash: func() { os.Exit(exitCrash) }}
	if name := cmd.String("run-log"); name != "" {
		log, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return usagef("can't open the run log: %w", err)
		}
		defer log.Close()
		options.RunLog = log
	}
	server, err := backend.New(cfg, options)
	if err != nil {
		return usagef("invalid backend configuration: %w", err)
	}
	listener, err := listenLoopback(cmd.String("listen"))
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s (%s) listens on %s\n", cfg.Name, cfg.Service, listener.Addr())
	return serveBackend(ctx, server, backend.LimitConnections(listener, cfg.Connections), cmd.Duration("drain-limit"))
}

// backendConfig reads the configuration file, if any, and applies the flags that are set.
func backendConfig(cmd *cli.Command) (backend.Config, error) {
	cfg := backend.Config{Slots: 1}
	if name := cmd.String("config"); name != "" {
		data, err := os.ReadFile(name)
		if err != nil {
			return cfg, usagef("can't read the backend configuration: %w", err)
		}
		if cfg, err = backend.ParseConfig(data); err != nil {
			return cfg, usagef("%s: %w", name, err)
		}
	}
	for name, field := range map[string]*string{"name": &cfg.Name, "service": &cfg.Service, "daemon": &cfg.Daemon} {
		if cmd.IsSet(name) {
			*field = cmd.String(name)
		}
	}
	numbers := map[string]*int{"slots": &cfg.Slots, "waiting": &cfg.Waiting, "connections": &cfg.Connections}
	for name, field := range numbers {
		if cmd.IsSet(name) {
			*field = cmd.Int(name)
		}
	}
	if cmd.IsSet("service-time") {
		cfg.ServiceTime = backend.Duration(cmd.Duration("service-time"))
	}
	return cfg, nil
}

// listenLoopback listens on a loopback address. It refuses all other addresses, because anyone who can send requests to
// a stand-in can crash it.
func listenLoopback(address string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().IsLoopback() {
		return nil, usagef("--listen is %q, allowed is ip:port on a loopback address", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("can't listen: %w", err) // err names the address
	}
	return l, nil
}

// serveBackend serves on l until ctx ends and then drains the server. It returns an error if requests are still in
// flight after drainLimit; their connections are closed then.
func serveBackend(ctx context.Context, server *backend.Server, l net.Listener, drainLimit time.Duration) error {
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(l) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("can't serve HTTP on %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	server.Drain()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if err := httpServer.Shutdown(shutdownCtx); err != nil {
		return errors.Join(fmt.Errorf("draining ended after %v with requests in flight", drainLimit), httpServer.Close())
	}
	return nil
}
