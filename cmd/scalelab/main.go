// Command scalelab measures how the cost of a gateway grows with the size of the system around it. See package
// scalelab.
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

// arguments holds the command-line arguments. Kong derives the names of the flags from the field names.
type arguments struct {
	Experiments   []string      `arg:"" optional:"" help:"Experiments to run: ${experiments}. Default: all."`
	Seed          uint64        `default:"1" help:"Seed of the random numbers."`
	Repeats       int           `default:"3" help:"Measurements of each size of a slope."`
	Gateways      int           `default:"3900" help:"Hollow gateways of the quota, sums and churn experiments."`
	SumsBackends  int           `default:"1000" help:"Backends of the sums experiment."`
	ChurnGateways int           `default:"6" help:"Hollow gateways of the churn experiment with all 51,000 backends."`
	Watches       int           `default:"1000" help:"Gateways that watch discovery on real sockets."`
	Listed        []int         `default:"40,1000,51000" help:"Lengths of the backend lists on real sockets."`
	SocketTime    time.Duration `default:"10s" help:"How long requests are measured on real sockets."`
	Limit         time.Duration `default:"30m" help:"Time after which the run is cut short and reported as such."`
	JSON          string        `name:"json" placeholder:"FILE" help:"Also write the report to this file as JSON."`
	Logs          bool          `help:"Show the logs of the gateways."`
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

// run runs the experiments and writes the report, also if the run fails or is cut short.
func run(ctx context.Context, args arguments, out, progressOut io.Writer) error {
	if args.Limit <= 0 {
		return fmt.Errorf("a limit of %v: must be positive", args.Limit)
	}
	ctx, cancel := context.WithTimeout(ctx, args.Limit)
	defer cancel()
	options := scalelab.Options{Experiments: args.Experiments, Seed: args.Seed, Repeats: args.Repeats,
		Gateways: args.Gateways, SumsBackends: args.SumsBackends, ChurnGateways: args.ChurnGateways,
		Watches: args.Watches, Listed: args.Listed, SocketTime: args.SocketTime}
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

// writeJSON writes the report to a new file, or replaces an existing one.
func writeJSON(path string, report *scalelab.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteJSON(file), file.Close())
}
