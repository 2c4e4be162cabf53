package cpcli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/clementineport/clementineport/cpentryvm"
	"github.com/clementineport/clementineport/cpsettings"
	"github.com/clementineport/clementineport/cpsubcommand"
)

// newEntryCommand returns the entry command, which runs the process of an entry VM.
func newEntryCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("clementineport entry", stderr)
	settings := fs.String("settings", "", "settings file of this process")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "clementineport entry --settings FILE",
		ShortHelp:  "Run the process of one entry VM.",
		LongHelp: "Runs until a graceful shutdown ends. The first SIGTERM begins it, the second skips the wait\n" +
			"until callers' address lists have run out, the third ends the process at once.",
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if *settings == "" || len(args) > 0 {
				return cpsubcommand.Usagef("usage: clementineport entry --settings FILE")
			}
			return runEntry(*settings, stdout, stderr)
		},
	}
}

func runEntry(path string, stdout, stderr io.Writer) error {
	s, err := cpsettings.Load(path)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 3)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	log := newLog(stderr)
	defer func() { _ = log.Sync() }()
	node, err := cpentryvm.New(context.Background(), s, log, stdout)
	if err != nil {
		return err
	}
	return node.Run(context.Background(), signals)
}

func newLog(w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(w), zap.InfoLevel))
}
