// Command scalerun runs a described fleet: real dispatchers as processes, with thousands of hollow executors and clients, and faults,
// all generated from a seed. It measures from outside, judges the observed events, prints a table and writes a JSON result file. It is
// a tool for the project's developers; docs/design/scale-run.md describes how the hollow parties differ from real ones.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/play"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/result"
)

// Exit codes.
const (
	exitFailed = 1 // the run did not start
	exitBroken = 2 // a rule was violated
	exitEarly  = 3 // the run ended early
)

var (
	errBroken = errors.New("a rule was violated")
	errEarly  = errors.New("the run ended early, and its result is partial")
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := command().ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "scalerun:", err)
	switch {
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case errors.Is(err, errEarly):
		os.Exit(exitEarly)
	}
	os.Exit(exitFailed)
}

// options are the values of the command's flags.
type options struct {
	description fleet.Description
	file        string
	faults      []string
	out         string
	program     string
	logs        string
	virtual     bool
}

func command() *cobra.Command {
	o := options{description: fleet.Default()}
	cmd := &cobra.Command{
		Use: "scalerun", Short: "play a fleet of real dispatchers and hollow executors", SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, &o) },
	}
	f, d := cmd.Flags(), &o.description
	f.StringVar(&o.file, "description", "", "a YAML file with a fleet's description, whose keys are the flags' names; flags that are given go before it")
	f.Uint64Var(&d.Seed, "seed", d.Seed, "everything is drawn from it")
	f.IntVar(&d.Executors, "executors", d.Executors, "hollow executors")
	f.IntVar(&d.Dispatchers, "dispatchers", d.Dispatchers, "real dispatchers, each a process")
	f.IntVar(&d.Hollow, "hollow-dispatchers", d.Hollow, "hollow dispatchers, in the tool's process: the decision module with its messages, and no front")
	f.IntVar(&d.StoreMembers, "store-members", d.StoreMembers, "dispatchers that are members of the replicated store")
	f.IntVar(&d.Tenants, "tenants", d.Tenants, "tenants, with equal reserved shares")
	f.IntVar(&d.Regions, "regions", d.Regions, "regions")
	f.IntVar(&d.ZonesPerRegion, "zones", d.ZonesPerRegion, "zones in each region")
	f.Float64Var(&d.Starts, "starts", d.Starts, "task starts asked for each second")
	f.Float64Var(&d.StartsTo, "starts-to", d.StartsTo, "the rate that a ramp ends with; 0 for an even rate")
	f.IntVar(&d.Running, "running", d.Running, "tasks that are to run at a time")
	f.DurationVar(&d.Duration, "duration", d.Duration, "length of the load")
	f.IntVar(&d.MemoryMB, "dispatcher-memory", d.MemoryMB, "memory granted to each dispatcher, in MB")
	f.IntVar(&d.Sockets, "dispatcher-sockets", d.Sockets, "descriptors granted to each dispatcher")
	f.IntVar(&d.Clients, "client-processes", d.Clients, "processes that the load's clients run in; 0 for the tool's own, whose descriptors the executors need too")
	f.Float64Var(&d.BatchShare, "batch-share", d.BatchShare, "part of the jobs that come through the batch front of the store's members")
	f.StringSliceVar(&o.faults, "fault", []string{"zone"}, "faults: machine[=FACTOR], rolling[=COUNT], rack, zone, cut-in, cut-out, cut, leader, reconfigure[=SECONDS]; none for none")
	f.BoolVar(&o.virtual, "virtual", false, "play the decision modules alone, on virtual time: no processes and no sockets")
	f.StringVar(&o.out, "out", "", "the file that gets the result; empty for none")
	f.StringVar(&o.program, "program", "", "the dispatcher's program; empty: it is built")
	cmd.AddCommand(clientsCommand())
	f.StringVar(&o.logs, "logs", "", "keep configurations and logs in this folder")
	return cmd
}

// clientsCommand returns the hidden command with which the tool starts client processes.
func clientsCommand() *cobra.Command {
	return &cobra.Command{
		Use: play.ClientsCommand + " ORDER", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return play.RunClients(cmd.Context(), args[0]) },
	}
}

