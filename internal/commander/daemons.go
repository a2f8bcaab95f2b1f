package commander

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	api "kingcupvalve.example/kingcupvalve/internal/api/operator"
	"kingcupvalve.example/kingcupvalve/internal/parser"
)

// maxCalls is the maximum number of concurrent calls to daemons.
const maxCalls = 64

// daemonFlags returns the flags that all commands with calls to daemons have in
// common, followed by extra flags.
func daemonFlags(extra ...cli.Flag) []cli.Flag {
	variable := func(name string) cli.ValueSourceChain { return cli.EnvVars("KINGCUPVALVE_" + name) }
	return append([]cli.Flag{
		&cli.StringSliceFlag{Name: "daemon", Usage: "operator address of a daemon as ip:port; may be repeated"},
		&cli.StringFlag{Name: "daemons-file", TakesFile: true, Usage: "file with one operator address a line", Sources: variable("DAEMONS_FILE")},
		&cli.StringFlag{Name: "certificate", TakesFile: true, Required: true, Usage: "PEM file of the operator's certificate", Sources: variable("CERTIFICATE")},
		&cli.StringFlag{Name: "key", TakesFile: true, Required: true, Usage: "PEM file of the operator's private key", Sources: variable("KEY")},
		&cli.StringFlag{Name: "ca", TakesFile: true, Required: true, Usage: "PEM file of the authority of the daemons", Sources: variable("CA")},
		&cli.StringFlag{Name: "server-name", Value: parser.DefaultPeerName, Usage: "DNS name in the daemons' certificates", Sources: variable("SERVER_NAME")},
		&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "time to wait for each daemon"},
	}, extra...)
}

// daemonAddresses returns the addresses of --daemon and --daemons-file without
// duplicates, in the given order.
func daemonAddresses(cmd *cli.Command) ([]string, error) {
	addresses := slices.Clone(cmd.StringSlice("daemon"))
	if file := cmd.String("daemons-file"); file != "" {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, merry.Prepend(err, "read daemons file")
		}
		for line := range strings.Lines(string(content)) {
			line, _, _ = strings.Cut(line, "#")
			if line = strings.TrimSpace(line); line != "" {
				addresses = append(addresses, line)
			}
		}
	}
	seen := make(map[string]bool)
	addresses = slices.DeleteFunc(addresses, func(address string) bool {
		again := seen[address]
		seen[address] = true
		return again
	})
	if len(addresses) == 0 {
		return nil, merry.New("read daemon addresses: none given; use --daemon or --daemons-file")
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, merry.Prepend(err, "read daemon addresses")
		}
	}
	return addresses, nil
}

// unreachable is a daemon that gave no result, because it did not answer or
// refused the request.
type unreachable struct {
	Daemon string `json:"daemon"`
	Error  string `json:"error"`
}

// answers are the results of the same call to several daemons, in the order of
// their addresses.
type answers[T any] struct {
	Results     []answer[T]   `json:"results"`
	Unreachable []unreachable `json:"unreachable"`
}

type answer[T any] struct {
	Daemon string `json:"daemon"`
	Result T      `json:"result"`
}

// askDaemons calls all daemons given on the command line concurrently. A failed
// call is listed in answers.Unreachable; the returned error is one of the command
// itself.
func askDaemons[T any](ctx context.Context, c *Commander, cmd *cli.Command, call func(ctx context.Context, daemon string, client *api.Client) (T, error)) (answers[T], error) {
	all := answers[T]{Results: []answer[T]{}, Unreachable: []unreachable{}}
	addresses, err := daemonAddresses(cmd)
	if err != nil {
		return all, err
	}
	client, closeIdle, err := c.newHTTPClient(cmd)
	if err != nil {
		return all, err
	}
	defer closeIdle()
	results := make([]T, len(addresses))
	errs := make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, address := range addresses {
		group.Go(func() error {
			results[i], errs[i] = callDaemon(ctx, client, address, cmd.Duration("timeout"), call)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return all, err
	}
	for i, address := range addresses {
		if errs[i] != nil {
			all.Unreachable = append(all.Unreachable, unreachable{Daemon: address, Error: errs[i].Error()})
			continue
		}
		all.Results = append(all.Results, answer[T]{Daemon: address, Result: results[i]})
	}
	return all, nil
}

// callDaemon calls one daemon with a timeout.
func callDaemon[T any](ctx context.Context, client *http.Client, address string, timeout time.Duration, call func(ctx context.Context, daemon string, client *api.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var zero T
	daemonClient, err := api.NewClient("https://"+address, api.WithClient(client))
	if err != nil {
		return zero, merry.Prepend(err, "build client")
	}
	result, err := call(ctx, address, daemonClient)
	if err != nil {
		return zero, shortError(err)
	}
	return result, nil
}

// shortError removes the layers of an error that don't help an operator, such as
// the name of the generated API operation.
func shortError(err error) error {
	var problem *api.ProblemStatusCode
	if errors.As(err, &problem) {
		return merry.Errorf("daemon answered %d: %s", problem.StatusCode, problem.Response.Message)
	}
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return merry.New("no answer in time")
	}
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err
		}
		err = inner
	}
}

func (c *Commander) newHTTPClient(cmd *cli.Command) (*http.Client, func(), error) {
	files := parser.NewTLSFiles(cmd.String("certificate"), cmd.String("key"), cmd.String("ca"), cmd.String("server-name"))
	config, err := files.ClientConfig()
	if err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{TLSClientConfig: config, DialContext: c.options.Dial, DisableKeepAlives: true}
	var once sync.Once
	return &http.Client{Transport: transport}, func() { once.Do(transport.CloseIdleConnections) }, nil
}

// finish prints the daemons that gave no result, and returns an exitError if
// there are any.
func finish[T any](c *Commander, all answers[T]) error {
	if len(all.Unreachable) == 0 {
		return nil
	}
	if !c.out.json {
		var rows []table.Row
		for _, u := range all.Unreachable {
			rows = append(rows, table.Row{u.Daemon, u.Error})
		}
		if err := c.out.writeTable(table.Row{"UNREACHABLE", "ERROR"}, rows); err != nil {
			return err
		}
	}
	if len(all.Results) == 0 {
		return exitError{ExitUnreachable, "no daemon gave a result"}
	}
	return exitError{ExitPartial, "some daemons gave no result"}
}
