package operator

import (
	"fmt"
	"os"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// otherUsers are the permission bits that a file with keys must not have.
const otherUsers = 0o077

// Keys are the operators' keys of a control replica.
type Keys struct {
	byName map[string]*apiv1.Key
	// decoy is compared for an unknown name, so that the time of a refusal does
	// not tell which names exist.
	decoy *apiv1.Key
}

// NewKeyLine creates an operator key: the line of the key file and the secret,
// which is not stored anywhere.
func NewKeyLine(name string) (line, secret string) {
	key, credential := objects.NewKey(name, "")
	return formatLine(key), strings.TrimPrefix(credential, name+".")
}

func formatLine(k *apiv1.Key) string { return k.Name + ":" + k.Salt + ":" + k.Hash }

// ReadKeys reads the operators' key file. Problems name the line and never
// quote it.
func ReadKeys(path string) (*Keys, []settings.Problem) {
	data, problems := readPrivate(path)
	if len(problems) > 0 {
		return nil, problems
	}
	return ParseKeys(path, data)
}

// readPrivate reads a file that only its owner may read.
func readPrivate(path string) ([]byte, []settings.Problem) {
	info, err := os.Stat(path)
	if err == nil && info.Mode().Perm()&otherUsers != 0 {
		return nil, []settings.Problem{{
			Kind: settings.WrongValue, File: path, Message: "other users may read or write the file",
			Fix: "run chmod 0600 on the file, and issue the keys in it anew if others could read them",
		}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []settings.Problem{{
			Kind: settings.Unreadable, File: path, Message: fmt.Sprintf("the file cannot be read: %v", err),
			Fix: "check that the file exists and that this user may read it",
		}}
	}
	return data, nil
}

// ParseKeys reads lines of name:salt:hash; blank lines and lines that start
// with # are skipped. File is used in problems only.
func ParseKeys(file string, data []byte) (*Keys, []settings.Problem) {
	decoy, _ := objects.NewKey("decoy", "")
	keys := &Keys{byName: map[string]*apiv1.Key{}, decoy: decoy}
	var problems []settings.Problem
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, message := parseLine(line)
		if message == "" && keys.byName[key.Name] != nil {
			message = fmt.Sprintf("operator %q stands twice", key.Name)
		}
		if message != "" {
			problems = append(problems, settings.Problem{
				Kind: settings.WrongValue, File: file, Message: fmt.Sprintf("line %d: %s", i+1, message),
				Fix: "replace the line with one from bergamotctl operator-key",
			})
			continue
		}
		keys.byName[key.Name] = key
	}
	if len(keys.byName) == 0 && len(problems) == 0 {
		problems = append(problems, settings.Problem{
			Kind: settings.MissingValue, File: file, Message: "the file holds no key, so no operator could log in",
			Fix: "add a line from bergamotctl operator-key",
		})
	}
	return keys, problems
}

func parseLine(line string) (*apiv1.Key, string) {
	parts := strings.Split(line, ":")
	if len(parts) != 3 {
		return nil, "the line is not name:salt:hash"
	}
	key := &apiv1.Key{Name: parts[0], Salt: parts[1], Hash: parts[2]}
	if !objects.ValidKey(key) {
		return nil, "the name, the salt or the hash is malformed"
	}
	return key, ""
}

// Authenticate returns the operator of an Authorization header. The code is
// UNAUTHENTICATED.
func (k *Keys) Authenticate(header string) (string, *result.Error) {
	credential, ok := strings.CutPrefix(header, "Bearer ")
	name, secret, hasSecret := strings.Cut(credential, ".")
	key := k.byName[name]
	known := key != nil
	if !known {
		key = k.decoy
	}
	if matched := objects.MatchSecret(key.Salt, key.Hash, secret); !ok || !hasSecret || !known || !matched {
		return "", result.NotRun(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED,
			"the operator key is not known; send \"Authorization: Bearer <operator name>.<secret>\"")
	}
	return name, nil
}

// KeyFile authenticates against a key file that it reads at each call, so that
// a removed line takes effect at once. Operators make few calls. It is safe for
// concurrent use.
type KeyFile struct {
	path      string
	onProblem func([]settings.Problem)
}

// OpenKeyFile reads the file once to report its problems at the start.
// OnProblem is called when the file cannot be used later; it may be nil.
func OpenKeyFile(path string, onProblem func([]settings.Problem)) (*KeyFile, []settings.Problem) {
	if _, problems := ReadKeys(path); len(problems) > 0 {
		return nil, problems
	}
	return &KeyFile{path: path, onProblem: onProblem}, nil
}

// Authenticate is Keys.Authenticate. While the file has a problem it refuses
// every operator, because a line that cannot be read may be a changed key.
func (f *KeyFile) Authenticate(header string) (string, *result.Error) {
	keys, problems := ReadKeys(f.path)
	if len(problems) == 0 {
		return keys.Authenticate(header)
	}
	if f.onProblem != nil {
		f.onProblem(problems)
	}
	return "", result.NotRun(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED,
		"the operator keys file of this control VM cannot be used; its log names the problem")
}

// ReadCredential builds a client's credential from the operator's name and the
// file with the secret.
func ReadCredential(name, secretFile string) (string, []settings.Problem) {
	data, problems := readPrivate(secretFile)
	if len(problems) > 0 {
		return "", problems
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" || strings.ContainsAny(secret, " \t\r\n") {
		return "", []settings.Problem{{
			Kind: settings.WrongValue, File: secretFile, Message: "the file does not hold one secret",
			Fix: "write the secret that bergamotctl operator-key printed, on one line",
		}}
	}
	return name + "." + secret, nil
}
