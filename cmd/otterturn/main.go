// Command otterturn is a front for storage nodes. Without arguments it runs as the platform's front, configured by the
// RELAY_ environment variables. Its commands run and control an appliance, which is configured by an operator's file.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"otterturn/internal/program"
)

// Exit statuses of the program.
const (
	exitFailed     = 1 // an operation failed
	exitInvalid    = 2 // the command line or a configuration is invalid
	exitRejected   = 3 // the appliance rejected a command
	exitNotRunning = 4 // no appliance listens on the console socket
)

// commands defines the command line.
type commands struct {
	Config string `help:"The operator's file." default:"deploy/appliance.toml" placeholder:"FILE"`

	Serve   serveCommand   `cmd:"" help:"Run an appliance until SIGTERM. SIGHUP reloads the nodes and certificates from the file."`
	Check   checkCommand   `cmd:"" help:"Check the operator's file and name the invalid field."`
	Console consoleCommand `cmd:"" help:"Send commands to a running appliance."`
	State   struct {
		Show   showStateCommand  `cmd:"" help:"Show the saved state."`
		Check  checkStateCommand `cmd:"" help:"Check whether the next start would use the saved state."`
		Forget forgetCommand     `cmd:"" help:"Remove learned state."`
	} `cmd:"" help:"Learned state that an appliance saves; works on a running and on a stopped appliance."`
	Cert struct {
		Show    showCertificatesCommand `cmd:"" help:"Show names, serial number, expiry, next renewal attempt with its reason, and last error."`
		Renew   renewCommand            `cmd:"" help:"Renew a certificate now."`
		Revoke  revokeCommand           `cmd:"" help:"Revoke a certificate and obtain a new one."`
		Rollkey rollkeyCommand          `cmd:"" help:"Replace the account key at an authority."`
	} `cmd:"" help:"Manage the certificates of a running appliance."`
	Lab     labCommand     `cmd:"" help:"The laboratory: emulated nodes, load, rehearsals. 'otterturn lab --help' lists its commands."`
	Demo    demoCommand    `cmd:"" help:"Run a 20 s demonstration: emulated nodes, an appliance, load, console commands and a report."`
	Version versionCommand `cmd:"" help:"Print the version of this build."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install shell completions."`
}

type serveCommand struct{}

func (serveCommand) Run(c *commands) error { return program.ServeAppliance(c.Config) }

type checkCommand struct{}

func (checkCommand) Run(c *commands) error {
	operator, err := program.LoadOperator(c.Config)
	if err != nil {
		return err
	}
	for _, warning := range operator.Warnings() {
		fmt.Println("warning:", warning)
	}
	fmt.Println(c.Config, "is in order")
	return nil
}

type consoleCommand struct {
	Command []string `arg:"" optional:"" help:"One command; without it, commands are read from standard input. 'help' lists them."`
}

func (consoleCommand) Help() string {
	return "Examples:\n  otterturn console status\n  otterturn console drain node-a\n  otterturn console < commands.txt"
}

func (command consoleCommand) Run(c *commands) error {
	return program.Console(c.Config, command.Command, os.Stdin, os.Stdout)
}

type showStateCommand struct{}

func (showStateCommand) Run(c *commands) error {
	return program.RunStateCommand(c.Config, []string{"show"}, os.Stdout)
}

type checkStateCommand struct{}

func (checkStateCommand) Run(c *commands) error {
	return program.RunStateCommand(c.Config, []string{"check"}, os.Stdout)
}

type forgetCommand struct {
	What []string `arg:"" help:"'node NAME', 'project NAME' or 'all'."`
}

func (command forgetCommand) Run(c *commands) error {
	return program.RunStateCommand(c.Config, append([]string{"forget"}, command.What...), os.Stdout)
}

// sendCommand sends one command to the appliance and prints its answer.
func sendCommand(c *commands, words ...string) error {
	return program.Console(c.Config, words, nil, os.Stdout)
}

type showCertificatesCommand struct{}

func (showCertificatesCommand) Run(c *commands) error { return sendCommand(c, "certificate") }

type renewCommand struct {
	Name string `arg:"" help:"The certificate's name in the operator's file."`
}

func (command renewCommand) Run(c *commands) error { return sendCommand(c, "renew", command.Name) }

type revokeCommand struct {
	Name string `arg:"" help:"The certificate's name in the operator's file."`
}

func (command revokeCommand) Run(c *commands) error { return sendCommand(c, "revoke", command.Name) }

type rollkeyCommand struct {
	Authority string `arg:"" help:"The authority's name in the operator's file."`
}

func (command rollkeyCommand) Run(c *commands) error {
	return sendCommand(c, "rollkey", command.Authority)
}

type labCommand struct{}

func (labCommand) Run() error { return execOtterlab(nil) }

type demoCommand struct{}

func (demoCommand) Run() error { return execOtterlab([]string{"demo"}) }

// execOtterlab replaces this process with the otterlab program from the same folder. The laboratory is a separate program because
// otherwise each start of the platform's front would load its fonts and plots.
func execOtterlab(args []string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(executable), "otterlab")
	if _, err := exec.LookPath(path); err != nil {
		return fmt.Errorf("%w; run 'make build' to build it", err)
	}
	return syscall.Exec(path, append([]string{path}, args...), os.Environ())
}

type versionCommand struct{}

func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary contains no build information")
	}
	vcs := map[string]string{}
	for _, s := range info.Settings {
		vcs[s.Key] = s.Value
	}
	_, err := fmt.Println("otterturn", cmp.Or(strings.TrimSpace(vcs["vcs.revision"]+" "+vcs["vcs.time"]), info.Main.Version), info.GoVersion)
	return err
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "otterturn:", err)
		os.Exit(exitStatus(err))
	}
}

// exitStatus returns the program's exit status for an error.
func exitStatus(err error) int {
	switch {
	case errors.Is(err, program.ErrNotRunning):
		return exitNotRunning
	case errors.Is(err, program.ErrCommand):
		return exitRejected
	case errors.Is(err, program.ErrConfiguration):
		return exitInvalid
	}
	return exitFailed
}

func run(args []string) error {
	if len(args) == 0 {
		return program.ServePlatform()
	}
	if args[0] == "lab" { // otterlab parses its own flags
		return execOtterlab(args[1:])
	}
	var c commands
	parser, err := kong.New(&c, kong.Name("otterturn"), kong.Description("A front for shared storage nodes. Without a "+
		"command it runs as the platform's front, configured by the RELAY_ variables. Exit status: 0 on success, 1 on failure, 2 if "+
		"the command line or a configuration is invalid, 3 if the appliance rejected a command, 4 if no appliance is running."),
		kong.UsageOnError(), kong.Bind(&c), kong.Exit(func(code int) {
			if code != 0 { // kong itself exits with an error only for an invalid command line
				code = exitInvalid
			}
			os.Exit(code)
		}))
	if err != nil {
		return err
	}
	kongplete.Complete(parser)
	parsed, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	return parsed.Run()
}
