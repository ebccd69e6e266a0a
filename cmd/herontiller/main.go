// Command herontiller runs one gateway of the fleet over HTTP. It reads its configuration from the file that the
// environment variable NODE_CONFIG names and serves until SIGTERM or SIGINT. On SIGHUP it reads the file again and
// watches the discovery service that the file names.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"herontiller/internal/frontdoor"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1) // one pending signal suffices, as the file is read after it is received
	signal.Notify(hup, syscall.SIGHUP)
	if err := run(ctx, os.Getenv("NODE_CONFIG"), hup); err != nil {
		fmt.Fprintln(os.Stderr, "herontiller:", err)
		os.Exit(1)
	}
}

// run serves with the configuration file at path until ctx ends. Each signal received from hup reloads the address of
// discovery from the file.
func run(ctx context.Context, path string, hup <-chan os.Signal) error {
	config, err := frontdoor.LoadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Limits.Cores))))
	debug.SetMemoryLimit(config.Limits.GoMemory())
	backends := frontdoor.NewBackends(config)
	loop, err := frontdoor.NewLoop(config, backends)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	watchCtx, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	discoveryAddrs := make(chan string)
	go frontdoor.WatchDiscovery(watchCtx, config, discoveryAddrs, loop.Update, loop.DiscoveryChanged)
	go reload(watchCtx, path, hup, discoveryAddrs)
	slog.Info("serving", "name", config.Name, "listen", listener.Addr(), "backends", len(config.SavedList.Endpoints))
	err = frontdoor.NewServer(config, loop).Run(ctx, listener)
	slog.Info("ended", "err", err)
	return err
}

// reload reads the configuration file again on each SIGHUP and sends the address of discovery to discoveryAddrs. An
// invalid file is logged and changes nothing. Other changes in the file take effect only at the next start.
func reload(ctx context.Context, path string, hup <-chan os.Signal, discoveryAddrs chan<- string) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		config, err := frontdoor.LoadConfig(path)
		if err != nil {
			slog.Warn("invalid configuration, keeping the current one", "err", err)
			continue
		}
		slog.Info("configuration reloaded", "discovery", config.Discovery)
		select {
		case discoveryAddrs <- config.Discovery:
		case <-ctx.Done():
			return
		}
	}
}