func run(cmd *cobra.Command, o *options) error {
	if err := readDescription(cmd, o); err != nil {
		return err
	}
	specs, err := parseFaults(o.faults)
	if err != nil {
		return err
	}
	if err := checkOut(o.out); err != nil {
		return err
	}
	if o.virtual {
		r, err := play.RunVirtual(play.Options{Description: o.description, Faults: specs, Command: commandLine(), Commit: commit()})
		if err != nil {
			return err
		}
		return finish(cmd.OutOrStdout(), o.out, r)
	}
	dir, keep := o.logs, o.logs != ""
	if !keep {
		if dir, err = os.MkdirTemp("", "scalerun"); err != nil {
			return fmt.Errorf("directory for logs: %w", err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if o.program == "" {
		if o.program, err = build(dir); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of the tool's own program: %w", err)
	}
	r, err := play.Run(cmd.Context(), play.Options{Self: self, Description: o.description, Faults: specs, Program: o.program, Dir: dir,
		Command: commandLine(), Commit: commit(), Budget: process.DefaultBudget})
	if err != nil {
		return err
	}
	return finish(cmd.OutOrStdout(), o.out, r)
}

// readDescription reads the description file and overrides its fields by the flags that were given.
func readDescription(cmd *cobra.Command, o *options) error {
	if o.file != "" {
		flags := o.description
		text, err := os.ReadFile(o.file)
		if err != nil {
			return fmt.Errorf("description: %w", err)
		}
		description := fleet.Default()
		dec := yaml.NewDecoder(bytes.NewReader(text))
		dec.KnownFields(true)
		if err := dec.Decode(&description); err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("description %s: %w", o.file, err)
		}
		o.description = description
		override(cmd, &o.description, &flags)
	}
	return o.description.Check()
}

// override copies the fields whose flags were given.
func override(cmd *cobra.Command, to, flags *fleet.Description) {
	for name, set := range map[string]func(){
		"seed": func() { to.Seed = flags.Seed }, "executors": func() { to.Executors = flags.Executors },
		"dispatchers": func() { to.Dispatchers = flags.Dispatchers }, "hollow-dispatchers": func() { to.Hollow = flags.Hollow }, "store-members": func() { to.StoreMembers = flags.StoreMembers },
		"tenants": func() { to.Tenants = flags.Tenants }, "regions": func() { to.Regions = flags.Regions },
		"zones": func() { to.ZonesPerRegion = flags.ZonesPerRegion }, "starts": func() { to.Starts = flags.Starts },
		"starts-to": func() { to.StartsTo = flags.StartsTo }, "running": func() { to.Running = flags.Running },
		"duration": func() { to.Duration = flags.Duration }, "dispatcher-memory": func() { to.MemoryMB = flags.MemoryMB },
		"dispatcher-sockets": func() { to.Sockets = flags.Sockets }, "client-processes": func() { to.Clients = flags.Clients }, "batch-share": func() { to.BatchShare = flags.BatchShare },
	} {
		if cmd.Flags().Changed(name) {
			set()
		}
	}
}

func parseFaults(texts []string) ([]faults.Spec, error) {
	var out []faults.Spec
	for _, text := range texts {
		if text == "none" && len(texts) == 1 {
			return nil, nil
		}
		s, err := faults.Parse(text)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// checkOut checks before the run that the directory of the result file exists.
func checkOut(path string) error {
	if path == "" {
		return nil
	}
	info, err := os.Stat(filepath.Dir(path))
	if err != nil || !info.IsDir() {
		return &fleet.FieldError{Field: "out", Got: path, Expected: "a file in a folder that is there"}
	}
	return nil
}

// build builds the dispatcher program from the module in the current directory.
func build(dir string) (string, error) {
	program := filepath.Join(dir, "gatetack")
	out, err := exec.Command("go", "build", "-o", program, "gatetack/cmd/gatetack").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the dispatcher: %w: %s", err, out)
	}
	return program, nil
}

// commandLine returns the command line for the result.
func commandLine() string {
	return strings.Join(append([]string{"go run ./cmd/scalerun"}, os.Args[1:]...), " ")
}

// commit returns the current commit, with the suffix -changed if files have uncommitted changes.
func commit() string {
	out, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(out))
	if changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no").Output(); err == nil && len(changed) > 0 {
		name += "-changed"
	}
	return name
}

func finish(w io.Writer, out string, r *result.Result) error {
	if err := result.Table(w, r); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	if out != "" {
		if err := result.Write(out, r); err != nil {
			return err
		}
	}
	switch {
	case !r.RulesKept:
		return errBroken
	case r.Partial:
		return errEarly
	}
	return nil
}
