package order

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/plan"
	"otterturn/internal/certs/vault"
)

// account makes sure that there is an account at the authority. The key is on disk before the authority receives it. A
// process that is killed in between leaves a key without an account, so each process asks the authority once.
func (c *Client) account(ctx context.Context, anew bool) error {
	if c.acme.Key != nil && !anew {
		return nil
	}
	key, err := c.vault.Account(c.authority.Name)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, vault.ErrDamaged) {
		if key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err == nil {
			err = c.vault.SaveAccount(c.authority.Name, key)
		}
	}
	if err != nil {
		return fail(plan.Local, err)
	}
	c.acme.Key, c.acme.KID = key, ""
	if err := c.register(ctx); err != nil {
		c.acme.Key = nil
		return fmt.Errorf("find or register the account: %w", err)
	}
	return nil
}

// register finds the account of the key, or registers one.
func (c *Client) register(ctx context.Context) error {
	if _, err := c.acme.GetReg(ctx, ""); !errors.Is(err, acme.ErrNoAccount) {
		return err
	}
	if c.rolled(ctx) {
		return nil
	}
	in := &acme.Account{}
	if c.authority.Email != "" {
		in.Contact = []string{"mailto:" + c.authority.Email}
	}
	if c.authority.BindingID != "" {
		in.ExternalAccountBinding = &acme.ExternalAccountBinding{KID: c.authority.BindingID, Key: c.authority.BindingKey}
	}
	_, err := c.acme.Register(ctx, in, acme.AcceptTOS)
	return err
}

// rolled switches to the new key of a rollover that the authority had accepted before the process was killed, without the
// new key being saved as the account's. It reports whether there was such a key and it is now saved.
func (c *Client) rolled(ctx context.Context) bool {
	next, err := c.vault.Account(c.authority.Name + nextKey)
	if err != nil {
		return false
	}
	old := c.acme.Key
	c.acme.Key, c.acme.KID = next, ""
	if _, err := c.acme.GetReg(ctx, ""); err == nil && c.vault.SaveAccount(c.authority.Name, next) == nil {
		return true
	}
	c.acme.Key, c.acme.KID = old, ""
	return false
}

// nextKey is the suffix of the authority's name under which a rollover stores the new key.
const nextKey = "-next"

// RollKey replaces the account's key by a new one. The new key is on disk, next to the old one, before the authority
// receives it.
func (c *Client) RollKey(ctx context.Context) error {
	if err := c.account(ctx, false); err != nil {
		return err
	}
	next, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	rolled := c.authority.Name + nextKey
	if err := c.vault.SaveAccount(rolled, next); err != nil {
		return err
	}
	if err := c.acme.AccountKeyRollover(ctx, next); err != nil {
		return fmt.Errorf("the authority did not accept the new account key: %w", err)
	}
	c.acme.Key = next
	if err := c.vault.SaveAccount(c.authority.Name, next); err != nil {
		return fmt.Errorf("the authority accepted the new account key, which is stored only under the name %s: %w", rolled, err)
	}
	return nil
}

// Revoke asks the authority to revoke a certificate.
func (c *Client) Revoke(ctx context.Context, der []byte) error {
	if err := c.account(ctx, false); err != nil {
		return err
	}
	return c.acme.RevokeCert(ctx, nil, der, acme.CRLReasonUnspecified)
}
