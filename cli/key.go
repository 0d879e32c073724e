package cli

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
)

// secretBytes is the length of a secret before base64 encoding.
const secretBytes = 32

func keyCommand(g *globalFlags) *cobra.Command {
	cmd := group(&cobra.Command{
		Use:     "key",
		Short:   "Grant and withdraw API keys of workspaces",
		Example: "  gooseberryshed key grant parish-12 --id parish-12-b\n  gooseberryshed key withdraw parish-12-a",
	})
	cmd.AddCommand(grantCommand(g), withdrawCommand(g))
	return cmd
}

// update applies a change whose edits are computed from the current document.
func (g *globalFlags) update(cmd *cobra.Command, flags *changeFlags, buildEdits func(configstore.State) ([]configstore.Edit, error)) (configstore.Result, error) {
	if err := flags.wait.check(); err != nil {
		return configstore.Result{}, err
	}
	store, err := g.store()
	if err != nil {
		return configstore.Result{}, err
	}
	ctx, cancel := g.context(cmd)
	defer cancel()
	return store.Update(ctx, flags.change(), buildEdits)
}

func grantCommand(g *globalFlags) *cobra.Command {
	var flags changeFlags
	var id string
	cmd := &cobra.Command{
		Use:   "grant WORKSPACE --id KEY",
		Short: "Grant a new key and print its secret once",
		Long: "Grant a new key to a workspace. The secret is printed once, on standard output, after\n" +
			"the key has been accepted; the document stores only its SHA-256 digest.",
		Example: "  gooseberryshed key grant parish-12 --id parish-12-b",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret, digest := newSecret()
			res, err := g.update(cmd, &flags, func(st configstore.State) ([]configstore.Edit, error) {
				return addKey(st, args[0], config.Key{ID: id, SHA256: digest})
			})
			if err != nil {
				return wrapGrantError(err, id)
			}
			if res.Repeated {
				return secretLostError(id)
			}
			fmt.Fprintln(cmd.OutOrStdout(), secret)
			fmt.Fprintf(cmd.ErrOrStderr(), "key %s granted at revision %d; the secret above will not be shown again\n", id, res.Revision)
			return flags.wait.run(cmd, res.Revision)
		},
	}
	flags.add(cmd)
	cmd.Flags().StringVar(&id, "id", "", "id of the key (not secret)")
	if err := cmd.MarkFlagRequired("id"); err != nil {
		panic(errors.Wrap(err, "flag id"))
	}
	return cmd
}

// wrapGrantError adds recovery instructions if the key may have been stored although
// its secret was not printed.
func wrapGrantError(err error, id string) error {
	var uncertain *configstore.UncertainError
	var reused *configstore.ReusedIDError
	if errors.As(err, &uncertain) || errors.As(err, &reused) {
		return errors.WithMessage(err, secretLostError(id).Error())
	}
	return err
}

func secretLostError(id string) error {
	return errors.Errorf("key %s may have been granted, but its secret is lost; "+
		"run gooseberryshed key withdraw %s, then grant a new key", id, id)
}

func newSecret() (secret, digest string) {
	var b [secretBytes]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never fails
	secret = base64.RawURLEncoding.EncodeToString(b[:])
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

func addKey(st configstore.State, workspace string, key config.Key) ([]configstore.Edit, error) {
	return editWorkspace(st, func(w *config.Workspace) bool {
		if w.Name != workspace {
			return false
		}
		w.Keys = append(slices.Clone(w.Keys), key)
		return true
	}, errors.Errorf("no workspace %q; add it to a section first", workspace))
}

func withdrawCommand(g *globalFlags) *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use:     "withdraw KEY",
		Short:   "Withdraw a key",
		Long:    "Withdraw a key. It is rejected at all hosts within seconds, including on open connections.",
		Example: "  gooseberryshed key withdraw parish-12-a --message 'laptop stolen' --wait --admin 10.0.0.1:8084",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			res, err := g.update(cmd, &flags, func(st configstore.State) ([]configstore.Edit, error) {
				return removeKey(st, args[0])
			})
			if err != nil {
				return err
			}
			return flags.complete(cmd, res)
		},
	}
	flags.add(cmd)
	return cmd
}

func removeKey(st configstore.State, id string) ([]configstore.Edit, error) {
	return editWorkspace(st, func(w *config.Workspace) bool {
		i := slices.IndexFunc(w.Keys, func(k config.Key) bool { return k.ID == id })
		if i < 0 {
			return false
		}
		w.Keys = slices.Delete(slices.Clone(w.Keys), i, i+1)
		return true
	}, errors.Errorf("no key %q; it may already have been withdrawn; see gooseberryshed config log", id))
}

// editWorkspace applies edit to each workspace until edit reports that it made a
// change. If none matches, it returns the given error.
func editWorkspace(st configstore.State, edit func(*config.Workspace) bool, notFound error) ([]configstore.Edit, error) {
	for _, stored := range st.Sections {
		sec := stored.Section
		sec.Workspaces = slices.Clone(sec.Workspaces)
		for i := range sec.Workspaces {
			if edit(&sec.Workspaces[i]) {
				return []configstore.Edit{{Name: sec.Name, Base: st.Revision, Section: &sec}}, nil
			}
		}
	}
	return nil, notFound
}
