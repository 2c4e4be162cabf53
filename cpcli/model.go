package cpcli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/clementineport/clementineport/cpsimulator"
	"github.com/clementineport/clementineport/cpsubcommand"
)

// newModelCommand returns the model command, which compares policies in a simulation.
func newModelCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("model", stderr)
	vms := fs.Int("vms", cpsimulator.DefaultConfig().VMs, "number of VMs")
	seed := fs.Uint64("seed", 1, "seed of the random numbers in the model")
	return newCommand(fs, "[flags]", "Compare policies on modelled loads, in virtual time.",
		func(_ context.Context, args []string) error {
			if len(args) > 0 || *vms <= 0 {
				return cpsubcommand.Usagef("usage: clementineport model [--vms N] [--seed N]")
			}
			return compareScenarios(stdout, *vms, *seed)
		})
}

// compareScenarios runs every scenario under every policy and prints a table.
func compareScenarios(stdout io.Writer, vms int, seed uint64) error {
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SCENARIO\tPOLICY\tKIND\tREQUESTS\tIN TIME\tLATE\tREFUSED\tFAILED\tSCORE\tEXTRA")
	for _, scenario := range cpsimulator.Scenarios() {
		for _, policy := range []string{"current", "no admission", "no hedges"} {
			cfg := cpsimulator.DefaultConfig()
			cfg.VMs, cfg.Seed, cfg.Disruptions = vms, seed, scenario.Disruptions
			cfg.NoAdmission, cfg.NoHedges = policy == "no admission", policy == "no hedges"
			for _, r := range cpsimulator.Run(cfg) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\n", scenario.Name, policy, r.Kind, r.Requests,
					r.InTime, r.Late, r.Refused, r.Failed, r.Score(), float64(r.Extra)/float64(max(r.Calls, 1)))
			}
		}
	}
	return w.Flush()
}
