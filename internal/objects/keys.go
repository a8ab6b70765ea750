package objects

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	saltBytes   = 16
	secretBytes = 32
)

// NewKey creates a key object and its credential, "<key id>.<secret>". The
// credential is shown once and never stored. The secret is random, so one round
// of SHA-256 is enough against guessing.
func NewKey(name, clientAccount string) (*apiv1.Key, string) {
	salt := make([]byte, saltBytes)
	rand.Read(salt)
	secret := make([]byte, secretBytes)
	rand.Read(secret)
	text := base64.RawURLEncoding.EncodeToString(secret)
	key := &apiv1.Key{
		Name:          name,
		ClientAccount: clientAccount,
		Salt:          hex.EncodeToString(salt),
		Hash:          HashSecret(hex.EncodeToString(salt), text),
	}
	return key, name + "." + text
}

// HashSecret returns the SHA-256 of the decoded salt followed by the secret, in
// hex. It returns "" if the salt is not valid hex.
func HashSecret(saltHex, secret string) string {
	salt, err := hex.DecodeString(saltHex)
	if err != nil {
		return ""
	}
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return hex.EncodeToString(h.Sum(nil))
}

// MatchSecret reports whether the secret has the hash. The hashes are compared
// in constant time.
func MatchSecret(saltHex, hashHex, secret string) bool {
	got := HashSecret(saltHex, secret)
	return got != "" && subtle.ConstantTimeCompare([]byte(got), []byte(hashHex)) == 1
}

// Authenticate returns the client account and team of a credential. The error
// codes are UNAUTHENTICATED and KEY_REVOKED; both errors are marked as not run,
// so that the caller may send the request again.
func (ix *Index) Authenticate(credential string) (*apiv1.ClientAccount, *apiv1.Team, *result.Error) {
	id, secret, ok := strings.Cut(credential, ".")
	key := ix.Keys[id]
	if !ok || key == nil || !MatchSecret(key.Salt, key.Hash, secret) {
		return nil, nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED, "the key is not known; send \"Authorization: Bearer <key id>.<secret>\"")
	}
	if key.Revoked {
		return nil, nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_KEY_REVOKED, "key %q is revoked; ask the operators for a new one", id)
	}
	account := ix.Accounts[key.ClientAccount]
	team := ix.Teams[account.GetTeam()]
	if account == nil || team == nil {
		return nil, nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED, "key %q belongs to no client account", id)
	}
	return account, team, nil
}
