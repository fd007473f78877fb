// Command gatetack runs a node, which accepts requests and jobs from clients and dispatches them to executors
// according to the decisions of package dispatch. It is also the command-line client of the batch front and of the
// replicated store.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"gatetack/internal/config"
	"gatetack/internal/inventory"
	"gatetack/internal/operr"
)

// version is set by the build with -ldflags "-X main.version=...".
var version = "0.3.0"

// Exit codes, as documented in docs/batch.md.
const (
	exitFailed     = 1 // the command failed
	exitUsage      = 2 // the command line is invalid
	exitRejected   = 3 // the node rejected the call because of the state, the session or an argument
	exitRetryLater = 4 // the node cannot handle the call now: try again later
	exitJob        = 5 // the awaited job has failed
	exitUnknown    = 6 // the outcome of the awaited job, or of the call itself, is indeterminate
)

func main() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "gatetack:", err)
		if do := operr.Remedy(err); do != "" {
			fmt.Fprintln(os.Stderr, "what can be done:", do)
		}
		os.Exit(exitCode(err))
	}
}

// usageError is an error of the command line: an unknown command or flag, or a wrong argument.
type usageError struct{ error }

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "gatetack",
		Short: "gatetack brings jobs to executors",
		Long: "gatetack brings jobs to executors: serve runs a node; the other commands speak to one's batch front.\n" +
			"Each flag has a twin among the environment's variables: --addr is GATETACK_ADDR, --log-level GATETACK_LOG_LEVEL.",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return fromEnvironment(cmd.Flags()) },
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q", args[0])}
			}
			_ = cmd.Help()
			return usageError{errors.New("no command given")}
		},
		Args: cobra.ArbitraryArgs,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	cmd.AddCommand(serveCommand(), checkCommand(), versionCommand(), jobCommand(), sessionCommand(), machineCommand(),
		storeCommand(), settingsCommand(), dutyCommand(), keysCommand(), conformCommand())
	return cmd
}

// fromEnvironment sets flags that are absent from the command line from their environment variables.
func fromEnvironment(flags *pflag.FlagSet) error {
	var firstError error
	flags.VisitAll(func(f *pflag.Flag) {
		name := "GATETACK_" + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		if text, ok := os.LookupEnv(name); ok && !f.Changed && f.Name != "help" {
			if err := flags.Set(f.Name, text); err != nil && firstError == nil {
				firstError = usageError{fmt.Errorf("%s: %w", name, err)}
			}
		}
	})
	return firstError
}

// noArgs rejects all arguments.
func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s: %q is not expected", cmd.Name(), args[0])}
	}
	return nil
}

func serveCommand() *cobra.Command {
	var path, level, format string
	cmd := &cobra.Command{
		Use: "serve", Short: "run a node", Args: noArgs,
		Long: "Runs a node. On the platform EDGE_CONFIG names its configuration, and --config what runs beside it; a file\n" +
			"with a section node (like deploy/standalone.yaml) is all that a node needs that is alone.",
		RunE: func(_ *cobra.Command, _ []string) error {
			// SIGHUP is caught before anything else: uncaught, it would terminate the process.
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			log, err := newLogger(level, format)
			if err != nil {
				return err
			}
			cfg, file, err := load(path)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return serve(ctx, hup, cfg, file, log)
		},
	}
	configFlag(cmd, &path)
	cmd.Flags().StringVar(&level, "log-level", "info", "what is logged: debug, info, warn or error")
	cmd.Flags().StringVar(&format, "log-format", "text", "how: text or json")
	return cmd
}

func configFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "config", "", "a file like deploy/gatetack.yaml; what it would turn on is off without it")
}

// newLogger returns a logger that writes structured log lines to standard error.
func newLogger(level, format string) (*slog.Logger, error) {
	var lowest slog.Level
	if err := lowest.UnmarshalText([]byte(level)); err != nil {
		return nil, usageError{fmt.Errorf("--log-level: %w", err)}
	}
	options := &slog.HandlerOptions{Level: lowest}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return nil, usageError{fmt.Errorf("--log-format: %q is neither text nor json", format)}
}

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "check-config", Short: "read a node's configuration and say what is wrong with it", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, file, err := load(path)
			if err != nil {
				return err
			}
			out := printer{writer: cmd.OutOrStdout()}
			describeNode(&out, cfg, file)
			if file.Inventory.File != "" {
				if _, err := inventory.Open(inventory.Config{Path: file.Inventory.File, Names: cfg.Names,
					Limits: cfg.Limits, Log: slog.Default()}, nil); err != nil {
					return err
				}
				out.printf("executors from %s\n", file.Inventory.File)
			}
			describeStore(&out, file)
			return out.err
		},
	}
	configFlag(cmd, &path)
	return cmd
}

// describeNode prints the name, addresses and persistence of a node.
func describeNode(out *printer, cfg *config.Config, file *config.File) {
	out.printf("%s: %d classes, %d tenants, %d known executors, listens on %s\n",
		cfg.Name, len(cfg.Names.Classes), len(cfg.Names.Tenants), len(cfg.Known.Entries), cfg.Listen)
	if file.Batch.Listen != "" {
		out.printf("batch front on %s\n", file.Batch.Listen)
	}
	if file.Batch.Dir != "" && file.Store.Dir == "" {
		out.printf("batch jobs on record in %s\n", file.Batch.Dir)
	}
}

// describeStore prints how a node uses the replicated store.
func describeStore(out *printer, file *config.File) {
	if file.Store.Dir != "" {
		out.printf("store in %s, %d members\n", file.Store.Dir, len(file.Store.Members))
	}
	if file.Settings.Enabled {
		out.printf("settings from the store, %d members to follow\n", len(file.Settings.Follow))
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "print the version", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "gatetack", version)
			return err
		},
	}
}
