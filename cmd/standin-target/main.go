// Command standin-target runs a stand-in back end for tests and trials.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
)

// crashStatus is the exit status of a crash that a request asked for.
const crashStatus = 3

func main() {
	logger := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, logger); err != nil {
		logger.Error("stopped", "error", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, logger *log.Logger) error {
	var opts target.Options
	var runLog, secrets string
	flag.StringVar(&opts.Name, "name", "target", "name on this host")
	flag.StringVar(&opts.Service, "service", "", "service that the target belongs to")
	flag.StringVar(&opts.Listen, "listen", "127.0.0.1:0", "address for requests")
	flag.StringVar(&opts.Control, "control", "127.0.0.1:0", "address for faults and records")
	flag.StringVar(&opts.Announce, "announce", "", "base URL of the daemon's announcement address")
	flag.IntVar(&opts.Slots, "slots", 0, "requests served at once")
	flag.DurationVar(&opts.Work, "work", 5*time.Millisecond, "work time of a request")
	flag.IntVar(&opts.Faults.Bears, "bears", 0, "requests borne at once from the start, 0 for all")
	flag.StringVar(&runLog, "record", "", "file that records each run")
	flag.StringVar(&secrets, "secrets", "", "comma-separated secrets to search requests for")
	flag.Parse()
	opts.Secrets = strings.Split(secrets, ",")
	opts.Crash = func() { os.Exit(crashStatus) }
	if runLog != "" {
		l, err := record.Open(runLog)
		if err != nil {
			return err
		}
		defer l.Close()
		opts.Log = l
	}
	t, err := target.New(opts)
	if err != nil {
		return err
	}
	logger.Info("listening", "address", t.Addr(), "control", t.ControlAddr())
	return t.Run(ctx)
}
