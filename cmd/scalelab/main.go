// Command scalelab measures how the cost of a gateway grows with the size of the system around it. See package scalelab.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"herontiller/internal/scalelab"
)

// arguments are the command line's.
type arguments struct {
	Experiments   []string      `arg:"" optional:"" help:"What to play: ${experiments}. All without one."`
	Seed          uint64        `default:"1" help:"Seed of all that is drawn."`
	Repeats       int           `default:"3" help:"Repeats of each size of a slope."`
	Gateways      int           `default:"3900" help:"Hollow gateways at once."`
	SumsBackends  int           `default:"1000" help:"Backends that each of them knows."`
	ChurnGateways int           `default:"6" help:"Hollow gateways that know all 51,000 backends through a day's changes."`
	Watches       int           `default:"1000" help:"Gateways that follow discovery on real sockets."`
	Listed        []int         `default:"40,1000,51000" help:"Backends that are listed on real sockets."`
	SocketTime    time.Duration `default:"10s" help:"How long requests are measured on real sockets."`
	Limit         time.Duration `default:"30m" help:"The run is cut short after this time, and says so."`
	JSON          string        `name:"json" placeholder:"FILE" help:"Write the report as JSON here as well."`
	Logs          bool          `help:"Show the gateways' own logs."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("scalelab"), kong.Vars{"experiments": strings.Join(scalelab.Experiments, ", ")},
		kong.Description("Measures how the cost of a gateway grows with the size of the system around it."))
	if !args.Logs {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, args, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "scalelab:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args arguments, out, progressOut io.Writer) error {
	if args.Limit <= 0 {
		return fmt.Errorf("a limit of %v leaves no time", args.Limit)
	}
	ctx, cancel := context.WithTimeout(ctx, args.Limit)
	defer cancel()
	options := scalelab.Options{Experiments: args.Experiments, Seed: args.Seed, Repeats: args.Repeats, Gateways: args.Gateways,
		SumsBackends: args.SumsBackends, ChurnGateways: args.ChurnGateways, Watches: args.Watches, Listed: args.Listed,
		SocketTime: args.SocketTime}
	if len(options.Experiments) == 0 {
		options.Experiments = scalelab.Experiments
	}
	if err := options.Validate(); err != nil {
		return err
	}
	progress := scalelab.NewProgress(progressOut)
	report, err := scalelab.Run(ctx, options, progress)
	progress.Done()
	if report == nil {
		return err
	}
	if args.JSON != "" {
		err = errors.Join(err, writeJSON(args.JSON, report))
	}
	return errors.Join(err, report.WriteTable(out))
}

func writeJSON(path string, report *scalelab.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteJSON(file), file.Close())
}
