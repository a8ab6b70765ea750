package daemon

import (
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
	// Start starts the daemon and returns a function that stops it gracefully.
	Start func(S) (stop func() error, err error)
}

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
// SIGTERM or SIGINT.
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
	stop, err := p.Start(p.Settings)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return stop()
}
