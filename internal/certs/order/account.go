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

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/plan"
)

// ensureAccount makes sure that there is an account at the authority. The key is on disk before the authority receives
// it. A process that is killed in between leaves a key without an account, so each process asks the authority once.
func (c *Client) ensureAccount(ctx context.Context, reregister bool) error {
	if c.acme.Key != nil && !reregister {
		return nil
	}
	key, err := c.store.Account(c.authority.Name)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, certstore.ErrDamaged) {
		if key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err == nil {
			err = c.store.SaveAccount(c.authority.Name, key)
		}
	}
	if err != nil {
		return withKind(plan.Local, err)
	}
	c.acme.Key, c.acme.KID = key, ""
	if err := c.findOrRegister(ctx); err != nil {
		c.acme.Key = nil
		return fmt.Errorf("find or register the account: %w", err)
	}
	return nil
}

// findOrRegister finds the account of the key, or registers one.
func (c *Client) findOrRegister(ctx context.Context) error {
	if _, err := c.acme.GetReg(ctx, ""); !errors.Is(err, acme.ErrNoAccount) {
		return err
	}
	if c.adoptRolledKey(ctx) {
		return nil
	}
	account := &acme.Account{}
	if c.authority.Email != "" {
		account.Contact = []string{"mailto:" + c.authority.Email}
	}
	if c.authority.BindingID != "" {
		account.ExternalAccountBinding = &acme.ExternalAccountBinding{KID: c.authority.BindingID, Key: c.authority.BindingKey}
	}
	_, err := c.acme.Register(ctx, account, acme.AcceptTOS)
	return err
}

// adoptRolledKey switches to the new key of an interrupted rollover: the authority had accepted the key, and the process
// was killed before it saved the key as the account's. It reports whether there was such a key and it is now saved.
func (c *Client) adoptRolledKey(ctx context.Context) bool {
	next, err := c.store.Account(c.authority.Name + nextKeySuffix)
	if err != nil {
		return false
	}
	old := c.acme.Key
	c.acme.Key, c.acme.KID = next, ""
	if _, err := c.acme.GetReg(ctx, ""); err == nil && c.store.SaveAccount(c.authority.Name, next) == nil {
		return true
	}
	c.acme.Key, c.acme.KID = old, ""
	return false
}

// nextKeySuffix is the suffix of the authority's name under which a rollover stores the new key.
const nextKeySuffix = "-next"

// RollKey replaces the account's key by a new one. The new key is on disk, next to the old one, before the authority
// receives it.
func (c *Client) RollKey(ctx context.Context) error {
	if err := c.ensureAccount(ctx, false); err != nil {
		return err
	}
	next, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	nextName := c.authority.Name + nextKeySuffix
	if err := c.store.SaveAccount(nextName, next); err != nil {
		return err
	}
	if err := c.acme.AccountKeyRollover(ctx, next); err != nil {
		return fmt.Errorf("the authority did not take the new key: %w", err)
	}
	c.acme.Key = next
	if err := c.store.SaveAccount(c.authority.Name, next); err != nil {
		return fmt.Errorf("the new key is taken, and kept as %s alone: %w", nextName, err)
	}
	return nil
}

// Revoke asks the authority to revoke a certificate.
func (c *Client) Revoke(ctx context.Context, der []byte) error {
	if err := c.ensureAccount(ctx, false); err != nil {
		return err
	}
	return c.acme.RevokeCert(ctx, nil, der, acme.CRLReasonUnspecified)
}
