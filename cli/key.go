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

// secretBytes is the length of a secret before its encoding.
const secretBytes = 32

func keyCommand(g *globals) *cobra.Command {
	cmd := group(&cobra.Command{
		Use:     "key",
		Short:   "Grant and withdraw the keys of workspaces",
		Example: "  gooseberryshed key grant parish-12 --id parish-12-b\n  gooseberryshed key withdraw parish-12-a",
	})
	cmd.AddCommand(grantCommand(g), withdrawCommand(g))
	return cmd
}

// update runs a change that follows from the current document.
func (g *globals) update(cmd *cobra.Command, flags *changeFlags, decide func(configstore.State) ([]configstore.Edit, error)) (configstore.Result, error) {
	if err := flags.wait.check(); err != nil {
		return configstore.Result{}, err
	}
	store, err := g.store()
	if err != nil {
		return configstore.Result{}, err
	}
	ctx, cancel := g.context(cmd)
	defer cancel()
	return store.Update(ctx, flags.change(), decide)
}

func grantCommand(g *globals) *cobra.Command {
	var flags changeFlags
	var id string
	cmd := &cobra.Command{
		Use:   "grant WORKSPACE --id KEY",
		Short: "Grant a new key and print its secret once",
		Long: "Grant a new key to a workspace. The secret is printed once, on standard output, after\n" +
			"the key was accepted; the document holds only its SHA-256 digest.",
		Example: "  gooseberryshed key grant parish-12 --id parish-12-b",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret, digest := newSecret()
			res, err := g.update(cmd, &flags, func(st configstore.State) ([]configstore.Edit, error) {
				return grant(st, args[0], config.Key{ID: id, SHA256: digest})
			})
			if err != nil {
				return explainGrant(err, id)
			}
			if res.Repeated {
				return lostSecret(id)
			}
			fmt.Fprintln(cmd.OutOrStdout(), secret)
			fmt.Fprintf(cmd.ErrOrStderr(), "key %s granted at revision %d; the secret above is not shown again\n", id, res.Revision)
			return flags.wait.run(cmd, res.Revision)
		},
	}
	flags.add(cmd)
	cmd.Flags().StringVar(&id, "id", "", "name of the key, which is not secret")
	if err := cmd.MarkFlagRequired("id"); err != nil {
		panic(errors.Wrap(err, "flag id"))
	}
	return cmd
}

// explainGrant adds the remedy when the key may exist although its secret was
// never shown.
func explainGrant(err error, id string) error {
	var uncertain *configstore.UncertainError
	var reused *configstore.ReusedIDError
	if errors.As(err, &uncertain) || errors.As(err, &reused) {
		return errors.WithMessage(err, lostSecret(id).Error())
	}
	return err
}

func lostSecret(id string) error {
	return errors.Errorf("key %s may have been granted and its secret is lost; "+
		"run gooseberryshed key withdraw %s, and grant anew", id, id)
}

func newSecret() (secret, digest string) {
	var b [secretBytes]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never fails
	secret = base64.RawURLEncoding.EncodeToString(b[:])
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

func grant(st configstore.State, workspace string, key config.Key) ([]configstore.Edit, error) {
	return editWorkspace(st, func(w *config.Workspace) bool {
		if w.Name != workspace {
			return false
		}
		w.Keys = append(slices.Clone(w.Keys), key)
		return true
	}, errors.Errorf("no workspace %q; add it to a section first", workspace))
}

func withdrawCommand(g *globals) *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use:     "withdraw KEY",
		Short:   "Withdraw a key",
		Long:    "Withdraw a key. It stops working everywhere within seconds, also on open connections.",
		Example: "  gooseberryshed key withdraw parish-12-a --message 'laptop stolen' --wait --admin 10.0.0.1:8084",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			res, err := g.update(cmd, &flags, func(st configstore.State) ([]configstore.Edit, error) {
				return withdraw(st, args[0])
			})
			if err != nil {
				return err
			}
			return flags.finish(cmd, res)
		},
	}
	flags.add(cmd)
	return cmd
}

func withdraw(st configstore.State, id string) ([]configstore.Edit, error) {
	return editWorkspace(st, func(w *config.Workspace) bool {
		i := slices.IndexFunc(w.Keys, func(k config.Key) bool { return k.ID == id })
		if i < 0 {
			return false
		}
		w.Keys = slices.Delete(slices.Clone(w.Keys), i, i+1)
		return true
	}, errors.Errorf("no key %q; it may be withdrawn already, see gooseberryshed config log", id))
}

// editWorkspace edits the first workspace that edit recognises as its own.
func editWorkspace(st configstore.State, edit func(*config.Workspace) bool, none error) ([]configstore.Edit, error) {
	for _, stored := range st.Sections {
		sec := stored.Section
		sec.Workspaces = slices.Clone(sec.Workspaces)
		for i := range sec.Workspaces {
			if edit(&sec.Workspaces[i]) {
				return []configstore.Edit{{Name: sec.Name, Base: st.Revision, Section: &sec}}, nil
			}
		}
	}
	return nil, none
}
