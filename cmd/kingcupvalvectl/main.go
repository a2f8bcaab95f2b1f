// Command kingcupvalvectl checks the configuration of kingcupvalve, queries and
// drains its daemons, and explains packet flows from logs. See
// man/kingcupvalvectl.1.
//
// # Usage
//
//	kingcupvalvectl config check fleet.yaml
//	kingcupvalvectl --output json status --daemon 127.0.0.1:7003
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"kingcupvalve.example/kingcupvalve/internal/commander"
	"kingcupvalve.example/kingcupvalve/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	c := commander.NewCommander(commander.Options{Out: os.Stdout, Err: os.Stderr, Version: version(), ParseConfig: platform.ParseConfig})
	code := c.Run(ctx, os.Args)
	stop()
	os.Exit(code)
}

// version returns the module version, followed by the first 12 characters of the
// VCS revision if the build recorded one, or unknown without build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return info.Main.Version + " " + s.Value[:12]
		}
	}
	return info.Main.Version
}
