// Command standin runs the stand-in for the platform, the fabric or a backend
// server, for tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for the platform, the fabric or a backend server",
		Commands: []*cli.Command{newBackendCommand(), newPlatformCommand(), newFabricCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

// newAdmin returns a handler that answers /adminz/ready.
func newAdmin() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /adminz/ready", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// handlePut registers a handler that decodes the JSON body of a PUT request and
// passes it to apply.
func handlePut[T any](mux *http.ServeMux, path string, apply func(T) error) {
	mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(value); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
}
