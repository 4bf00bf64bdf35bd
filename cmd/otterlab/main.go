// Command otterlab runs the project's laboratory: experiments, and stand-ins to be started by hand on loopback.
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

// commands are the words of the command line.
type commands struct {
	Restart   restarts `cmd:"" help:"What a restart costs, with and without what the front had learned."`
	Rehearse  rehearse `cmd:"" help:"Play scenarios in virtual time, by the decision module, the baselines and other builds. It fails where the module breaks a rule or pushes a node over."`
	Repeat    repeat   `cmd:"" help:"Play a day of each scenario twice. It fails unless both have the same digest, and where a rule is broken or a node pushed over."`
	Agree     agree    `cmd:"" help:"Play days on sockets and in virtual time, and fail where they differ by more than they may."`
	Node      node     `cmd:"" help:"Emulate an appliance's nodes, until it is interrupted."`
	Load      loading  `cmd:"" help:"Ask a running appliance for what clients would. It fails where a request has no proper answer."`
	Demo      demo     `cmd:"" help:"Emulated nodes, an appliance, a little load, a few console screens and a report, in under a minute."`
	Speed     speed    `cmd:"" help:"Tell how fast virtual time goes, by the number of nodes."`
	Processes measured `cmd:"" help:"Measure fronts that run as processes of their own: processor time, memory, changes, probes; under four minutes."`
	Histories years    `cmd:"" help:"Certificates' years against authorities that fail, in virtual time."`
	Capacity  capacity `cmd:"" help:"What a fleet of hollow fronts costs, by its size and event: the table of the page on capacity."`
	Authority issuer   `cmd:"" help:"A certificate authority that speaks ACME on loopback, until it is interrupted."`
}

type restarts struct {
	Seeds int `help:"Days that are played." default:"20"`
}

func (c restarts) Run(out io.Writer) error {
	if c.Seeds < 1 {
		return errors.New("--seeds must be above 0")
	}
	return restart.Report(out, c.Seeds)
}

type years struct {
	N int `short:"n" help:"Histories that are played." default:"10000"`
}

func (c years) Run(out io.Writer) error {
	_, err := histories.Report(out, c.N)
	return err
}

type issuer struct {
	Lifetime time.Duration `help:"Of certificates." default:"1h"`
	HTTP     string        `help:"Where HTTP-01 answers are fetched." default:"127.0.0.1:8080"`
	TLS      string        `help:"Where TLS-ALPN-01 answers are fetched." default:"127.0.0.1:8443"`
	Informs  bool          `help:"Offer renewal information." default:"true" negatable:""`
	Roots    string        `help:"File for the root certificate of its own server." default:"authority.pem"`
	Faults   string        `help:"TOML file of what goes wrong: [[fault]] step, do, after, for, times, retry." placeholder:"FILE"`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "otterlab:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var c commands
	parser, err := kong.New(&c, kong.Name("otterlab"), kong.Description("The project's laboratory."), kong.UsageOnError(),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	return parsed.Run()
}

// Run serves an authority until it is interrupted.
func (c issuer) Run(out io.Writer) error {
	set := authority.Settings{Lifetime: c.Lifetime, HTTP: c.HTTP, TLS: c.TLS, Informs: c.Informs, Faults: &authority.Faults{}}
	var script struct{ Fault []authority.Fault }
	if c.Faults != "" {
		meta, err := toml.DecodeFile(c.Faults, &script)
		if err != nil {
			return fmt.Errorf("%s: %w", c.Faults, err)
		}
		if odd := meta.Undecoded(); len(odd) > 0 {
			return fmt.Errorf("%s: %s: unknown", c.Faults, odd[0])
		}
	}
	set.Faults.Set(script.Fault...)
	a, err := authority.Start(set)
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
