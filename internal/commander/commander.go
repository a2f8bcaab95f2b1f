// Package commander implements the command-line tool kingcupvalvectl.
//
// The config commands work on fleet documents and settings files, and explain
// reads logs. The commands status, targets, flows, drain and report call the
// operator API of daemons. No command writes to the platform. Commands write
// tables or JSON to Options.Out and messages to Options.Err, and return one of
// the Exit codes. Daemons that do not answer are listed and change the exit code.
//
// # Usage
//
//	c := commander.NewCommander(commander.Options{Out: os.Stdout, Err: os.Stderr, Version: version})
//	os.Exit(c.Run(ctx, os.Args))
package commander

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"kingcupvalve.example/kingcupvalve/internal/checker"
	"kingcupvalve.example/kingcupvalve/internal/parser"
	"kingcupvalve.example/kingcupvalve/internal/validator"
)

// Exit codes of kingcupvalvectl.
const (
	// ExitDone means success, and that no problem was found.
	ExitDone = 0
	// ExitFailure means a wrong command line, an unreadable file or another
	// error.
	ExitFailure = 1
	// ExitInvalid means that a settings file, a fleet document or a configuration of
	// packet flows has problems.
	ExitInvalid = validator.ExitInvalid
	// ExitPartial means that some daemons did not answer or refused the request,
	// so the result is incomplete.
	ExitPartial = 3
	// ExitUnreachable means that every daemon failed to answer or refused the
	// request, so there is no result.
	ExitUnreachable = 4
)

// Options configures a Commander.
type Options struct {
	Out     io.Writer
	Err     io.Writer
	Version string
	// ParseConfig decodes a configuration of packet flows, whose format is that of the
	// platform. Without it, such files can't be checked.
	ParseConfig func(path string, content []byte) checker.Document
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
	// Dial opens connections to daemons. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Location is the time zone of times in tables. The default is time.Local.
	Location *time.Location
}

// Commander runs the commands of kingcupvalvectl. It is not safe for concurrent
// use.
type Commander struct {
	options Options
	out     *output
}

// NewCommander returns a Commander.
func NewCommander(o Options) *Commander {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	o.Location = cmp.Or(o.Location, time.Local)
	return &Commander{options: o, out: &output{w: o.Out}}
}

// exitError ends the command with an exit code. The message is empty if the
// output already tells what is wrong.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (e exitError) Error() string { return e.message }

// Run runs a command line and returns the exit code. The first argument is the
// name of the program.
func (c *Commander) Run(ctx context.Context, arguments []string) int {
	err := c.root().Run(ctx, arguments)
	if err == nil {
		return ExitDone
	}
	code := ExitFailure
	var exit exitError
	if errors.As(err, &exit) {
		code = exit.code
	}
	if text := err.Error(); text != "" {
		fmt.Fprintf(c.options.Err, "kingcupvalvectl: %s\n", text)
	}
	return code
}

func (c *Commander) root() *cli.Command {
	return &cli.Command{
		Name:    "kingcupvalvectl",
		Usage:   "check configuration of kingcupvalve, and ask or drain its daemons",
		Version: c.options.Version,
		Description: "Exit codes: 0 done; 1 wrong command line, unreadable file or other fault; 2 document with problems; " +
			"3 some daemons gave no result; 4 no daemon gave one.",
		Writer: c.options.Out, ErrWriter: c.options.Err,
		EnableShellCompletion: true, Suggest: true, DisableSliceFlagSeparator: true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Value: formatTable, Usage: "table or json",
			Validator: func(text string) error {
				if text != formatTable && text != formatJSON {
					return merry.Errorf("read --output: %q is neither table nor json", text)
				}
				return nil
			},
		}},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			c.out.json = cmd.String("output") == formatJSON
			return ctx, nil
		},
		Commands: []*cli.Command{
			{
				Name: "config", Usage: "check, compare and explain documents without any daemon",
				Commands: []*cli.Command{c.checkCommand(), c.diffCommand(), c.explainCommand(), c.publishableCommand()},
				Action:   requireCommand,
			},
			c.statusCommand(), c.targetsCommand(), c.refusedEntriesCommand(), c.flowsCommand(), c.drainCommand(), c.explainFlowCommand(),
			{Name: "report", Usage: "reports over daemons", Commands: []*cli.Command{c.burnCommand()}, Action: requireCommand},
		},
		Action: requireCommand,
	}
}

// requireCommand returns an error for a missing or unknown subcommand.
func requireCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		var names []string
		for _, x := range cmd.Commands {
			names = append(names, x.Name)
		}
		return merry.Errorf("run %s: no command %q; %s", cmd.FullName(), name, parser.SuggestName(name, names))
	}
	return merry.Errorf("run %s: no command given; see %s --help", cmd.FullName(), cmd.FullName())
}

// requireArguments returns the arguments, or an error with the usage if there
// are fewer than smallest or more than largest. A largest of -1 means no limit.
func requireArguments(cmd *cli.Command, smallest, largest int) ([]string, error) {
	arguments := cmd.Args().Slice()
	if len(arguments) < smallest || (largest >= 0 && len(arguments) > largest) {
		return nil, merry.Errorf("run %s: wrong number of arguments; usage: %s %s", cmd.FullName(), cmd.FullName(), cmd.ArgsUsage)
	}
	return arguments, nil
}
