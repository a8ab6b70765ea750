package dev

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	secretBytes     = 32
	operatorName    = "dev"
	loopbackAddress = "127.0.0.1:0"
	zoneName        = "zone-a"
)

// environment holds the generated settings of one run and the credential of its
// operator.
type environment struct {
	control            *apiv1.ControlSettings
	entry              *apiv1.EntrySettings
	operatorCredential string
}

// newEnvironment writes secret files into the folder and returns settings with
// free ports.
func newEnvironment(folder, logLevel string) (*environment, error) {
	ports, err := freeAddresses(7)
	if err != nil {
		return nil, err
	}
	secretFile := filepath.Join(folder, "cluster.secret")
	secret := make([]byte, secretBytes)
	rand.Read(secret)
	if err := writeSecret(secretFile, hex.EncodeToString(secret)); err != nil {
		return nil, err
	}
	key, credential := objects.NewKey(operatorName, operatorName)
	keysFile := filepath.Join(folder, "operator.keys")
	if err := writeSecret(keysFile, fmt.Sprintf("%s:%s:%s\n", key.Name, key.Salt, key.Hash)); err != nil {
		return nil, err
	}
	return &environment{
		operatorCredential: credential,
		control: &apiv1.ControlSettings{
			ProcessId: "control-1", AvailabilityZone: zoneName, DataFolder: filepath.Join(folder, "control-1"),
			RpcAddress: ports[0], OperatorAddress: ports[1], AdminAddress: ports[2],
			ControlAddresses: ports[:1], Bootstrap: true,
			ClusterSecretFile: secretFile, OperatorKeysFile: keysFile,
			HeartbeatIntervalMs: 100, ElectionTimeoutMs: 500, SessionTtlMs: 2000, SessionMarginMs: 250,
			LeaseTtlMs: 10000, SnapshotEntries: 10000, LogLevel: logLevel,
		},
		entry: &apiv1.EntrySettings{
			ProcessId: "entry-1", AvailabilityZone: zoneName,
			CallerAddress: ports[3], TargetAddress: ports[4], RpcAddress: ports[5], AdminAddress: ports[6],
			ControlAddresses: ports[:1], ClusterSecretFile: secretFile,
			RenewIntervalMs: 500, DrainTimeoutMs: 30000, MaxBodyBytes: 64 << 20, LogLevel: logLevel,
		},
	}, nil
}

const secretFileMode = 0o600

func writeSecret(path, text string) error {
	if err := os.WriteFile(path, []byte(text), secretFileMode); err != nil {
		return fmt.Errorf("write secret: %w", err)
	}
	return nil
}

// freeAddresses returns n different loopback addresses. Their ports were free
// when it was called; another process may take one before it is used.
func freeAddresses(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", loopbackAddress)
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}
