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

	"otterturn/internal/lab/load"
	"otterturn/internal/lab/model"
	"otterturn/internal/lab/sockets"
	"otterturn/internal/net/protocol"
	"otterturn/internal/program"
)

type nodeCommand struct {
	Config string  `help:"The operator's file whose nodes are emulated." default:"deploy/appliance.toml" placeholder:"FILE"`
	Cores  int     `help:"Number of cores per node." default:"2"`
	Speed  float64 `help:"Relative speed of a core." default:"1"`
	Room   int     `help:"Number of requests that can wait at each node." default:"64"`
}

// Run emulates the nodes until it is interrupted.
func (c nodeCommand) Run(out io.Writer) error {
	o, err := program.LoadOperator(c.Config)
	if err != nil {
		return err
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	return c.serve(ctx, o, out)
}

func (c nodeCommand) serve(ctx context.Context, o program.Operator, out io.Writer) error {
	if c.Cores < 1 || c.Speed <= 0 || c.Room < 1 {
		return errors.New("--cores, --speed and --room must be above 0")
	}
	var nodes []sockets.Emulated
	for _, n := range o.Nodes {
		nodes = append(nodes, sockets.Emulated{Name: n.Name, HTTP: n.HTTP, SFTP: n.SFTP, Folders: projectFolders(o)})
		fmt.Fprintf(out, "%s: sftp %q, http %q\n", n.Name, n.SFTP, n.HTTP)
	}
	f := model.Parameters{
		Cores: c.Cores, Speed: c.Speed, Room: c.Room, ColdFrom: 1, Near: 0.5, NearSpan: int64(time.Second / time.Microsecond),
		MaxRemembered: 10_000,
	}
	work := func(m protocol.Request) model.Job { return model.Job{Work: 20_000 * m.Units, Object: m.Key} }
	return sockets.Emulate(ctx, nodes, f, o.Settings(), work)
}

type loadCommand struct {
	Config   string        `help:"The operator's file of the appliance under load." default:"deploy/appliance.toml" placeholder:"FILE"`
	Front    string        `help:"Protocol of the load: http or files." enum:"http,files" default:"files"`
	Rate     float64       `help:"Requests per second." default:"20"`
	For      time.Duration `help:"Duration of the load." default:"10s"`
	Sessions int           `help:"Number of file sessions." default:"16"`
	Seed     uint64        `help:"Seed of the random numbers." default:"1"`
}

// maxOpen limits the open requests of a load.
const maxOpen = 4096

func (c loadCommand) Run(out io.Writer) error {
	o, err := program.LoadOperator(c.Config)
	if err != nil {
		return err
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	p, err := c.run(ctx, o, func(p load.Progress) { fmt.Fprintln(out, p) })
	if err == nil && p.Ended[load.Failed] > 0 {
		err = fmt.Errorf("%d requests failed", p.Ended[load.Failed])
	}
	return err
}

func (c loadCommand) run(ctx context.Context, o program.Operator, report func(load.Progress)) (load.Progress, error) {
	if c.Rate <= 0 || c.For <= 0 || c.Sessions < 1 {
		return load.Progress{}, errors.New("--rate, --for and --sessions must be above 0")
	}
	settings := load.Settings{Rate: c.Rate, Duration: c.For, Seed: c.Seed, MaxOpen: maxOpen}
	if c.Front == "http" {
		if o.HTTP.Listen == "" {
			return load.Progress{}, fmt.Errorf("%s: http.listen: missing", c.Config)
		}
		return load.Run(ctx, settings, load.HTTP(o.HTTP.Listen, o.Settings(), len(o.Projects)), report), nil
	}
	if o.SFTP.Listen == "" {
		return load.Progress{}, fmt.Errorf("%s: sftp.listen: missing", c.Config)
	}
	send, end, err := load.Files(o.SFTP.Listen, projectFolders(o), c.Sessions)
	if err != nil {
		return load.Progress{}, err
	}
	defer end()
	return load.Run(ctx, settings, send, report), nil
}

// projectFolders returns the path prefixes of the projects.
func projectFolders(o program.Operator) (out []string) {
	for _, p := range o.Projects {
		out = append(out, p.Prefix)
	}
	return out
}
