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

// groupAndOtherBits are the permission bits that a file with keys or secrets
// must not have.
const groupAndOtherBits = 0o077

// Keys holds the operators' keys of a control replica.
type Keys struct {
	byName map[string]*apiv1.Key
	// dummyKey is used for an unknown name, so that the time that a refusal takes
	// does not reveal which names exist.
	dummyKey *apiv1.Key
}

// NewKeyLine creates an operator key. It returns the line for the operators' key
// file, which holds only a salted hash, and the secret, which is not stored.
func NewKeyLine(name string) (line, secret string) {
	key, credential := objects.NewKey(name, "")
	return formatLine(key), strings.TrimPrefix(credential, name+".")
}

func formatLine(k *apiv1.Key) string { return k.Name + ":" + k.Salt + ":" + k.Hash }

// ReadKeys reads the operators' key file, which only its owner may be able to
// access. Problems name a line by its number and never quote it.
func ReadKeys(path string) (*Keys, []settings.Problem) {
	data, problems := readPrivate(path)
	if len(problems) > 0 {
		return nil, problems
	}
	return ParseKeys(path, data)
}

// readPrivate reads a file, and returns a problem instead if users other than
// its owner may read or write it.
func readPrivate(path string) ([]byte, []settings.Problem) {
	info, err := os.Stat(path)
	if err == nil && info.Mode().Perm()&groupAndOtherBits != 0 {
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

// ParseKeys parses lines of the form name:salt:hash. It skips blank lines and
// lines that start with #. The file name is used only in problems. The keys
// must not be used if there are any problems.
func ParseKeys(file string, data []byte) (*Keys, []settings.Problem) {
	dummyKey, _ := objects.NewKey("decoy", "")
	keys := &Keys{byName: map[string]*apiv1.Key{}, dummyKey: dummyKey}
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

// parseLine parses one line of a key file. The second result is empty for a valid
// line, and else says what is wrong.
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

// Authenticate returns the name of the operator whose credential is in the value
// of an Authorization header. The error is UNAUTHENTICATED.
func (k *Keys) Authenticate(header string) (string, *result.Error) {
	credential, ok := strings.CutPrefix(header, "Bearer ")
	name, secret, hasSecret := strings.Cut(credential, ".")
	key := k.byName[name]
	known := key != nil
	if !known {
		key = k.dummyKey
	}
	if matched := objects.MatchSecret(key.Salt, key.Hash, secret); !ok || !hasSecret || !known || !matched {
		return "", result.NotRun(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED,
			"the operator key is not known; send \"Authorization: Bearer <operator name>.<secret>\"")
	}
	return name, nil
}

// KeyFile authenticates operators against a key file. It reads the file at each
// call, so that adding or removing a line takes effect immediately; the cost is
// small because operators make few calls. A KeyFile is safe for concurrent use.
type KeyFile struct {
	path      string
	onProblem func([]settings.Problem)
}

// OpenKeyFile reads the file once and returns its problems, if any.
// Authenticate calls onProblem each time it finds the file unusable; onProblem
// may be nil.
func OpenKeyFile(path string, onProblem func([]settings.Problem)) (*KeyFile, []settings.Problem) {
	if _, problems := ReadKeys(path); len(problems) > 0 {
		return nil, problems
	}
	return &KeyFile{path: path, onProblem: onProblem}, nil
}

// Authenticate reads the file and calls Keys.Authenticate. While the file has
// any problem it rejects every operator, because an unreadable line may be one
// that was edited to revoke or change a key.
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

// ReadCredential returns the credential for Options, built from the operator's
// name and the file that holds the secret. Only the owner may be able to access
// the file.
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
