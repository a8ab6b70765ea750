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
	nonceBytes = 32
	// handshakeTimeout bounds the whole handshake, on both sides.
	handshakeTimeout = 3 * time.Second
)

// ErrWrongSecret is the handshake's error when the peer doesn't prove that it
// knows the cluster secret.
var ErrWrongSecret = errors.New("peer does not hold the cluster secret")

// handshake authenticates both peers to each other with the shared secret, before
// any call. Each side sends a nonce and answers the peer's nonce with an HMAC over
// it. The HMAC covers the role of the side that computes it, so that a peer can't
// send back the proof that it received. The connection is not encrypted.
func handshake(conn net.Conn, secret []byte, isClient bool) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	localNonce := make([]byte, nonceBytes)
	rand.Read(localNonce)
	if _, err := conn.Write(localNonce); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if _, err := conn.Write(computeProof(secret, peerNonce, isClient)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	proof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if !hmac.Equal(proof, computeProof(secret, localNonce, !isClient)) {
		return ErrWrongSecret
	}
	return conn.SetDeadline(time.Time{})
}

// computeProof returns the HMAC-SHA256 with which the client or the server answers
// the peer's nonce.
func computeProof(secret, nonce []byte, byClient bool) []byte {
	mac := hmac.New(sha256.New, secret)
	role := byte(0)
	if byClient {
		role = 1
	}
	mac.Write([]byte{role})
	mac.Write(nonce)
	return mac.Sum(nil)
}
