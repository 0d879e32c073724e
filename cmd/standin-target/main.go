// Command standin-target runs a fake target for tests, with configurable
// faults.
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

// crashStatus is the exit status after a crash triggered by a request.
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
	flag.StringVar(&opts.Name, "name", "target", "target name, unique on this host")
	flag.StringVar(&opts.Service, "service", "", "service of the target")
	flag.StringVar(&opts.Listen, "listen", "127.0.0.1:0", "IP:port for requests")
	flag.StringVar(&opts.Control, "control", "127.0.0.1:0", "IP:port of the control API (faults, secrets, runs)")
	flag.StringVar(&opts.Announce, "announce", "", "base URL of the daemon's announcement listener")
	flag.IntVar(&opts.Slots, "slots", 0, "maximum number of concurrent requests to announce, 0 for the default")
	flag.DurationVar(&opts.Work, "work", 5*time.Millisecond, "processing time of a request")
	flag.IntVar(&opts.Faults.ConcurrencyLimit, "bears", 0, "initial limit on concurrent requests before shedding, 0 for none")
	flag.StringVar(&runLog, "record", "", "file to which a record of each request is appended")
	flag.StringVar(&secrets, "secrets", "", "comma-separated secrets to look for in requests")
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
