package rpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// ErrWrongSecret is returned when the peer does not know the cluster secret.
var ErrWrongSecret = errors.New("peer does not hold the cluster secret")

// handshake proves in both directions that the peers hold the same secret.
// Each side signs the other's nonce; the role byte keeps a reflected proof
// from being accepted.
func handshake(conn net.Conn, secret []byte, client bool) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	mine := make([]byte, nonceBytes)
	rand.Read(mine)
	if _, err := conn.Write(mine); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if _, err := conn.Write(prove(secret, theirs, client)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if !hmac.Equal(proof, prove(secret, mine, !client)) {
		return ErrWrongSecret
	}
	return conn.SetDeadline(time.Time{})
}

func prove(secret, nonce []byte, client bool) []byte {
	mac := hmac.New(sha256.New, secret)
	role := byte(0)
	if client {
		role = 1
	}
	mac.Write([]byte{role})
	mac.Write(nonce)
	return mac.Sum(nil)
}
