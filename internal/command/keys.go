package command

import (
	"context"
	"fmt"
	"os"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/operator"
)

type keyCommands struct {
	Issue    keyIssueCommand    `cmd:"" help:"Create a key for a client account and print its credential once."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Revoke a key; it stops working within seconds."`
}

type keyIssueCommand struct {
	Name       string `arg:"" help:"Key id, which callers send before the dot."`
	Account    string `help:"Client account that the key belongs to." required:""`
	SecretFile string `help:"Write the credential to this new file instead of printing it." type:"path"`
	editFlags
}

func (keyIssueCommand) Help() string {
	return `The credential is shown once, after the publish, and only its salted hash is kept. Callers send it
as "Authorization: Bearer <key id>.<secret>".

Examples:
  bergamotctl key issue wards-2 --account ward-sensors
  bergamotctl key issue wards-2 --account ward-sensors --secret-file wards-2.key`
}

// Run publishes a new key and then prints its credential or writes it to the
// secret file. The credential is not shown unless the publish succeeded. After a
// failed publish the secret file is removed.
func (c *keyIssueCommand) Run(ctx context.Context, a *app) error {
	key, credential := objects.NewKey(c.Name, c.Account)
	out, err := c.openSecretFile()
	if err != nil {
		return err
	}
	client, reply, err := a.publishEdit(ctx, c.editFlags, "issue key "+c.Name, func(ix *objects.Index) error {
		if ix.Accounts[c.Account] == nil {
			return notFound("client_account", c.Account)
		}
		if ix.Keys[c.Name] != nil {
			return invalidArgument("key %q exists already: choose another name, for example with the date", c.Name)
		}
		ix.Set.Key = append(ix.Set.Key, key)
		return nil
	})
	if err != nil {
		if out != nil {
			_ = out.Close()
			_ = os.Remove(c.SecretFile)
		}
		a.eprintf("the credential was not shown; if the outcome is unknown, withdraw key %q and issue another one", c.Name)
		return err
	}
	if out == nil {
		a.eprintf("credential, shown only now:")
		a.printf("%s", credential)
	} else if err := writeSecret(out, credential); err != nil {
		return err
	}
	return a.waitInForce(ctx, client, reply, c.Wait)
}

// openSecretFile creates the secret file. It is called before the key is
// published, so that no secret is lost when the file cannot be created. It
// returns nil if --secret-file is not given.
func (c *keyIssueCommand) openSecretFile() (*os.File, error) {
	if c.SecretFile == "" {
		return nil, nil
	}
	return createSecretFile(c.SecretFile)
}

// createSecretFile creates a file that only its owner may access. The error is
// INVALID_ARGUMENT, also when the file exists.
func createSecretFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, invalidArgument("the secret cannot be written: %v", err)
	}
	return f, nil
}

// writeSecret writes the secret on one line and closes the file.
func writeSecret(f *os.File, secret string) error {
	_, err := f.WriteString(secret + "\n")
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write the secret: %w", err)
	}
	return nil
}

type keyWithdrawCommand struct {
	Name   string `arg:"" help:"Key id."`
	Remove bool   `help:"Remove the key object; callers then get UNAUTHENTICATED instead of KEY_REVOKED."`
	editFlags
}

func (keyWithdrawCommand) Help() string {
	return `Marks the key as revoked. When the command ends with exit code 0, no entry accepts the key.

Example:
  bergamotctl key withdraw wards-1 --comment "lost tablet"`
}

// Run revokes the key, or removes it with --remove.
func (c *keyWithdrawCommand) Run(ctx context.Context, a *app) error {
	return a.edit(ctx, c.editFlags, "withdraw key "+c.Name, func(ix *objects.Index) error {
		key := ix.Keys[c.Name]
		if key == nil {
			return notFound("key", c.Name)
		}
		key.Revoked = true
		if c.Remove {
			ix.Set.Key = withoutKey(ix.Set.Key, key)
		}
		return nil
	})
}

// withoutKey returns a new list without the given key, compared by pointer.
func withoutKey(list []*apiv1.Key, key *apiv1.Key) []*apiv1.Key {
	var out []*apiv1.Key
	for _, k := range list {
		if k != key {
			out = append(out, k)
		}
	}
	return out
}

type operatorKeyCommand struct {
	Name       string `arg:"" help:"Name of the operator, shown by history."`
	SecretFile string `help:"Write the secret to this new file instead of printing it." type:"path"`
}

func (operatorKeyCommand) Help() string {
	return `Prints a line for the operator keys file of every control VM. The operator keeps the secret in
the file that operator_key_file names; it is not stored anywhere else. Needs no connection.

Example:
  bergamotctl operator-key ada --secret-file ada.key`
}

// Run prints a line for the operators' key file. The secret goes to stderr or
// to the secret file.
func (c *operatorKeyCommand) Run(a *app) error {
	line, secret := operator.NewKeyLine(c.Name)
	if _, problems := operator.ParseKeys("", []byte(line)); len(problems) > 0 {
		return invalidArgument("the name %q is not allowed: use 1 to 63 letters, digits, - and _", c.Name)
	}
	if c.SecretFile == "" {
		a.eprintf("secret, shown only now: %s", secret)
		a.printf("%s", line)
		return nil
	}
	f, err := createSecretFile(c.SecretFile)
	if err != nil {
		return err
	}
	if err := writeSecret(f, secret); err != nil {
		return err
	}
	a.printf("%s", line)
	return nil
}
