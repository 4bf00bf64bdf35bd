// Command otterlab runs experiments, and emulated nodes and certificate authorities on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/alecthomas/kong"

	"otterturn/internal/lab/authority"
	"otterturn/internal/lab/histories"
	"otterturn/internal/lab/restart"
)

// commands defines the command line.
type commands struct {
	Restart   restartCommand   `cmd:"" help:"Measure what a restart costs, with and without saved learned state."`
	Rehearse  rehearseCommand  `cmd:"" help:"Simulate scenarios in virtual time with the scheduler, the baselines and other builds. Fails if a rule is broken or a node is overloaded."`
	Repeat    repeatCommand    `cmd:"" help:"Simulate scenarios twice. Fails if the digests differ, a rule is broken or a node is overloaded."`
	Agree     agreeCommand     `cmd:"" help:"Run a load on sockets and in virtual time. Fails if they differ by more than the tolerance."`
	Node      nodeCommand      `cmd:"" help:"Emulate an appliance's nodes until interrupted."`
	Load      loadCommand      `cmd:"" help:"Send client requests to a running appliance. Fails if a request has no valid answer."`
	Demo      demoCommand      `cmd:"" help:"Show emulated nodes, an appliance, load, console commands and a report in under a minute."`
	Speed     speedCommand     `cmd:"" help:"Measure the speed of virtual time by number of nodes."`
	Processes processesCommand `cmd:"" help:"Measure fronts that run as processes: processor time, memory, changes, probes; under four minutes."`
	Histories historiesCommand `cmd:"" help:"Simulate years of certificate renewals against failing authorities, in virtual time."`
	Capacity  capacityCommand  `cmd:"" help:"Measure the cost of a fleet of hollow fronts by size and event, as a table."`
	Authority authorityCommand `cmd:"" help:"Run an ACME certificate authority on loopback until interrupted."`
}

type restartCommand struct {
	Seeds int `help:"Number of simulated runs." default:"20"`
}

func (c restartCommand) Run(out io.Writer) error {
	if c.Seeds < 1 {
		return errors.New("--seeds must be above 0")
	}
	return restart.Report(out, c.Seeds)
}

type historiesCommand struct {
	N int `short:"n" help:"Number of simulated histories." default:"10000"`
}

func (c historiesCommand) Run(out io.Writer) error {
	_, err := histories.Report(out, c.N)
	return err
}

type authorityCommand struct {
	Lifetime time.Duration `help:"Lifetime of the certificates." default:"1h"`
	HTTP     string        `help:"Address at which HTTP-01 challenges are validated." default:"127.0.0.1:8080"`
	TLS      string        `help:"Address at which TLS-ALPN-01 challenges are validated." default:"127.0.0.1:8443"`
	Informs  bool          `help:"Offer renewal information." default:"true" negatable:""`
	Roots    string        `help:"File to write the root certificate of the authority's HTTPS server to." default:"authority.pem"`
	Faults   string        `help:"TOML file with faults to inject: [[fault]] step, do, after, for, times, retry." placeholder:"FILE"`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "otterlab:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var c commands
	parser, err := kong.New(&c, kong.Name("otterlab"), kong.Description("Experiments, emulated nodes and a test certificate authority."), kong.UsageOnError(),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	return parsed.Run()
}

// Run runs a certificate authority until it is interrupted.
func (c authorityCommand) Run(out io.Writer) error {
	settings := authority.Settings{Lifetime: c.Lifetime, HTTP: c.HTTP, TLS: c.TLS, OffersRenewalInfo: c.Informs, Faults: &authority.Faults{}}
	var script struct{ Fault []authority.Fault }
	if c.Faults != "" {
		meta, err := toml.DecodeFile(c.Faults, &script)
		if err != nil {
			return fmt.Errorf("%s: %w", c.Faults, err)
		}
		if unknown := meta.Undecoded(); len(unknown) > 0 {
			return fmt.Errorf("%s: unknown field %s", c.Faults, unknown[0])
		}
	}
	settings.Faults.Set(script.Fault...)
	a, err := authority.Start(settings)
	if err != nil {
		return err
	}
	defer a.Close()
	if err := os.WriteFile(c.Roots, a.ServerRoots(), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(out, "directory = %q\nroots = %q\n", a.Directory(), c.Roots)
	stopped, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	<-stopped.Done()
	return nil
}
