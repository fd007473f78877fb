// Command capacity measures how the costs of each role grow with the size of the fleet, and writes the tables of the
// operators' capacity page, docs/CAPACITY.md, from the result files. It is a tool for the developers of the project.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"gatetack/internal/capacity"
	"gatetack/internal/capacity/measure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "capacity", Short: "measure what each role costs, and write the capacity page",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(measureCommand(), pageCommand(), memberCommand())
	return root
}

func measureCommand() *cobra.Command {
	var out, program string
	var seed uint64
	cmd := &cobra.Command{
		Use: "measure [ROLE...]", Short: "measure roles, all if none is named, one result file each",
		RunE: func(cmd *cobra.Command, names []string) error {
			roles, err := rolesOf(names)
			if err != nil {
				return err
			}
			if info, err := os.Stat(out); err != nil || !info.IsDir() {
				return fmt.Errorf("--out is %q, expected an existing directory", out)
			}
			var failed error
			for _, role := range roles {
				failed = errors.Join(failed, measureRole(cmd.Context(), role, out, program, seed))
			}
			return failed
		},
	}
	cmd.Flags().StringVar(&out, "out", "docs/capacity", "the folder of the result files")
	cmd.Flags().StringVar(&program, "program", "bin/gatetack", "the built program, for the role dispatcher")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "everything that is drawn is drawn from it")
	return cmd
}

// rolesOf returns the roles with the given names, or all roles if there are no names.
func rolesOf(names []string) ([]measure.Role, error) {
	if len(names) == 0 {
		return measure.Roles, nil
	}
	var known []string
	byName := map[string]measure.Role{}
	for _, role := range measure.Roles {
		known = append(known, role.Name)
		byName[role.Name] = role
	}
	var roles []measure.Role
	for _, name := range names {
		role, ok := byName[name]
		if !ok {
			return nil, fmt.Errorf("ROLE is %q, expected one of %s", name, strings.Join(known, ", "))
		}
		roles = append(roles, role)
	}
	return roles, nil
}

// measureRole measures a role and writes its result file. If the measurement fails, the series that are complete are
// written to a separate file that is marked partial.
func measureRole(ctx context.Context, role measure.Role, out, node string, seed uint64) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	run, err := describeRun(role.Name, seed)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	series, failed := role.Measure(ctx, measure.Options{Program: program, Node: node, Seed: seed})
	result := capacity.Result{Run: run, Series: series}
	path := filepath.Join(out, role.Name+".json")
	if failed != nil {
		result.Run.Partial = true
		path = filepath.Join(out, role.Name+".json.partial")
	}
	if err := errors.Join(failed, result.Write(path)); err != nil {
		return fmt.Errorf("role %s: %w", role.Name, err)
	}
	fmt.Printf("%s: %d series in %v, %s\n", role.Name, len(series), time.Since(startedAt).Round(time.Second), path)
	return nil
}

// measuredFiles are the Git path patterns of the measured program, without this tool.
var measuredFiles = []string{":(top)*.go", ":(top,exclude)cmd/capacity", ":(top,exclude)internal/capacity"}

// describeRun returns the description of a run: the measured commit, the command and the machine.
func describeRun(role string, seed uint64) (capacity.Run, error) {
	commit, err := exec.Command("git", append([]string{"log", "-1", "--format=%h", "--abbrev=12", "--"}, measuredFiles...)...).Output()
	if err != nil {
		return capacity.Run{}, fmt.Errorf("find the measured commit: %w", err)
	}
	changed, err := exec.Command("git", append([]string{"status", "--porcelain", "--untracked-files=no", "--"}, measuredFiles...)...).Output()
	if err != nil {
		return capacity.Run{}, fmt.Errorf("check for changed files: %w", err)
	}
	machine, err := describeMachine()
	return capacity.Run{Commit: strings.TrimSpace(string(commit)), Changed: len(changed) > 0,
		Command: fmt.Sprintf("go run ./cmd/capacity measure %s --seed %d", role, seed), Seed: seed, At: time.Now().UTC().Truncate(time.Second),
		Machine: machine}, err
}

func describeMachine() (capacity.Machine, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return capacity.Machine{}, fmt.Errorf("read the size of the memory: %w", err)
	}
	machine := capacity.Machine{Processor: "not told", Cores: runtime.NumCPU(), MemoryMiB: int(info.Totalram * uint64(info.Unit) >> 20), Go: runtime.Version()}
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return machine, fmt.Errorf("read the processor model: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
			machine.Processor = strings.TrimSpace(value)
			break
		}
	}
	return machine, nil
}

func pageCommand() *cobra.Command {
	var page, results string
	var check bool
	cmd := &cobra.Command{
		Use: "page", Short: "write the page's tables from the result files and the limits in the code", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			all, err := capacity.Load(results)
			if err != nil {
				return err
			}
			current, err := os.ReadFile(page)
			if err != nil {
				return err
			}
			updated, err := capacity.Rewrite(string(current), all)
			if err != nil {
				return fmt.Errorf("%s: %w", page, err)
			}
			switch {
			case updated == string(current):
				return nil
			case check:
				return fmt.Errorf("%s differs from its result files or the limits; run: go run ./cmd/capacity page", page)
			}
			return os.WriteFile(page, []byte(updated), 0o644)
		},
	}
	cmd.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "the page")
	cmd.Flags().StringVar(&results, "results", "docs/capacity", "the folder of the result files")
	cmd.Flags().BoolVar(&check, "check", false, "write nothing, fail if the page would change")
	return cmd
}

// memberCommand runs a member of the measured store.
func memberCommand() *cobra.Command {
	return &cobra.Command{
		Use: "member CONFIG", Short: "a member of the measured store; started by measure", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return measure.RunMember(args[0], os.Stdin, os.Stdout) },
	}
}
