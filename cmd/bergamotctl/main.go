// Command bergamotctl manages a bergamotdrum fleet through the operators' API.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bergamotdrum.example/bergamotdrum/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
