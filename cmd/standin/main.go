// Command standin starts the environment of a gateway on the loopback interface: stand-in backends that answer
// immediately, and a discovery agent that lists them, at the discovery address of the gateway's configuration file. It
// prints the command that starts the gateway and an example request, and serves until it is interrupted.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"herontiller/internal/frontdoor"
)

// arguments holds the command-line arguments. Kong derives the names of the flags from the field names.
type arguments struct {
	Config   string `arg:"" default:"deploy/example.json" help:"Configuration file of the gateway (default: ${default})."`
	Backends int    `default:"4" help:"Number of stand-in backends (default: ${default})."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("standin"),
		kong.Description("Starts stand-in backends and a discovery agent for a gateway, on the loopback interface."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run starts the environment of a configuration file, prints the commands and serves until ctx ends.
func run(ctx context.Context, args arguments, out io.Writer) error {
	config, err := frontdoor.LoadConfig(args.Config)
	if err != nil {
		return err
	}
	request, err := exampleRequest(config)
	if err != nil {
		return err
	}
	env, err := startEnvironment(config.Discovery, args.Backends)
	if err != nil {
		return err
	}
	defer env.stop()
	_, err = fmt.Fprintf(out,
		"%d backends; discovery at %s\n\nStart the gateway:\n\n    NODE_CONFIG=%s bin/herontiller\n\n"+
			"Send a request, each with a new Request-Id:\n\n%s\n", args.Backends, env.agent.Address, args.Config,
		curlCommand(request))
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
