package daemon

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/proto"
)

// Program is the command line of a daemon. It takes the path of an INI file, and
// a flag to only check that file.
type Program[S proto.Message] struct {
	Name, Description string
	// Section is the INI section that is decoded into Settings.
	Section  string
	Settings S
	Start    func(S) (Service, error)
}

// Service is a daemon that was started.
type Service interface {
	// Stop stops the daemon gracefully.
	Stop() error
	// Failed returns a channel that is closed when a part without which the daemon is
	// of no use has stopped by itself; nil when there is no such part.
	Failed() <-chan struct{}
}

var errServiceFailed = errors.New("a part of the program has failed, see its log; the program ends so that it is started again")

// Main parses the command line and runs the program until SIGTERM or SIGINT. It
// exits with status 1 on failure.
func (p Program[S]) Main() {
	var cli struct {
		Settings string `arg:"" help:"INI file with the program's section."`
		Check    bool   `help:"Check the settings and exit."`
	}
	kong.Parse(&cli, kong.Name(p.Name), kong.Description(p.Description))
	if err := p.Run(cli.Settings, cli.Check); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(1)
	}
}

// Run validates the settings and, unless check is set, runs the daemon until
// SIGTERM or SIGINT, or until it has failed.
func (p Program[S]) Run(path string, check bool) error {
	if err := LoadSettings(path, p.Section, p.Settings); err != nil {
		return err
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, cancel := SignalContext()
	defer cancel()
	service, err := p.Start(p.Settings)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return service.Stop()
	case <-service.Failed():
		return errors.Join(errServiceFailed, service.Stop())
	}
}
