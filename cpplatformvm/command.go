package cpplatformvm

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/platform/cpconf"
)

// signalBacklog is the capacity of the signal channel, for signals that arrive while one is being handled.
const signalBacklog = 8

// NewCommand returns the subcommand that runs the process of one entry VM on the platform.
func NewCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("clementineport platform", stderr)
	metricsPort := fs.Int("metrics-port", 0, "port of the metrics at the VM's address; 0 serves none")
	fleet := fs.String("fleet", "", "name of the fleet, by which VMs of different fleets ignore each other; empty: the address of the store")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "clementineport platform [--metrics-port N] [--fleet NAME]",
		ShortHelp:  "Run the process of one entry VM on the users' platform.",
		LongHelp: "Reads the settings file that " + cpconf.PathVariable + " names, and writes its log to standard output.\n" +
			"SIGTERM begins a graceful shutdown; SIGHUP reads the settings again.",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *metricsPort < 0 || *metricsPort > 65535 {
				return cpsubcommand.Usagef("usage: clementineport platform [--metrics-port N] [--fleet NAME]")
			}
			return run(context.WithoutCancel(ctx), &Config{Fleet: *fleet}, *metricsPort, stdout)
		},
	}
}

// run loads the settings and runs the process until it has shut down.
func run(ctx context.Context, cfg *Config, metricsPort int, stdout io.Writer) error {
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	settings, err := cpconf.Load()
	if err != nil {
		return err
	}
	log := cplog.New(stdout)
	defer log.Close()
	cfg.Settings, cfg.Log = settings, log
	if metricsPort > 0 {
		cfg.MetricsPort = strconv.Itoa(metricsPort)
	}
	process, err := New(cfg)
	if err != nil {
		return err
	}
	return process.Run(ctx, signals)
}
