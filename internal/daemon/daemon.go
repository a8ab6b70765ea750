// Package daemon contains code that all server programs share: the command
// line, settings and their reload, secrets, listeners and stop signals. Each
// package below it assembles one kind of process from its settings.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"bergamotdrum.example/bergamotdrum/internal/settings"
)

const (
	minSecretBytes = 16
	// secretFileMode is the most permissive mode accepted for files with secrets.
	secretFileMode = 0o600
)

// LoadSettings decodes and validates one section of an INI file. The error lists
// each problem on a separate line.
func LoadSettings(path, section string, into proto.Message) error {
	if err := settings.JoinErrors(settings.Load(path, section, into)); err != nil {
		return fmt.Errorf("settings are refused: %w", err)
	}
	return nil
}

// ReadSecret returns the contents of a secret file without surrounding white
// space. It refuses a file with more permissions than mode 600, and a secret of
// less than 16 bytes.
func ReadSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("secret file: %w", err)
	}
	if info.Mode().Perm()&^secretFileMode != 0 {
		return nil, fmt.Errorf("secret file %s has mode %o; set it to 600", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("secret file: %w", err)
	}
	secret := []byte(strings.TrimSpace(string(data)))
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("secret file %s holds %d bytes; write at least %d", path, len(secret), minSecretBytes)
	}
	return secret, nil
}

// ClusterSecret returns the secret that the cluster's processes share to
// authenticate rpc connections. Without a path it returns nil if allowNone is
// set, and an error otherwise.
func ClusterSecret(path string, allowNone bool) ([]byte, error) {
	switch {
	case path != "":
		return ReadSecret(path)
	case allowNone:
		return nil, nil
	}
	return nil, errors.New("cluster_secret_file is not set: name the file, or set allow_no_secret on a network that only bergamotdrum's VMs reach")
}

// Listen opens a TCP listener for each address, in order. If one fails it closes
// those already open.
func Listen(addresses ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, o := range open {
				o.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", a, err)
		}
		open = append(open, &retryListener{l})
	}
	return open, nil
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 100 * time.Millisecond

// retryListener repeats a failed accept. Its errors, such as a lack of descriptors or
// buffers, pass, and a server that ended with one would leave a process that looks
// alive and can't be reached.
type retryListener struct{ net.Listener }

// Accept implements net.Listener. It fails only after Close.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// SignalContext returns a context that is canceled by SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
