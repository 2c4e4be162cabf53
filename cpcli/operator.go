package cpcli

import (
	"context"
	"flag"
	"net/url"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport/cpoperator/cpoperatorclient"
	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/cptoken"
)

// envPrefix is the prefix of environment variables that set flags.
const envPrefix = "CLEMENTINEPORT"

// newCommand returns a subcommand whose flags may follow its arguments or be set in the environment.
func newCommand(fs *flag.FlagSet, usage, help string, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       fs.Name(),
		ShortUsage: "clementineport " + fs.Name() + " " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			positional, err := cpsubcommand.ParseMixed(fs, args)
			if err != nil {
				return err
			}
			return exec(ctx, positional)
		},
	}
}

// operatorFlags holds the flags for connecting to the operator listeners of entries.
type operatorFlags struct {
	addresses string
	tokenFile string
	json      bool
}

func (f *operatorFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.addresses, "operator", "127.0.0.1:18002", "operator addresses of entries, separated by commas")
	fs.StringVar(&f.tokenFile, "token-file", "", "file with the operators' token")
	fs.BoolVar(&f.json, "json", false, "print JSON")
}

func (f *operatorFlags) client() (*cpoperatorclient.Client, error) {
	if f.tokenFile == "" {
		return nil, cpsubcommand.Usagef("--token-file is needed")
	}
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	addresses := splitList(f.addresses)
	if len(addresses) == 0 {
		return nil, cpsubcommand.Usagef("--operator is empty")
	}
	for _, a := range addresses {
		if _, err := url.Parse("http://" + a); err != nil {
			return nil, cpsubcommand.Usagef("%v", err)
		}
	}
	return cpoperatorclient.New(
		cpoperatorclient.WithAddresses(addresses),
		cpoperatorclient.WithToken(cptoken.New(string(token))),
	), nil
}
